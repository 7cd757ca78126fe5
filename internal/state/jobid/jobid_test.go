package jobid_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/jobid"
)

func TestRoundTrip(t *testing.T) {
	issued := time.UnixMilli(1796333213042)
	for _, home := range []state.DomainID{"quimper", "a.b"} {
		t.Run(string(home), func(t *testing.T) {
			is := is.New(t)
			id, err := jobid.New(home, issued, bytes.NewReader(bytes.Repeat([]byte{0xff}, 16)))
			is.NoErr(err)
			parts, err := jobid.Parse(id)
			is.NoErr(err)
			is.Equal(parts.Home, home)
			is.True(parts.Issued.Equal(issued))
		})
	}
}

func TestNewFailsWithoutRandomBytes(t *testing.T) {
	is := is.New(t)
	_, err := jobid.New("a", time.UnixMilli(0), bytes.NewReader(nil))
	is.True(err != nil)
}

func TestParseRejectsInvalidIDs(t *testing.T) {
	tests := []struct {
		name string
		id   state.JobID
	}{
		{name: "empty", id: ""},
		{name: "no home", id: ".0194fdc2-fa2f-7cc0-81d3-ff12045b73c8"},
		{name: "bare UUID", id: "0194fdc2-fa2f-7cc0-81d3-ff12045b73c8"},
		{name: "version 4", id: "a.0194fdc2-fa2f-4cc0-81d3-ff12045b73c8"},
		{name: "braces", id: "a.{0194fdc2-fa2f-7cc0-81d3-ff12045b73c8}"},
		{name: "upper case", id: "a.0194FDC2-FA2F-7CC0-81D3-FF12045B73C8"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := jobid.Parse(tt.id)
			is.True(errors.Is(err, jobid.ErrInvalid))
		})
	}
}
