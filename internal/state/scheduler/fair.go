package scheduler

import (
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/fairshare"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// fairness is the state for sharing a service among the workspaces and domains whose work
// waits for it.
type fairness struct {
	accounts map[accountKey]*account
	// turns tracks who waits without being served.
	turns map[turnKey]*turn
	// started holds the latest start of a task of each queue.
	started map[workload.QueueName]*startedTask
	// claimants holds what the jobs of a queue, workspace and domain have in common.
	claimants map[claimantKey]*claimant
	// round is the time of the latest plan, lastRound that of the one before.
	round, lastRound state.Time
	// promoted counts the steps that go first in the latest plan after a long wait.
	promoted int
}

type accountKey struct {
	service   workload.ServiceName
	workspace workload.WorkspaceName
}

// account is what a workspace uses of a service.
type account struct {
	used state.Vector
	// excess is how far the use exceeds the workspace's part of the service in the latest
	// plan; see fairshare.Use.
	excess int
	// waits is set if work of the workspace waits in the latest plan.
	waits bool
}

// turnKey selects the work that takes turns with other work of its priority: that of a
// workspace, or of the callers of a domain.
type turnKey struct {
	service   workload.ServiceName
	priority  int
	workspace workload.WorkspaceName
	domain    state.DomainID
}

// startedTask is the latest start of a task of a queue.
type startedTask struct {
	at     state.Time
	demand state.Vector
	// promotedAt is the latest plan in which a step of the queue that was passed over went
	// first.
	promotedAt state.Time
}

type claimantKey struct {
	queue     workload.QueueName
	workspace workload.WorkspaceName
	domain    state.DomainID
}

// claimant holds the accounts and turns of the jobs of a queue, workspace and domain. Plans
// reach them through the job, as looking them up would double the cost of a plan.
type claimant struct {
	account *account
	// workspace and domain are the turns; domain is nil if it is not known.
	workspace, domain *turn
	started           *startedTask
}

// turn is a turn and the latest round in which a step was promoted for it.
type turn struct {
	fairshare.Turn
	promotedAt state.Time
}

func newFairness() fairness {
	return fairness{
		accounts: map[accountKey]*account{}, turns: map[turnKey]*turn{},
		started: map[workload.QueueName]*startedTask{}, claimants: map[claimantKey]*claimant{},
	}
}

func (f *fairness) account(service workload.ServiceName, workspace workload.WorkspaceName) *account {
	return getOrAdd(f.accounts, accountKey{service, workspace})
}

func getOrAdd[K comparable, V any](m map[K]*V, key K) *V {
	v := m[key]
	if v == nil {
		v = new(V)
		m[key] = v
	}
	return v
}

// claimantOf returns the claimant of a job, or nil if the configuration does not have its
// queue.
func (s *Scheduler) claimantOf(j *job) *claimant {
	if j.claimant != nil {
		return j.claimant
	}
	q := s.config.Queue(j.spec.Queue)
	if q == nil {
		return nil
	}
	f, key := &s.fair, claimantKey{q.Name, j.spec.Workspace, j.spec.Domain}
	c := f.claimants[key]
	if c == nil {
		c = &claimant{account: f.account(q.Service, key.workspace), started: getOrAdd(f.started, q.Name)}
		c.workspace = getOrAdd(f.turns, turnKey{service: q.Service, priority: q.Priority, workspace: key.workspace})
		if key.domain != "" {
			c.domain = getOrAdd(f.turns, turnKey{service: q.Service, priority: q.Priority, domain: key.domain})
		}
		f.claimants[key] = c
	}
	j.claimant = c
	return c
}

// resetClaimants drops what jobs have in common, because queues may have another service or
// priority now.
func (s *Scheduler) resetClaimants() {
	clear(s.fair.claimants)
	for _, j := range s.jobs {
		j.claimant = nil
	}
}

// updateExcess computes how far each workspace exceeds its part of a service. Only the
// workspaces that use the service or wait for it count, so an idle part is lent.
func (s *Scheduler) updateExcess() {
	f := &s.fair
	for st := range s.ready {
		if c := s.claimantOf(st.job); c != nil {
			c.account.waits = true
		}
	}
	weights := map[workload.ServiceName]int64{} // in weightUnits, whose sum does not depend on the order
	for key, a := range f.accounts {
		if a.waits || a.used != (state.Vector{}) {
			weights[key.service] += s.weight(key.workspace)
		}
	}
	capacity := map[workload.ServiceName]state.Vector{}
	for service := range weights {
		total := state.Vector{}
		for _, u := range s.byService[service] {
			total = total.Add(u.Capacity)
		}
		total.Slots = 0 // they do not limit tasks
		capacity[service] = total
	}
	for key, a := range f.accounts {
		use := fairshare.Use{Share: a.used.DominantShare(capacity[key.service]), Weight: float64(s.weight(key.workspace)), Weights: float64(weights[key.service])}
		a.excess, a.waits = use.Excess(), false
	}
}

// weightUnits is the resolution of weights.
const weightUnits = 1000

// weight returns the weight of a workspace in weightUnits, or 0 if it takes no part in the
// sharing.
func (s *Scheduler) weight(name workload.WorkspaceName) int64 {
	if w := s.config.Workspace(name); w != nil {
		return int64(max(0, w.Weight) * weightUnits)
	}
	return 0
}

// excess returns how far a workspace exceeded its part of a service in the latest plan.
func (s *Scheduler) excess(service workload.ServiceName, workspace workload.WorkspaceName) int {
	if a := s.fair.accounts[accountKey{service, workspace}]; a != nil {
		return a.excess
	}
	return 0
}

// noteWaits records that a step waits for capacity in this plan.
func (s *Scheduler) noteWaits(now state.Time, st *step) {
	c := s.claimantOf(st.job)
	if c == nil || st.spec.LongRunning { // long-running work ranks with the most urgent work
		return
	}
	c.workspace.Waits(now, s.fair.lastRound)
	if c.domain != nil {
		c.domain.Waits(now, s.fair.lastRound)
	}
}

// noteBlocked records that no upstream has the capacity for a task of the step. It notes
// whether a narrower task of the queue was started since the first time.
func (s *Scheduler) noteBlocked(now state.Time, st *step) {
	if st.blockedSince == 0 {
		st.blockedSince = now
	}
	c := s.claimantOf(st.job)
	if c == nil || st.passedOver || c.started.at < st.blockedSince {
		return
	}
	demand := st.spec.Demand()
	st.passedOver = c.started.demand != demand && c.started.demand.Fits(demand)
}

// noteStarted records that a task of the step is started.
func (s *Scheduler) noteStarted(now state.Time, st *step) {
	st.blockedSince, st.passedOver = 0, false
	if st.job.firstStart == 0 {
		st.job.firstStart = now
	}
	c := s.claimantOf(st.job)
	if c == nil {
		return
	}
	c.started.at, c.started.demand = now, st.spec.Demand()
	c.workspace.Served(now)
	if c.domain != nil {
		c.domain.Served(now)
	}
}

// promoteOverdue moves the first step of each workspace and domain that has waited too long
// without being served to the front of its priority, and the first step of each queue that
// was passed over too long. It reports whether the order has changed.
func (s *Scheduler) promoteOverdue(now state.Time, all []rankedStep) (changed bool) {
	f := &s.fair
	f.lastRound, f.round, f.promoted = f.round, now, 0
	for i := range all {
		st := all[i].step
		st.promoted = false
		c := s.claimantOf(st.job)
		if c == nil || st.spec.LongRunning {
			continue
		}
		if st.passedOver && now-st.blockedSince >= fairshare.MaxWait && c.started.promotedAt != now {
			c.started.promotedAt = now
			st.promoted = true
		}
		st.promoted = c.workspace.promote(now, f.lastRound) || st.promoted
		if c.domain != nil {
			st.promoted = c.domain.promote(now, f.lastRound) || st.promoted
		}
		if st.promoted {
			r := &all[i].rank
			r.overShare, r.lateness, r.excess, r.dueBy = false, onTime, 0, 0
			f.promoted++
			changed = true
		}
	}
	return changed
}

// promote reports whether the turn is overdue, once in each round.
func (t *turn) promote(now, last state.Time) bool {
	if t.promotedAt == now || !t.Overdue(now, last) {
		return false
	}
	t.promotedAt = now
	return true
}
