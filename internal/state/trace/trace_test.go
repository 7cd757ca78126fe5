package trace_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

func TestWriteThenRead(t *testing.T) {
	for _, d := range []trace.Deployment{trace.Coop, trace.Oyster} {
		t.Run(string(d), func(t *testing.T) {
			is := is.New(t)
			opts := trace.DefaultOptions(d, 7)
			opts.Submissions = 500
			opts.Burst = 20
			generated, err := trace.Generate(opts)
			is.NoErr(err)
			again, err := trace.Generate(opts)
			is.NoErr(err)
			is.Equal(generated, again) // the same options give the same trace
			var buffer bytes.Buffer
			is.NoErr(trace.Write(&buffer, generated))
			got, err := trace.Read(&buffer)
			is.NoErr(err)
			is.Equal(got, generated)
		})
	}
}

func TestGenerateCoversTheWorkload(t *testing.T) {
	for _, d := range []trace.Deployment{trace.Coop, trace.Oyster} {
		t.Run(string(d), func(t *testing.T) {
			is := is.New(t)
			generated, err := trace.Generate(trace.DefaultOptions(d, 7))
			is.NoErr(err)
			kinds := map[trace.Kind]int{}
			classes := map[state.Class]int{}
			for _, e := range generated.Events {
				kinds[e.Kind]++
				if e.Submit != nil {
					classes[e.Submit.Class]++
				}
			}
			is.Equal(kinds[trace.KindUpstream], 48)
			is.Equal(kinds[trace.KindTeam], 6)
			is.Equal(len(classes), 4)
			is.Equal(kinds[trace.KindLost], kinds[trace.KindBack])
			is.Equal(kinds[trace.KindFaulty], 2)
			is.True(kinds[trace.KindCancel] > 0)
		})
	}
}

func TestReadRejects(t *testing.T) {
	header := `{"format":"samphirerail-trace/1","deployment":"coop","seed":1}` + "\n"
	upstream := `{"at":0,"event":"upstream","upstream":{"vm":"a","domain":"d","rack":"r","service":"s","capacity":{"cpu_milli":1,"memory_mb":1,"slots":1}}}` + "\n"
	tests := []struct {
		name string
		text string
		line int
	}{
		{name: "empty input", text: "", line: 1},
		{name: "other format", text: `{"format":"x/9"}`, line: 1},
		{name: "unknown field", text: header + `{"at":1,"event":"lost","vm":"a","speed":3}`, line: 2},
		{name: "unknown event", text: header + `{"at":1,"event":"melt","vm":"a"}`, line: 2},
		{name: "missing field", text: header + `{"at":1,"event":"submit"}`, line: 2},
		{name: "negative time", text: header + `{"at":-1,"event":"lost","vm":"a"}`, line: 2},
		{name: "unknown upstream", text: header + upstream + `{"at":1,"event":"lost","vm":"b"}`, line: 3},
		{name: "decreasing time", text: header + upstream + `{"at":2,"event":"lost","vm":"a"}` + "\n" + `{"at":1,"event":"back","vm":"a"}`, line: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := trace.Read(strings.NewReader(tt.text))
			var bad *trace.LineError
			is.True(errors.As(err, &bad))
			is.Equal(bad.Line, tt.line)
		})
	}
}
