package ledger

import (
	"testing"

	"github.com/matryer/is"
)

// TestLeaseEndsHoldForTheNextOwnerOnly guards against lease ends that owners after the one that
// recorded them, also those of a former release, have made obsolete.
func TestLeaseEndsHoldForTheNextOwnerOnly(t *testing.T) {
	claim := func(epoch int64) Record { return must(ClaimRecord(&Claim{Epoch: epoch, Entry: "e"})) }
	ends := func(epoch int64, left ...int64) Record {
		l := LeaseEnds{Epoch: epoch}
		for _, ms := range left {
			l.Upstreams = append(l.Upstreams, LeaseEnd{"u", ms})
		}
		return must(LeaseEndsRecord(&l))
	}
	cases := []struct {
		name    string
		records []Record
		want    []LeaseEnd
	}{
		{name: "next owner", records: []Record{claim(1), ends(1, 5), claim(2)}, want: []LeaseEnd{{"u", 5}}},
		{name: "its heartbeats", records: []Record{claim(1), ends(1, 5), claim(1), claim(2), claim(2)}, want: []LeaseEnd{{"u", 5}}},
		{name: "same owner", records: []Record{claim(1), ends(1, 5)}},
		{name: "owner in between", records: []Record{claim(1), ends(1, 5), claim(2), claim(3)}},
		{name: "withdrawn", records: []Record{claim(1), ends(1, 5), ends(1), claim(2)}},
		{name: "replaced", records: []Record{claim(1), ends(1, 5), ends(1, 3), claim(2)}, want: []LeaseEnd{{"u", 3}}},
		{name: "older claim read again", records: []Record{claim(1), claim(2), ends(2, 5), claim(1), claim(3)}, want: []LeaseEnd{{"u", 5}}},
		{name: "record of the next owner", records: []Record{claim(1), ends(1, 5), claim(2), ends(2, 7)}},
		{name: "deleted", records: []Record{claim(1), ends(1, 5), {Key: keyLeaseEnds}, claim(2)}},
		{name: "not readable", records: []Record{claim(1), ends(1, 5), {Key: keyLeaseEnds, Value: []byte{1}}, claim(2)}},
		{name: "negative", records: []Record{claim(1), ends(1, -5), claim(2)}},
		{name: "field of a newer release", records: []Record{claim(1), {Key: keyLeaseEnds, Value: append(ends(1, 5).Value, 1)}, claim(2)}, want: []LeaseEnd{{"u", 5}}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			for _, r := range tt.records {
				_, err := table.Apply(r)
				_ = err // those that can't be read
			}
			is.New(t).Equal(table.LeaseEnds(), tt.want)
		})
	}
}
