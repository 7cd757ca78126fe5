package inventory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/inventory"
)

func TestAbsences(t *testing.T) {
	const lag = 30 * time.Second
	start := time.Now()
	tests := []struct {
		name   string
		listed bool
		// read is when the last read of the list began, after the absence was
		// first seen.
		read time.Duration
		gone bool
	}{
		{name: "listed before", listed: true, gone: true},
		{name: "never listed, list as old as the absence"},
		{name: "never listed, list within its lag", read: lag},
		{name: "never listed, list younger than its lag", read: lag + 1, gone: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			read := start
			a := inventory.NewAbsences(lag, func() time.Time { return read })
			if tt.listed {
				a.Listed("vm")
			}
			first := a.Gone("vm", start)
			is.Equal(first, tt.listed)
			read = start.Add(tt.read)
			is.Equal(a.Gone("vm", start.Add(time.Hour)), tt.gone)
		})
	}
}

// TestAbsencesWithAFrozenList shows that time alone proves nothing while the
// list can't be read.
func TestAbsencesWithAFrozenList(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	a := inventory.NewAbsences(time.Second, func() time.Time { return start })
	is.True(!a.Gone("vm", start))
	is.True(!a.Gone("vm", start.Add(time.Hour)))
	a.Listed("vm")
	is.True(a.Gone("vm", start.Add(time.Hour)))
}
