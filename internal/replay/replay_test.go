package replay_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/replay"
	"github.com/samphirerail/samphirerail/internal/state/queue"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

func TestReportsOfBothPolicies(t *testing.T) {
	is := is.New(t)
	opts := trace.DefaultOptions(trace.Coop, 7)
	opts.Submissions = 200
	generated, err := trace.Generate(opts)
	is.NoErr(err)
	reports, err := replay.Run(generated, replay.Options{Policy: replay.Both, Objective: queue.Share})
	is.NoErr(err)
	is.Equal(len(reports), 2)
	var table, plot bytes.Buffer
	is.NoErr(replay.WriteTable(&table, reports))
	for _, measure := range []string{"first_fit", "late", "wait p50/p99 ms, gang", "decisions per second", "breaches"} {
		is.True(strings.Contains(table.String(), measure))
	}
	is.NoErr(replay.WritePlot(&plot, reports))
	decoder := xml.NewDecoder(&plot)
	for err == nil {
		_, err = decoder.Token()
	}
	is.Equal(err, io.EOF) // the plot is well-formed XML
}

func TestOptionsAreChecked(t *testing.T) {
	tests := []struct {
		name   string
		opts   replay.Options
		option string
	}{
		{name: "unknown policy", opts: replay.Options{Policy: "lifo", Objective: queue.Share}, option: "policy"},
		{name: "unknown objective", opts: replay.Options{Policy: replay.Both, Objective: "speed"}, option: "objective"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := replay.Run(&trace.Trace{}, tt.opts)
			var optionError *replay.OptionError
			is.True(errors.As(err, &optionError))
			is.Equal(optionError.Option, tt.option)
		})
	}
}
