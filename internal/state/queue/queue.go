// Package queue orders waiting jobs between teams and within each team. It records which
// jobs are known to be blocked, so that after an event only those jobs are tried again
// that the event may have made placeable.
package queue

import (
	"cmp"
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Objective selects the order between teams.
type Objective string

// The objectives.
const (
	// Waiting serves urgent work of teams within their share first, in order of
	// arrival, then other work of teams within their share, then the rest, each by
	// rank.
	Waiting Objective = "waiting"
	// Share serves the team with the lowest weighted dominant share first.
	Share Objective = "share"
)

// Valid reports whether o is a known objective.
func (o Objective) Valid() bool { return o == Waiting || o == Share }

// UnknownRun is the Run of an item whose run time is not known. It exceeds every known
// run time.
const UnknownRun time.Duration = math.MaxInt64

// BlockCause is the reason why an item cannot be placed now.
type BlockCause int

// The causes.
const (
	// NotBlocked means that the item is not known to be blocked.
	NotBlocked BlockCause = iota
	// OverTeamLimit means that the item does not fit within the limit of its team.
	OverTeamLimit
	// NoCapacity means that no upstream has enough free capacity.
	NoCapacity
)

// Item is a job that waits to be placed. Its exported fields must not change while it is
// queued.
type Item struct {
	Job     state.JobID
	Team    state.TeamID
	Service state.Service
	// Each is the resources committed per task.
	Each state.Vector
	// MinTasks is the number of tasks that must be placed together, at least 1.
	MinTasks int
	Urgent   bool
	// Run is the expected run time of a task. Capacity that is free for a limited
	// time only can be used by tasks that run no longer than that.
	Run     time.Duration
	Arrived state.Time
	// Rank orders the items of a team, lowest first; see the function Rank.
	Rank state.Time

	sequence uint64
	index    int
	bucket   *bucket
}

// Queued reports whether the item is in a queue.
func (it *Item) Queued() bool { return it.bucket != nil }

// Queue holds the waiting jobs of a shard. It is not safe for concurrent use.
type Queue struct {
	objective Objective
	teams     map[state.TeamID]*team
	// active holds the teams that have items, in no particular order.
	active     []*team
	infeasible infeasibleSet
	sequence   uint64
	items      int
	// allBlocked says that every item is known to be blocked, so that Next can return
	// without a scan.
	allBlocked bool
}

// New returns an empty queue.
func New(objective Objective) *Queue {
	return &Queue{
		objective:  objective,
		teams:      map[state.TeamID]*team{},
		infeasible: infeasibleSet{byService: map[state.Service][]infeasibleRequest{}},
	}
}

// Len returns the number of items in the queue.
func (q *Queue) Len() int { return q.items }

// Push adds an item, which must not be in a queue already.
func (q *Queue) Push(it *Item) {
	t := q.team(it.Team)
	q.allBlocked = false
	q.sequence++
	it.sequence = q.sequence
	if t.items == 0 {
		t.position = len(q.active)
		q.active = append(q.active, t)
	}
	t.push(it)
	q.items++
}

// Remove removes an item. It does nothing if the item is not in a queue.
func (q *Queue) Remove(it *Item) {
	if it.bucket == nil {
		return
	}
	t := q.team(it.Team)
	q.allBlocked = false
	t.remove(it)
	q.items--
	if t.items > 0 {
		return
	}
	last := len(q.active) - 1
	q.active[t.position] = q.active[last]
	q.active[t.position].position = t.position
	q.active = q.active[:last]
}

// SetShare sets a team's weighted dominant share. entitled says that the team is within
// its guaranteed share.
func (q *Queue) SetShare(id state.TeamID, share float64, entitled bool) {
	t := q.team(id)
	t.share = share
	t.entitled = entitled
}

// DropTeam drops the state of a team. It does nothing while the team has items.
func (q *Queue) DropTeam(id state.TeamID) {
	if t, ok := q.teams[id]; ok && t.items == 0 {
		delete(q.teams, id)
	}
}

// Next returns the first item that is not known to be blocked, or nil. The item stays in
// the queue.
func (q *Queue) Next() *Item {
	if q.allBlocked {
		return nil
	}
	var best *Item
	var bestTeam *team
	for _, t := range q.active {
		it := t.best(&q.infeasible)
		if it == nil {
			continue
		}
		if best == nil || q.before(it, t, best, bestTeam) {
			best, bestTeam = it, t
		}
	}
	q.allBlocked = best == nil
	return best
}

// Block records that an item returned by Next cannot be placed now. It blocks all items of
// the same team and shape. A NoCapacity block of an item with MinTasks 1 instead blocks
// the items of all teams that need at least as much of the service for at least as long,
// up to maxInfeasible distinct requests per service.
func (q *Queue) Block(it *Item, cause BlockCause) {
	if cause == NoCapacity && it.MinTasks == 1 && q.infeasible.add(it.Service, infeasibleRequest{each: it.Each, run: it.Run}) {
		return
	}
	it.bucket.blocked = cause
	it.bucket.blockedDemand = it.demand()
	it.bucket.blockedRun = it.Run
}

// Blocked returns the cause for which an item is known to be blocked, or NotBlocked.
func (q *Queue) Blocked(it *Item) BlockCause {
	if it.bucket == nil {
		return NotBlocked
	}
	if it.bucket.blocked != NotBlocked {
		return it.bucket.blocked
	}
	if q.infeasible.covers(it) {
		return NoCapacity
	}
	return NotBlocked
}

// CapacityFreed reports that an upstream of the service has the given free capacity, and
// unblocks the items that may now fit.
func (q *Queue) CapacityFreed(service state.Service, free state.Vector) {
	q.CapacityFreedFor(service, free, UnknownRun)
}

// CapacityFreedFor is like CapacityFreed, for capacity that is free only for tasks that run
// no longer than limit.
func (q *Queue) CapacityFreedFor(service state.Service, free state.Vector, limit time.Duration) {
	q.allBlocked = false
	q.infeasible.removeFitting(service, free, limit)
	for _, t := range q.active {
		for _, b := range t.buckets {
			if b.blocked == NoCapacity && b.shape.service == service && b.head().Run <= limit && b.head().Each.Fits(free) {
				b.blocked = NotBlocked
			}
		}
	}
}

// TeamLimitFreed reports that a team uses less of its limit or has a higher limit, and
// unblocks its items that were blocked with OverTeamLimit.
func (q *Queue) TeamLimitFreed(id state.TeamID) {
	q.allBlocked = false
	q.team(id).unblock(OverTeamLimit)
}

// AllLimitsFreed does what TeamLimitFreed does for all teams.
func (q *Queue) AllLimitsFreed() {
	q.allBlocked = false
	for _, t := range q.active {
		t.unblock(OverTeamLimit)
	}
}

func (q *Queue) team(id state.TeamID) *team {
	t, ok := q.teams[id]
	if !ok {
		t = &team{id: id, byShape: map[shape]*bucket{}, entitled: true}
		q.teams[id] = t
	}
	return t
}

// before reports whether item a of team ta precedes item b of team tb.
func (q *Queue) before(a *Item, ta *team, b *Item, tb *team) bool {
	if q.objective == Waiting {
		return beforeByWaiting(a, ta, b, tb)
	}
	if c := cmp.Compare(ta.share, tb.share); c != 0 {
		return c < 0
	}
	return a.before(b)
}

// beforeByWaiting implements before for the objective Waiting. Between teams above their
// share, UrgentLead does not count.
func beforeByWaiting(a *Item, ta *team, b *Item, tb *team) bool {
	if ta.entitled != tb.entitled {
		return ta.entitled
	}
	if !ta.entitled {
		c := cmp.Compare(a.rankWithoutUrgentLead(), b.rankWithoutUrgentLead())
		return cmp.Or(c, cmp.Compare(a.sequence, b.sequence)) < 0
	}
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if a.Urgent && a.Arrived != b.Arrived {
		return a.Arrived < b.Arrived
	}
	return a.before(b)
}
