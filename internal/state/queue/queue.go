// Package queue orders waiting jobs between teams and within each team, and
// remembers which of them are known to be blocked, so that an event looks only
// at work that it may have made runnable.
package queue

import (
	"cmp"
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Objective is what the order between teams favours.
type Objective string

// The objectives.
const (
	// Waiting lets urgent work of teams within their share go first, oldest
	// first, then other work of teams within their share, then the rest,
	// each by rank.
	Waiting Objective = "waiting"
	// Share serves the team with the lowest weighted dominant share first.
	Share Objective = "share"
)

// Valid reports whether o is a known objective.
func (o Objective) Valid() bool { return o == Waiting || o == Share }

// UnknownRun is the Run of an item of which nothing is known. It exceeds every
// other.
const UnknownRun time.Duration = math.MaxInt64

// Cause tells why an item can't be placed now.
type Cause int

// The causes.
const (
	None Cause = iota
	// Limit: the team's limit leaves no room.
	Limit
	// Room: no upstream has room.
	Room
)

// Item is a job that waits to be placed.
type Item struct {
	Job     state.JobID
	Team    state.TeamID
	Service state.Service
	// Each is what one task commits.
	Each state.Vector
	// Together is the number of tasks to be placed at once, 1 or more.
	Together int
	Urgent   bool
	// Run is how long a task is expected to run. Work of up to some length may
	// use room that is free for that long only.
	Run     time.Duration
	Arrived state.Time
	// Rank orders the items of a team; see the function Rank.
	Rank state.Time

	sequence uint64
	index    int
	bucket   *bucket
}

// Queued reports whether the item is in a queue.
func (it *Item) Queued() bool { return it.bucket != nil }

// Queue is the waiting jobs of a shard. It is not safe for concurrent use.
type Queue struct {
	objective Objective
	teams     map[state.TeamID]*team
	// active are the teams that have items.
	active   []*team
	marks    marks
	sequence uint64
	items    int
	// settled says that every item is known to be blocked.
	settled bool
}

// New returns an empty queue.
func New(objective Objective) *Queue {
	return &Queue{
		objective: objective,
		teams:     map[state.TeamID]*team{},
		marks:     marks{byService: map[state.Service][]mark{}},
	}
}

// Len returns the number of items.
func (q *Queue) Len() int { return q.items }

// Push adds an item that is not in a queue.
func (q *Queue) Push(it *Item) {
	t := q.team(it.Team)
	q.settled = false
	q.sequence++
	it.sequence = q.sequence
	if t.items == 0 {
		t.position = len(q.active)
		q.active = append(q.active, t)
	}
	t.push(it)
	q.items++
}

// Remove takes an item out; one that is in no queue is left alone.
func (q *Queue) Remove(it *Item) {
	if it.bucket == nil {
		return
	}
	t := q.team(it.Team)
	q.settled = false
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

// SetShare records a team's weighted dominant share, and whether the team is
// within the share that it can count on.
func (q *Queue) SetShare(id state.TeamID, share float64, entitled bool) {
	t := q.team(id)
	t.share = share
	t.entitled = entitled
}

// Forget drops what is known of a team that has no items.
func (q *Queue) Forget(id state.TeamID) {
	if t, ok := q.teams[id]; ok && t.items == 0 {
		delete(q.teams, id)
	}
}

// Next returns the item to place next, of those not known to be blocked, or
// nil. The item stays in the queue.
func (q *Queue) Next() *Item {
	if q.settled {
		return nil
	}
	var best *Item
	var bestTeam *team
	for _, t := range q.active {
		it := t.best(&q.marks)
		if it == nil {
			continue
		}
		if best == nil || q.before(it, t, best, bestTeam) {
			best, bestTeam = it, t
		}
	}
	q.settled = best == nil
	return best
}

// Block says that an item, the first of its kind, can't be placed now. A block
// for Room of an item with Together 1 covers all that need as much of the
// service for as long.
func (q *Queue) Block(it *Item, cause Cause) {
	if cause == Room && it.Together == 1 && q.marks.add(it.Service, mark{each: it.Each, run: it.Run}) {
		return
	}
	it.bucket.blocked = cause
	it.bucket.blockedNeed = it.need()
	it.bucket.blockedRun = it.Run
}

// Blocked returns why an item is known to be blocked.
func (q *Queue) Blocked(it *Item) Cause {
	if it.bucket == nil {
		return None
	}
	if it.bucket.blocked != None {
		return it.bucket.blocked
	}
	if q.marks.cover(it) {
		return Room
	}
	return None
}

// Freed says that an upstream of the service has this much free.
func (q *Queue) Freed(service state.Service, free state.Vector) {
	q.FreedFor(service, free, UnknownRun)
}

// FreedFor says that an upstream of the service has this much free for work
// that runs no longer than the limit.
func (q *Queue) FreedFor(service state.Service, free state.Vector, limit time.Duration) {
	q.settled = false
	q.marks.freed(service, free, limit)
	for _, t := range q.active {
		for _, b := range t.buckets {
			if b.blocked == Room && b.shape.service == service && b.head().Run <= limit && b.head().Each.Fits(free) {
				b.blocked = None
			}
		}
	}
}

// TeamFreed says that a team uses less of its limit or has a higher one.
func (q *Queue) TeamFreed(id state.TeamID) {
	q.settled = false
	q.team(id).unblock(Limit)
}

// LimitsFreed says that every team may have more room within its limit.
func (q *Queue) LimitsFreed() {
	q.settled = false
	for _, t := range q.active {
		t.unblock(Limit)
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

// before reports whether item a of team ta goes before item b of team tb.
func (q *Queue) before(a *Item, ta *team, b *Item, tb *team) bool {
	if q.objective == Waiting {
		return beforeInTime(a, ta, b, tb)
	}
	if c := cmp.Compare(ta.share, tb.share); c != 0 {
		return c < 0
	}
	return a.before(b)
}

// beforeInTime is the order of the objective Waiting. Between teams above
// their share the lead of urgent work does not count.
func beforeInTime(a *Item, ta *team, b *Item, tb *team) bool {
	if ta.entitled != tb.entitled {
		return ta.entitled
	}
	if !ta.entitled {
		c := cmp.Compare(a.rankWithoutLead(), b.rankWithoutLead())
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
