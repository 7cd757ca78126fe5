package machine

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/fairshare"
)

const (
	defaultRetryAfter = time.Second
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = time.Minute
	// dequeueWeight is the weight of the newest interval in the moving average.
	dequeueWeight = 0.2
)

// dequeueRate is the moving average of the interval at which a team's jobs leave its
// queue.
type dequeueRate struct {
	last     state.Time
	interval float64
	// backlog is set when more jobs were queued after the last one left.
	backlog bool
}

func (d *dequeueRate) observe(now state.Time, backlog bool) {
	if d.backlog {
		d.interval += dequeueWeight * (float64(now-d.last) - d.interval)
	}
	d.last = now
	d.backlog = backlog
}

// retryAfter estimates the time until the next job leaves the queue.
func (d *dequeueRate) retryAfter(now state.Time) time.Duration {
	if d.interval <= 0 {
		return defaultRetryAfter
	}
	idle := max(float64(now-d.last), d.interval)
	return min(max(time.Duration(idle), minRetryAfter), maxRetryAfter)
}

// team returns the record of a team and creates it if necessary.
func (m *Machine) team(id state.TeamID) *team {
	t, ok := m.teams[id]
	if ok {
		return t
	}
	t = &team{id: id}
	m.teams[id] = t
	at, _ := slices.BinarySearchFunc(m.teamOrder, id, func(t *team, id state.TeamID) int {
		return strings.Compare(string(t.id), string(id))
	})
	m.teamOrder = slices.Insert(m.teamOrder, at, t)
	return t
}

// allows reports whether a team may commit more. The whole capacity of an unreconciled
// upstream counts as used by the team, because tasks of an earlier owner may be running
// there. A kind of resource of which nothing is needed is not checked.
func (m *Machine) allows(t *team, demand state.Vector) bool {
	if !t.hasQuota {
		return false
	}
	used := t.usage
	if !m.cfg.unreconciledCountsAsUnused {
		used = used.Add(m.unreconciled)
	}
	for _, p := range parts(demand, t.quota.Limit.Sub(used)) {
		if p.demand > 0 && p.demand > p.have {
			return false
		}
	}
	return true
}

// addUsage adds to what a team has committed; the amount may be negative.
func (m *Machine) addUsage(t *team, amount state.Vector) {
	t.usage = t.usage.Add(amount)
	m.refreshShare(t)
}

func (m *Machine) refreshShare(t *team) {
	use := m.use(t)
	m.queue.SetShare(t.id, use.PerWeight(), use.Entitled())
}

// use returns what a team uses of the capacity, with its weight.
func (m *Machine) use(t *team) fairshare.Use {
	return fairshare.Use{Share: t.usage.DominantShare(m.capacity), Weight: float64(max(t.quota.Weight, 1)), Weights: float64(max(m.weights, 1))}
}

func (m *Machine) refreshShares() {
	for _, t := range m.teamOrder {
		m.refreshShare(t)
	}
}

// aboveShare reports whether a team uses more than its weighted share of the capacity.
func (m *Machine) aboveShare(t *team) bool { return !m.use(t).Entitled() }

// commit commits the amount of an attempt on its upstream. It reports false and changes
// nothing when the upstream has too little free.
func (m *Machine) commit(a *attempt) bool {
	if m.cell.Commit(a.up.vm, a.amount) != nil {
		return false
	}
	m.track(a)
	return true
}

// track records an attempt whose amount is already committed on the upstream.
func (m *Machine) track(a *attempt) {
	m.attempts[a.id] = a
	a.placedAt = m.now
	a.position = len(a.up.attempts)
	a.up.attempts = append(a.up.attempts, a)
	a.job.active++
	m.running++
	m.addUsage(m.team(a.job.spec.Team), a.amount)
	a.preemptible = a.job.spec.Preemptible && a.job.restartable() && !a.job.gang()
	if a.preemptible {
		m.service(a.up.service).preemptible++
	}
}

// release drops an attempt whose end is confirmed and frees what it committed.
func (m *Machine) release(a *attempt) {
	m.freeResources(a)
	m.endTrial(a)
	delete(m.attempts, a.id)
	m.earlyEnds.add(Ended{Task: a.id}, true)
	last := len(a.up.attempts) - 1
	a.up.attempts[a.position] = a.up.attempts[last]
	a.up.attempts[a.position].position = a.position
	a.up.attempts[last] = nil
	a.up.attempts = a.up.attempts[:last]
	a.job.active--
	m.running--
	if a.preemptible {
		m.service(a.up.service).preemptible--
	}
	if a.preemptor != nil {
		a.preemptor.preempting--
		a.preemptor = nil
	}
}

func (m *Machine) freeResources(a *attempt) {
	if a.released {
		return
	}
	a.released = true
	m.cell.Release(a.up.vm, a.amount)
	t := m.team(a.job.spec.Team)
	m.addUsage(t, state.Vector{}.Sub(a.amount))
	m.queue.TeamLimitFreed(t.id)
	m.capacityFreed(a.up)
}

// capacityFreed retries queued jobs that an upstream may now have capacity for.
func (m *Machine) capacityFreed(u *upstream) {
	rec, ok := m.cell.Get(u.vm)
	if !ok {
		return
	}
	if u.reservedFor != nil {
		if !slices.Contains(m.gangsToRetry, u.reservedFor) {
			m.gangsToRetry = append(m.gangsToRetry, u.reservedFor)
		}
		m.queue.CapacityFreedFor(u.service, rec.Free, m.service(u.service).backfillEnds-m.now)
		return
	}
	if u.readiness() == cell.Ready {
		m.queue.CapacityFreed(u.service, rec.Free)
	}
}
