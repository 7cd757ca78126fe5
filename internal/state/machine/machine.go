// Package machine is the deterministic state machine of one shard. It turns events into
// actions as a pure function of its state, the event and the time.
package machine

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/cell"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// Machine makes the decisions of the owner of a shard. It is not safe for concurrent
// use.
type Machine struct {
	cfg   Config
	now   state.Time
	cell  *cell.Cell
	queue *queue.Queue

	jobs     map[state.JobID]*job
	attempts map[state.TaskID]*attempt
	teams    map[state.TeamID]*team
	// teamOrder is sorted by ID.
	teamOrder []*team
	weights   int
	quotasSet bool

	upstreams map[state.VMID]*upstream
	// capacity is the total capacity of all upstreams that were fenced.
	capacity state.Vector
	// unreconciled is the total capacity of the upstreams on which tasks of an earlier
	// owner may be running.
	unreconciled state.Vector
	services     map[state.Service]*service

	timers timers
	// endedIdempotent and endedNonIdempotent are the ended jobs, to be dropped after
	// their retention, in the order in which they expire. A job whose retention was
	// extended is in endedNonIdempotent.
	endedIdempotent    []*job
	endedNonIdempotent []*job
	// partiallyAdopted lists adopted jobs of which some tasks have not been accounted
	// for.
	partiallyAdopted []*job
	// awaitingReconcile lists jobs that wait until every upstream of their service has
	// been fenced.
	awaitingReconcile []*job
	// gangsToRetry lists gangs whose reserved upstreams have gained free capacity.
	gangsToRetry []*job
	earlyEnds    earlyEnds
	// outages remembers when upstreams stopped responding.
	outages crashes.Outages
	// urgent lists urgent jobs to check for preemption after placement.
	urgent   []*job
	resigned bool
	// evacuated is set while the shard's failure domain is evacuated.
	evacuated bool
	running   int

	actions []Action
}

// New returns a machine for a shard that this owner has just taken over. It has no
// upstreams, quotas or jobs yet.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:       cfg,
		cell:      cell.New(),
		queue:     queue.New(cfg.Objective),
		jobs:      map[state.JobID]*job{},
		attempts:  map[state.TaskID]*attempt{},
		teams:     map[state.TeamID]*team{},
		upstreams: map[state.VMID]*upstream{},
		services:  map[state.Service]*service{},
	}
}

// Step applies an event and returns the actions that the owner must carry out, in
// order. A time before that of an earlier step is treated as that time.
func (m *Machine) Step(now state.Time, ev Event) []Action {
	m.now = max(m.now, now)
	m.actions = nil
	m.runTimers()
	m.apply(ev)
	m.schedule()
	m.preemptForUrgent()
	m.dropExpired()
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) apply(ev Event) {
	switch ev := ev.(type) {
	case Submit:
		m.submit(ev.Job)
	case CancelJob:
		m.cancel(ev)
	case Started:
		m.taskStarted(ev.Task)
	case StartRefused:
		m.startRefused(ev)
	case StartUnconfirmed:
		m.startUnconfirmed(ev.Task)
	case Ended:
		m.taskEnded(ev)
	case UpstreamJoined:
		m.upstreamJoined(ev)
	case Fenced:
		m.upstreamFenced(ev)
	case UpstreamUnreachable:
		m.upstreamUnreachable(ev.VM, ev.Closed)
	case UpstreamReachable:
		m.upstreamReachable(ev.VM)
	case LeaseExpired:
		m.leaseExpired(ev.VM)
	case UpstreamLeaving:
		m.setLeaving(ev.VM, true)
	case UpstreamLeavingCancelled:
		m.setLeaving(ev.VM, false)
	case UpstreamRemoved:
		m.upstreamRemoved(ev.VM)
	case Usage:
		m.recordUsage(ev)
	case QuotasChanged:
		m.quotasChanged(ev.Quotas)
	case EvacuationChanged:
		m.setEvacuated(ev.Evacuated)
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
			m.faultPauseEnded(t.up)
		case timerProbe:
			m.probeDue(t.up)
		case timerEscalate:
			m.escalate(t.attempt)
		case timerGangWait:
			m.gangWaitExceeded(t.job)
		case timerReservation:
			m.reservationExpired(t.job)
		case timerTrial:
			m.endTrial(t.attempt)
		case timerPreempt:
			t.job.recheckScheduled = false
			m.urgent = append(m.urgent, t.job)
		}
	}
}

// dropExpired drops ended jobs whose retention has passed.
func (m *Machine) dropExpired() {
	var activeIdempotent, activeNonIdempotent []*job
	m.endedIdempotent, activeIdempotent = m.dropExpiredFrom(m.endedIdempotent)
	m.endedNonIdempotent, activeNonIdempotent = m.dropExpiredFrom(m.endedNonIdempotent)
	// Both lists stay ordered, because the retention of active jobs is extended by that of
	// the second list.
	m.endedNonIdempotent = slices.Concat(m.endedNonIdempotent, activeIdempotent, activeNonIdempotent)
}

// dropExpiredFrom drops the expired jobs of a list and returns the others. A job stays
// known as long as one of its attempts may be running; active holds those jobs, whose
// retention is extended.
func (m *Machine) dropExpiredFrom(ended []*job) (kept, active []*job) {
	for len(ended) > 0 && ended[0].expires <= m.now {
		j := ended[0]
		ended[0] = nil
		ended = ended[1:]
		if j.active == 0 {
			delete(m.jobs, j.spec.ID)
			continue
		}
		j.expires = m.now + m.cfg.RetentionNotIdempotent
		active = append(active, j)
	}
	return ended, active
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
