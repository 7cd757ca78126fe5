package dispatch

import (
	"context"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// minAdviceMargin and maxAdviceMargin bound what is added to the expected duration of an
	// advice request until it counts as unanswered.
	minAdviceMargin, maxAdviceMargin = 300 * time.Millisecond, time.Second
	// advisorRefreshInterval is the minimum time between two updates of the advisors from
	// the registered entries.
	advisorRefreshInterval = 200 * time.Millisecond
)

// refreshAdvisors passes the names of all entries to the scheduler, which assigns the
// advice requests to them, and keeps their addresses.
func (o *owner) refreshAdvisors(now time.Time) {
	if now.Sub(o.advisorsRefreshedAt) < advisorRefreshInterval {
		return
	}
	o.advisorsRefreshedAt = now
	names := []string{o.self}
	o.advisorAddresses, o.advisorDomains = map[string]string{}, map[string]state.DomainID{}
	o.replica.View(func(t *ledger.Table, _ int64) {
		for _, e := range t.Entries() {
			if e.Name != o.self {
				names = append(names, e.Name)
				o.advisorAddresses[e.Name], o.advisorDomains[e.Name] = e.Address, e.Domain
			}
		}
	})
	o.sched.SetAdvisors(names)
	for _, domain := range o.domains.AllSilent() {
		o.pauseAdvisors(domain)
	}
}

// requestAdvice has an advice request sent by the entry that the scheduler chose and
// passes the resulting tickets to the scheduler.
func (o *owner) requestAdvice(a *scheduler.AdviceRequest) {
	address := o.advisorAddresses[a.Advisor]
	o.metrics.adviceCalls.Inc(1)
	margin := o.adviceMargin.Limit()
	o.spawn(func() {
		began := time.Now()
		ctx, cancel := context.WithTimeout(o.ctx, a.Expected+margin)
		defer cancel()
		tickets, err := o.advise(ctx, a.Advisor, address, a.Step, a.Upstreams)
		took := time.Since(began)
		until := time.Now().Add(tickets.Valid - took/2 + time.Duration(a.Advice.CallMS(len(a.Upstreams))/2)*time.Millisecond)
		o.logger.Info("advice", "step", a.Step, "caller", a.Advisor, "asked", len(a.Upstreams), "good", len(tickets.Good), "took_ms", took.Milliseconds(), "error", err)
		o.post(func() {
			if err != nil {
				o.metrics.adviceFailures.Inc(1)
			}
			o.adviceMargin.Observe(took - a.Expected) // one without a response would have taken longer
			o.pendingStarts = append(o.pendingStarts, o.sched.ApplyAdvice(o.now(), a, tickets.Good, o.at(until), err != nil)...)
		})
	})
}

// pauseAdvisors pauses the entries of a failure domain that send advice requests.
func (o *owner) pauseAdvisors(domain state.DomainID) {
	for name, d := range o.advisorDomains {
		if d == domain {
			o.sched.PauseAdvisor(o.now(), name)
		}
	}
}

// advise sends an advice request through an entry, which may be this one.
func (o *owner) advise(ctx context.Context, advisor, address string, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error) {
	if advisor == o.self {
		return o.advisor.Advise(ctx, step, upstreams)
	}
	return o.peers.Advise(ctx, address, step, upstreams)
}
