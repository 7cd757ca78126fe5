package ledger

import (
	"bytes"
	"math"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// TestHugeLengthInRecordTakesLittleMemory guards against a record of a few bytes that ends every
// entry that reads the log: the decoder allocates what a length in the record says.
func TestHugeLengthInRecordTakesLittleMemory(t *testing.T) {
	const (
		id      = "00000000000000ab"
		length  = "\x00\x40\x00\x00"
		maxSize = 1 << 20
	)
	tests := []struct{ name, key, value string }{
		{name: "steps of a state", key: "s" + id, value: "\x93\x00\x00\xdd" + length},
		{name: "steps of a state, as a map", key: "s" + id, value: "\x81\xa5Steps\xdd" + length},
		{name: "completed tasks of a step", key: "s" + id, value: "\x93\x00\x00\x91\x94\x00\x00\xc6" + length},
		{name: "crashes", key: "s" + id, value: "\x93\x00\x00\x90\xdd" + length},
		{name: "open occurrences of a series", key: "s" + id, value: "\x93\x00\x00\x90\x90\x94\x00\x01\xdd" + length},
		{name: "steps of a job", key: "j" + id, value: "\x99\xb0" + id + "\xa0\xa0\x00\xa0\xdd" + length},
		{name: "domain of a job", key: "j" + id, value: "\x99\xb0" + id + "\xa0\xa0\x00\xa0\x90\x00\x00\x00\xdb" + length},
		{name: "name of an entry", key: "na", value: "\x96\xdb" + length},
		{name: "claim", key: "owner", value: "\x96\x01\xdb" + length},
		{name: "nested unknown field", key: "s" + id, value: "\x81\xa4note" + strings.Repeat("\x91", 200_000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := table.Apply(Record{Key: tt.key, Value: []byte(tt.value)})
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.Equal(table.Len(), 0)
			is.True(after.TotalAlloc-before.TotalAlloc < maxSize)
		})
	}
}

// TestSplitValueAgreesWithDecoder guards against records that are refused though they can be
// read.
func TestSplitValueAgreesWithDecoder(t *testing.T) {
	is := is.New(t)
	for _, v := range []any{
		nil, true, 0, -1, -100, 1000, 1 << 20, int64(math.MaxInt64), int64(math.MinInt64), uint64(math.MaxUint64), float32(1), 1.5,
		"", "a", strings.Repeat("a", 40), strings.Repeat("a", 300), strings.Repeat("a", 70_000), make([]byte, 10), make([]byte, 300), make([]byte, 70_000),
		[]int{},
		[]int{1, 2},
		make([]int, 20), make([]int, 70_000),
		map[string]any{},
		map[string]any{"a": []int{1}, "b": map[string]int{"c": 1}},
	} {
		for _, compact := range []bool{false, true} {
			var data bytes.Buffer
			encoder := msgpack.NewEncoder(&data)
			encoder.UseCompactInts(compact)
			is.NoErr(encoder.Encode(v))
			size := data.Len()
			rest, err := splitValue(append(data.Bytes(), "rest"...))
			is.NoErr(err)
			is.Equal(string(rest), "rest")
			for _, n := range []int{0, 1, size / 2, size - 1} {
				if n < size {
					_, err = splitValue(data.Bytes()[:n])
					is.True(err != nil) // cut off
				}
			}
		}
	}
}

func FuzzSplitValue(f *testing.F) {
	f.Add([]byte("\x93\x00\x00\xdd\x00\x40\x00\x00"))
	f.Add([]byte("\x82\xa1a\xc7\x01\x05x\xc1\x92\xd4\x01\x02\xcb12345678"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rest, err := splitValue(data)
		if err != nil {
			return
		}
		in := bytes.NewReader(data)
		if msgpack.NewDecoder(in).Skip() == nil && in.Len() != len(rest) {
			t.Errorf("the value of %x has %d bytes, want %d", data, len(data)-len(rest), len(data)-in.Len())
		}
	})
}

// TestHugeEpochIsNotClaimed guards against a claim after which no entry can become the owner,
// because a later epoch would overflow.
func TestHugeEpochIsNotClaimed(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for _, epoch := range []int64{7, math.MaxInt64, maxEpoch + 1} {
		record := must(ClaimRecord(&Claim{Epoch: epoch, Entry: "a"}))
		_, err := table.Apply(record)
		is.Equal(err == nil, epoch == 7)
		_, ok := ClaimOf(record)
		is.Equal(ok, epoch == 7)
		claim, _ := table.Claim()
		is.Equal(claim.Epoch, int64(7))
	}
}
