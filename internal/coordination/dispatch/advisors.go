package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// adviceMargin is added to the expected time of a call for advice.
	adviceMargin = time.Second
	// callerPause is how long an entry gets no calls after a failed one.
	callerPause = 2 * time.Second
	// A caller has at most this many calls in flight; the service serves them
	// one after the other.
	quickPerCaller, slowPerCaller = 6, 2
	// quickShare is the part of the callers that is kept for quick calls.
	quickShare = 3
)

// caller is an entry that asks the advice service. The service serves one call
// at a time for each machine, so the calls are spread over all entries.
type caller struct {
	name    string
	address string
	// backlog is the expected time of the calls in flight.
	backlog   time.Duration
	pausedTil time.Time
}

// assignment is a caller for one call.
type assignment struct {
	*caller
	cost    time.Duration
	timeout time.Duration
	advise  func(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error)
}

// advisorPool chooses who asks. The control loop owns it.
type advisorPool struct {
	parts   *parts
	callers []*caller
	quick   int
}

func (a *advisorPool) init(p *parts) {
	a.parts = p
	a.callers = []*caller{{name: p.self}}
	a.quick = 1
}

// limits refreshes the callers and returns how many calls may be in flight.
func (a *advisorPool) limits(r *replica.Replica) (quick, slow int) {
	var entries []ledger.Entry
	r.View(func(t *ledger.Table, _ int64) { entries = t.Entries() })
	a.update(entries)
	n := len(a.callers)
	slowCallers := max(1, n-a.quick)
	return a.quick * quickPerCaller, slowCallers * slowPerCaller
}

func (a *advisorPool) update(entries []ledger.Entry) {
	known := map[string]*caller{}
	for _, c := range a.callers {
		known[c.name] = c
	}
	next := []*caller{known[a.parts.self]}
	for _, e := range entries {
		if e.Name == a.parts.self {
			continue
		}
		c := known[e.Name]
		if c == nil {
			c = &caller{name: e.Name}
		}
		c.address = e.Address
		next = append(next, c)
	}
	slices.SortFunc(next, func(x, y *caller) int {
		if x.name < y.name {
			return -1
		}
		return 1
	})
	a.callers = next
	a.quick = max(1, (len(next)+quickShare-1)/quickShare)
}

// pick chooses the caller with the least backlog of its kind.
func (a *advisorPool) pick(ask *scheduler.Ask) assignment {
	pool := a.callers[:a.quick]
	if ask.Slow() && len(a.callers) > a.quick {
		pool = a.callers[a.quick:]
	}
	best := a.least(pool)
	if best == nil {
		best = a.least(a.callers)
	}
	if best == nil {
		best = a.callers[0]
	}
	cost := time.Duration(ask.Advice.CallMS(len(ask.Upstreams)) * float64(time.Millisecond))
	best.backlog += cost
	out := assignment{caller: best, cost: cost, timeout: best.backlog + adviceMargin}
	if best.name == a.parts.self {
		out.advise = a.parts.advisor.Advise
	} else {
		out.advise = func(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error) {
			return a.parts.peers.Advise(ctx, best.address, step, upstreams)
		}
	}
	return out
}

func (a *advisorPool) least(pool []*caller) *caller {
	var best *caller
	now := time.Now()
	for _, c := range pool {
		if now.Before(c.pausedTil) {
			continue
		}
		if best == nil || c.backlog < best.backlog {
			best = c
		}
	}
	return best
}

// done takes in the end of a call.
func (a *advisorPool) done(as assignment, err error) {
	as.backlog = max(0, as.backlog-as.cost)
	if err != nil {
		as.pausedTil = time.Now().Add(callerPause)
	}
}
