package dispatch

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/scheduler"
)

// Limits of the commands that wait for a response. A plan may hold thousands of them, for jobs of
// many tasks. The others wait in the owner: sent at once, they would wait for one of an upstream's
// connections until they time out, and each would take a goroutine and its buffers meanwhile.
const (
	// maxCommandsPerUpstream leaves connections of the upstream to polls.
	maxCommandsPerUpstream = 8
	// maxCommands applies to all upstreams together.
	maxCommands = 1024
)

// command is a start, a stop or a pace that waits to be sent.
type command struct {
	urgency urgency
	seq     uint64
	// start is set for starts.
	start *scheduler.Start
	// send returns the call, or nil if the command is not to be sent any more. It is called by the
	// control loop.
	send func() (call func())
}

// urgency orders the commands to one upstream; lower ones are sent first.
type urgency struct {
	kind commandKind
	// priority is that of the queue, for starts of single tasks.
	priority int
}

type commandKind uint8

const (
	// stopCommand comes first: stops have time bounds and free capacity.
	stopCommand commandKind = iota
	// paceCommand protects running work.
	paceCommand
	// gangStart comes before other starts: the members of a gang wait for each other on their
	// upstreams for a limited time only.
	gangStart
	singleStart
)

func (a urgency) compare(b urgency) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.priority, b.priority))
}

// commandHeap holds the commands to one upstream. It implements heap.Interface.
type commandHeap []command

func (h commandHeap) Len() int { return len(h) }
func (h commandHeap) Less(i, j int) bool {
	return cmp.Or(h[i].urgency.compare(h[j].urgency), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h commandHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *commandHeap) Push(c any)   { *h = append(*h, c.(command)) }
func (h *commandHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = command{}
	*h = (*h)[:last]
	return c
}

// linkCommands are the commands to one upstream. Only the control loop uses them.
type linkCommands struct {
	waiting commandHeap
	// inFlight counts the commands that wait for a response.
	inFlight int
	// inTurn is set while the link is among those whose turn comes.
	inTurn bool
}

// commandQueue holds the commands of an owner that wait to be sent.
type commandQueue struct {
	seq      uint64
	inFlight int
	waiting  int
	// turns holds the links with commands that may be sent.
	turns []*link
}

// enqueue adds a command to an upstream. sendCommands must be called after it.
func (o *owner) enqueue(l *link, c command) {
	q := &o.commands
	q.seq++
	c.seq = q.seq
	heap.Push(&l.commands.waiting, c)
	q.waiting++
	o.takeTurn(l)
}

// takeTurn puts a link at the end of the turns if a command to it may be sent.
func (o *owner) takeTurn(l *link) {
	c := &l.commands
	if !c.inTurn && len(c.waiting) > 0 && c.inFlight < maxCommandsPerUpstream {
		c.inTurn = true
		o.commands.turns = append(o.commands.turns, l)
	}
}

// sendCommands sends the commands that the limits allow, to the upstreams in turn.
func (o *owner) sendCommands() {
	q := &o.commands
	if len(q.turns) > 0 && q.inFlight < maxCommands {
		o.applyEvacuations()
	}
	for len(q.turns) > 0 && q.inFlight < maxCommands {
		l := q.turns[0]
		q.turns[0] = nil
		q.turns = q.turns[1:]
		l.commands.inTurn = false
		if len(l.commands.waiting) > 0 {
			c := heap.Pop(&l.commands.waiting).(command)
			q.waiting--
			if call := c.send(); call != nil {
				q.inFlight++
				l.commands.inFlight++
				o.spawn(func() {
					call()
					o.post(func() { o.commandEnded(l) })
				})
			}
		}
		o.takeTurn(l)
	}
}

// commandEnded notes that a command has a response or none in time.
func (o *owner) commandEnded(l *link) {
	o.commands.inFlight--
	l.commands.inFlight--
	o.takeTurn(l)
	o.sendCommands()
}

// withdrawStarts takes waiting starts out of the queue and releases their runs: all of them, or
// without gangs those of single tasks. It reports whether starts of gangs are left.
func (o *owner) withdrawStarts(gangs bool) (gangsWait bool) {
	for _, l := range o.links {
		waiting := &l.commands.waiting
		n := len(*waiting)
		*waiting = slices.DeleteFunc(*waiting, func(c command) bool {
			if c.start == nil || c.urgency.kind == gangStart && !gangs {
				gangsWait = gangsWait || c.start != nil
				return false
			}
			o.sched.StartResult(o.now(), c.start.Run, scheduler.Refused)
			return true
		})
		if len(*waiting) < n {
			o.commands.waiting -= n - len(*waiting)
			heap.Init(waiting)
		}
	}
	return gangsWait
}
