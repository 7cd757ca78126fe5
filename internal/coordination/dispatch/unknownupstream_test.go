package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestEndsOnForgottenUpstreamAreKept guards against ends that are acknowledged though the scheduler, which has dropped the upstream, ignores them.
func TestEndsOnForgottenUpstreamAreKept(t *testing.T) {
	is := is.New(t)
	o := newListingOwner(t)
	l := o.links["u0"]
	o.runEvents()
	o.sched.SettleUpstream("u0")
	o.sched.RemoveUpstream("u0")
	_, known := o.sched.Registration("u0")
	is.True(!known)
	end := scheduler.EndedRun{Task: workload.TaskID{Job: "00000000000000aa"}, Run: 7, Cause: scheduler.EndDone}
	o.postReport("u0", l, &port.RunReport{Ended: []port.RunEnd{{Number: 1, EndedRun: end}}}, time.Now(), l.incarnation)
	o.runEvents()
	is.Equal(len(o.acks), 0)
	is.True(o.links["u0"] == nil) // a new link reads the ends again
}
