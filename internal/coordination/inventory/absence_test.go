package inventory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/inventory"
)

func TestAbsenceTracker(t *testing.T) {
	const lag = 30 * time.Second
	start := time.Now()
	tests := []struct {
		name   string
		listed bool
		// lastRead is when the last read of the list began, relative to when
		// the absence was first noticed.
		lastRead time.Duration
		gone     bool
	}{
		{name: "previously listed", listed: true, gone: true},
		{name: "never listed, list read when absence noticed"},
		{name: "never listed, list read within the lag", lastRead: lag},
		{name: "never listed, list read after the lag", lastRead: lag + 1, gone: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lastRead := start
			a := inventory.NewAbsenceTracker(lag, func() time.Time { return lastRead })
			if tt.listed {
				a.MarkListed("vm")
			}
			first := a.ConfirmAbsent("vm", start)
			is.Equal(first, tt.listed)
			lastRead = start.Add(tt.lastRead)
			is.Equal(a.ConfirmAbsent("vm", start.Add(time.Hour)), tt.gone)
		})
	}
}

// TestAbsenceTrackerWithUnreadableList guards against a VM that is considered gone after
// mere waiting: while the list can't be read, the time since the absence was
// noticed proves nothing.
func TestAbsenceTrackerWithUnreadableList(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	a := inventory.NewAbsenceTracker(time.Second, func() time.Time { return start })
	is.True(!a.ConfirmAbsent("vm", start))
	is.True(!a.ConfirmAbsent("vm", start.Add(time.Hour)))
	a.MarkListed("vm")
	is.True(a.ConfirmAbsent("vm", start.Add(time.Hour)))
}
