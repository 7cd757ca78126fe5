// Package machine is the state machine of one shard: it turns events into
// actions as a pure function of its state, the event and the time.
package machine

import (
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// Machine decides what the owner of a shard does. It is not safe for
// concurrent use.
type Machine struct {
	cfg   Config
	now   state.Time
	cell  *cell.Cell
	queue *queue.Queue

	jobs  map[state.JobID]*job
	tasks map[state.TaskID]*attempt
	teams map[state.TeamID]*team
	// teamOrder is sorted by ID.
	teamOrder []*team
	weights   int
	quotasSet bool

	upstreams map[state.VMID]*upstream
	// capacity is that of all fenced upstreams.
	capacity state.Vector
	// unknown is the capacity of the upstreams where work of an earlier
	// owner may run.
	unknown  state.Vector
	services map[state.Service]*service

	timers timers
	// ended and endedOnce are the ended jobs to forget, oldest first.
	ended     []*job
	endedOnce []*job
	// partial are adopted jobs of which not every task is accounted for.
	partial []*job
	// waiting are jobs held until every upstream is fenced.
	waiting []*job
	// heldGangs are gangs whose held upstreams have more room now.
	heldGangs []*job
	early     earlyEnds
	// urgent are urgent jobs to look at once more after placement.
	urgent   []*job
	resigned bool
	running  int

	out []Action
}

// New returns a machine for a shard that was taken over.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:       cfg,
		cell:      cell.New(),
		queue:     queue.New(cfg.Objective),
		jobs:      map[state.JobID]*job{},
		tasks:     map[state.TaskID]*attempt{},
		teams:     map[state.TeamID]*team{},
		upstreams: map[state.VMID]*upstream{},
		services:  map[state.Service]*service{},
	}
}

// Step applies an event at a time, which never goes back, and returns what the
// owner must do, in order.
func (m *Machine) Step(now state.Time, ev Event) []Action {
	m.now = max(m.now, now)
	m.out = nil
	m.runTimers()
	m.apply(ev)
	m.schedule()
	m.makeRoom()
	m.forget()
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) apply(ev Event) {
	switch ev := ev.(type) {
	case Submit:
		m.submit(ev.Job)
	case CancelJob:
		m.cancel(ev)
	case Started:
		m.started(ev.Task)
	case StartRefused:
		m.startRefused(ev)
	case StartUnknown:
		m.startUnknown(ev.Task)
	case Ended:
		m.taskEnded(ev)
	case UpstreamJoined:
		m.joined(ev)
	case Fenced:
		m.fenced(ev)
	case UpstreamSilent:
		m.silent(ev.VM)
	case UpstreamBack:
		m.back(ev.VM)
	case LeaseLapsed:
		m.leaseLapsed(ev.VM)
	case UpstreamLeaving:
		m.setLeaving(ev.VM, true)
	case UpstreamStays:
		m.setLeaving(ev.VM, false)
	case UpstreamGone:
		m.gone(ev.VM)
	case Usage:
		m.measured(ev)
	case QuotasChanged:
		m.quotasChanged(ev.Quotas)
	case Resign:
		m.resign()
	case Tick:
	}
}

func (m *Machine) runTimers() {
	for t := m.timers.due(m.now); t != nil; t = m.timers.due(m.now) {
		switch t.kind {
		case timerDeadline:
			m.deadlinePassed(t.job)
		case timerRetry:
			m.retryDue(t.job, t.index)
		case timerFault:
			m.faultOver(t.up)
		case timerProbe:
			m.probeDue(t.up)
		case timerEscalate:
			m.escalate(t.attempt)
		case timerGangPatience:
			m.gangWaitsLong(t.job)
		case timerGangHold:
			m.gangHoldOver(t.job)
		case timerPreempt:
			t.job.watched = false
			m.urgent = append(m.urgent, t.job)
		}
	}
}

// forget drops ended jobs whose retention is over.
func (m *Machine) forget() {
	m.ended = m.forgetFrom(m.ended)
	m.endedOnce = m.forgetFrom(m.endedOnce)
}

func (m *Machine) forgetFrom(ended []*job) []*job {
	for len(ended) > 0 && ended[0].expires <= m.now {
		j := ended[0]
		ended[0] = nil
		ended = ended[1:]
		if j.active == 0 {
			delete(m.jobs, j.spec.ID)
			continue
		}
		// An attempt that may still run keeps its job known.
		j.expires = m.now + m.cfg.RetentionNotIdempotent
		ended = append(ended, j)
	}
	return ended
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }
