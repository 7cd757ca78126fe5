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
	// adviceMargin is added to the expected duration of an advice request.
	adviceMargin = time.Second
	// callerPause is how long an entry gets no advice requests after a failed one.
	callerPause = 2 * time.Second
	// quickPerCaller and slowPerCaller bound the advice requests in flight per caller;
	// the service serves them one after the other.
	quickPerCaller, slowPerCaller = 6, 2
	// quickCallerDivisor sets how many callers are reserved for quick requests: one in
	// quickCallerDivisor, rounded up.
	quickCallerDivisor = 3
)

// adviceCaller is an entry that sends advice requests. The service serves one request
// at a time per machine, so the requests are spread over all entries.
type adviceCaller struct {
	name    string
	address string
	// backlog is the expected duration of the requests in flight.
	backlog     time.Duration
	pausedUntil time.Time
}

// assignment assigns one advice request to a caller.
type assignment struct {
	*adviceCaller
	cost    time.Duration
	timeout time.Duration
	advise  func(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error)
}

// advisorPool chooses the entry that sends an advice request. It must only be used
// from the control loop.
type advisorPool struct {
	deps         *ownerDeps
	callers      []*adviceCaller
	quickCallers int
}

func (a *advisorPool) init(p *ownerDeps) {
	a.deps = p
	a.callers = []*adviceCaller{{name: p.self}}
	a.quickCallers = 1
}

// limits refreshes the callers and returns how many quick and slow advice requests
// may be in flight.
func (a *advisorPool) limits(r *replica.Replica) (quick, slow int) {
	var entries []ledger.Entry
	r.View(func(t *ledger.Table, _ int64) { entries = t.Entries() })
	a.update(entries)
	n := len(a.callers)
	slowCallers := max(1, n-a.quickCallers)
	return a.quickCallers * quickPerCaller, slowCallers * slowPerCaller
}

func (a *advisorPool) update(entries []ledger.Entry) {
	known := map[string]*adviceCaller{}
	for _, c := range a.callers {
		known[c.name] = c
	}
	next := []*adviceCaller{known[a.deps.self]}
	for _, e := range entries {
		if e.Name == a.deps.self {
			continue
		}
		c := known[e.Name]
		if c == nil {
			c = &adviceCaller{name: e.Name}
		}
		c.address = e.Address
		next = append(next, c)
	}
	slices.SortFunc(next, func(x, y *adviceCaller) int {
		if x.name < y.name {
			return -1
		}
		return 1
	})
	a.callers = next
	a.quickCallers = max(1, (len(next)+quickCallerDivisor-1)/quickCallerDivisor)
}

// pick chooses the caller with the least backlog for a quick or a slow request.
func (a *advisorPool) pick(req *scheduler.AdviceRequest) assignment {
	pool := a.callers[:a.quickCallers]
	if req.Slow() && len(a.callers) > a.quickCallers {
		pool = a.callers[a.quickCallers:]
	}
	best := a.leastBacklog(pool)
	if best == nil {
		best = a.leastBacklog(a.callers)
	}
	if best == nil {
		best = a.callers[0]
	}
	cost := time.Duration(req.Advice.CallMS(len(req.Upstreams)) * float64(time.Millisecond))
	best.backlog += cost
	out := assignment{adviceCaller: best, cost: cost, timeout: best.backlog + adviceMargin}
	if best.name == a.deps.self {
		out.advise = a.deps.advisor.Advise
	} else {
		out.advise = func(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error) {
			return a.deps.peers.Advise(ctx, best.address, step, upstreams)
		}
	}
	return out
}

func (a *advisorPool) leastBacklog(pool []*adviceCaller) *adviceCaller {
	var best *adviceCaller
	now := time.Now()
	for _, c := range pool {
		if now.Before(c.pausedUntil) {
			continue
		}
		if best == nil || c.backlog < best.backlog {
			best = c
		}
	}
	return best
}

// finish processes the end of an advice request. A failed one pauses its caller.
func (a *advisorPool) finish(as assignment, err error) {
	as.backlog = max(0, as.backlog-as.cost)
	if err != nil {
		as.pausedUntil = time.Now().Add(callerPause)
	}
}
