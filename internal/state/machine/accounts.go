package machine

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
)

const (
	defaultRetryAfter = time.Second
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = time.Minute
	// drainWeight is the weight of the newest interval in the average.
	drainWeight = 0.2
)

// drainRate is the average interval at which a team's jobs leave its queue.
type drainRate struct {
	last     state.Time
	interval float64
	// waits says that jobs waited when the last one left.
	waits bool
}

func (d *drainRate) observe(now state.Time, waits bool) {
	if d.waits {
		d.interval += drainWeight * (float64(now-d.last) - d.interval)
	}
	d.last = now
	d.waits = waits
}

// retryAfter is when the next job is likely to leave the queue.
func (d *drainRate) retryAfter(now state.Time) time.Duration {
	if d.interval <= 0 {
		return defaultRetryAfter
	}
	idle := max(float64(now-d.last), d.interval)
	return min(max(time.Duration(idle), minRetryAfter), maxRetryAfter)
}

// team returns the record of a team, which it adds when it is new.
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

// allows reports whether a team may hold more. Every upstream where work of an
// earlier owner may run counts as full of the team's work. A kind of which
// nothing is needed does not matter.
func (m *Machine) allows(t *team, need state.Vector) bool {
	if !t.known {
		return false
	}
	used := t.usage
	if !m.cfg.unfencedCountsAsEmpty {
		used = used.Add(m.unknown)
	}
	for _, p := range parts(need, t.quota.Limit.Sub(used)) {
		if p.need > 0 && p.need > p.have {
			return false
		}
	}
	return true
}

// use changes what a team holds.
func (m *Machine) use(t *team, amount state.Vector) {
	t.usage = t.usage.Add(amount)
	m.refreshShare(t)
}

func (m *Machine) refreshShare(t *team) {
	share := t.usage.DominantShare(m.capacity)
	weight := max(t.quota.Weight, 1)
	entitled := share*float64(max(m.weights, 1)) <= float64(weight)
	m.queue.SetShare(t.id, share/float64(weight), entitled)
}

func (m *Machine) refreshShares() {
	for _, t := range m.teamOrder {
		m.refreshShare(t)
	}
}

// aboveShare reports whether a team holds more than the share it can count on.
func (m *Machine) aboveShare(t *team) bool {
	share := t.usage.DominantShare(m.capacity)
	return share*float64(max(m.weights, 1)) > float64(max(t.quota.Weight, 1))
}

// commit takes room for an attempt. It reports false when the upstream has
// none, and then changes nothing.
func (m *Machine) commit(a *attempt) bool {
	if m.cell.Commit(a.up.vm, a.amount) != nil {
		return false
	}
	m.track(a)
	return true
}

// track counts an attempt whose room on the upstream is taken.
func (m *Machine) track(a *attempt) {
	m.tasks[a.id] = a
	a.placedAt = m.now
	a.position = len(a.up.tasks)
	a.up.tasks = append(a.up.tasks, a)
	a.job.active++
	m.running++
	m.use(m.team(a.job.spec.Team), a.amount)
	a.yields = a.job.spec.Preemptible && a.job.restartable() && !a.job.gang()
	if a.yields {
		m.service(a.up.service).preemptible++
	}
}

// release gives back what an attempt holds, once its end is proved.
func (m *Machine) release(a *attempt) {
	m.giveBack(a)
	delete(m.tasks, a.id)
	m.early.keep(Ended{Task: a.id}, true)
	last := len(a.up.tasks) - 1
	a.up.tasks[a.position] = a.up.tasks[last]
	a.up.tasks[a.position].position = a.position
	a.up.tasks[last] = nil
	a.up.tasks = a.up.tasks[:last]
	a.job.active--
	m.running--
	if a.yields {
		m.service(a.up.service).preemptible--
	}
	if a.beneficiary != nil {
		a.beneficiary.preempting--
		a.beneficiary = nil
	}
}

func (m *Machine) giveBack(a *attempt) {
	if a.released {
		return
	}
	a.released = true
	m.cell.Release(a.up.vm, a.amount)
	t := m.team(a.job.spec.Team)
	m.use(t, state.Vector{}.Sub(a.amount))
	m.queue.TeamFreed(t.id)
	m.roomFreed(a.up)
}

// roomFreed lets waiting work look at an upstream again.
func (m *Machine) roomFreed(u *upstream) {
	rec, ok := m.cell.Get(u.vm)
	if !ok {
		return
	}
	if u.holder != nil {
		if !slices.Contains(m.heldGangs, u.holder) {
			m.heldGangs = append(m.heldGangs, u.holder)
		}
		m.queue.FreedFor(u.service, rec.Free, m.service(u.service).backfillEnds-m.now)
		return
	}
	if u.readiness() == cell.Ready {
		m.queue.Freed(u.service, rec.Free)
	}
}
