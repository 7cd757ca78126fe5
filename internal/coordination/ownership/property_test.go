package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const (
	simEntries   = 3
	simWorkers   = 3
	simStep      = 100 * time.Millisecond
	simDeadAfter = 2 * time.Second
	// simInterval is the time between heartbeats, and between calls to a
	// worker, in steps.
	simInterval = 5
)

// simEntry is one entry of a simulated domain.
type simEntry struct {
	id       coordination.EntryID
	phase    int
	dead     bool
	paused   int
	resumed  time.Duration
	own      Own
	newest   devplatform.Epoch
	newestAt time.Duration
	contact  Contact
	heard    [simEntries]time.Duration
	told     [simEntries]Candidate
}

type simWorker struct {
	epoch     devplatform.Epoch
	contactAt time.Duration
}

// sim is a domain of entries and workers on virtual time.
type sim struct {
	rand    *rand.Rand
	limits  Limits
	now     time.Duration
	entries [simEntries]*simEntry
	workers [simWorkers]simWorker
	cut     [simEntries][simEntries]bool
	// workerCut cuts an entry from every worker.
	workerCut [simEntries]bool
	loss      float64
	logDown   bool
	log       []devplatform.Epoch
	claims    int
}

func newSim(seed uint64, limits Limits) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), limits: limits, now: time.Second}
	for i := range s.entries {
		s.entries[i] = &simEntry{id: coordination.EntryID(fmt.Sprint("vm", i, "/i1")), resumed: s.now, phase: s.rand.IntN(simInterval)}
	}
	return s
}

func (e *simEntry) learn(epoch devplatform.Epoch, now time.Duration) {
	if epoch.Compare(e.newest) > 0 {
		e.newest = epoch
		e.newestAt = now
	}
}

func (s *sim) step() {
	s.now += simStep
	tick := int(s.now / simStep)
	for i, e := range s.entries {
		if e.dead {
			continue
		}
		if e.paused > 0 {
			if e.paused--; e.paused == 0 {
				s.resume(e)
			}
			continue
		}
		if (tick+e.phase)%simInterval == 0 {
			s.beat(i)
		}
		if (tick+e.phase)%simInterval == 2 || e.own.Owning && e.own.Epoch != s.workers[0].epoch {
			s.reachWorkers(i)
		}
		if s.rand.IntN(2) == 0 {
			s.decide(i)
		}
	}
}

func (s *sim) resume(e *simEntry) {
	e.resumed = s.now
	for j := range e.heard {
		if e.told[j].Alive {
			e.heard[j] = s.now
		}
	}
}

// beat exchanges heartbeats with every entry that can be reached.
func (s *sim) beat(i int) {
	for j, peer := range s.entries {
		if j == i || peer.dead || peer.paused > 0 || s.cut[i][j] || s.rand.Float64() < s.loss {
			continue
		}
		s.entries[j].hear(i, s.entries[i], s.now)
		if s.rand.Float64() >= s.loss {
			s.entries[i].hear(j, peer, s.now)
		}
	}
}

func (e *simEntry) hear(from int, peer *simEntry, now time.Duration) {
	e.heard[from] = now
	told := Candidate{ID: peer.id, Alive: true, Leaving: peer.own.Leaving}
	if peer.own.Owning {
		told.Holds = peer.own.Epoch
		told.Ready = true
		e.learn(peer.own.Epoch, now)
	}
	e.told[from] = told
}

// reachWorkers makes an owner fence or renew on each worker.
func (s *sim) reachWorkers(i int) {
	e := s.entries[i]
	if !e.own.Owning || s.workerCut[i] {
		return
	}
	for w := range s.workers {
		worker := &s.workers[w]
		if worker.epoch.Compare(e.own.Epoch) > 0 {
			e.learn(worker.epoch, s.now)
			e.contact = Contact{Epoch: worker.epoch, Since: s.now - worker.contactAt, At: s.now, Answered: true}
			continue
		}
		worker.epoch = e.own.Epoch
		worker.contactAt = s.now
	}
}

func (s *sim) probe(i int) {
	e := s.entries[i]
	e.contact = Contact{At: s.now}
	if s.workerCut[i] {
		return
	}
	e.contact.Answered = true
	e.contact.Since = time.Hour
	for _, worker := range s.workers {
		e.learn(worker.epoch, s.now)
		if worker.epoch.Compare(e.contact.Epoch) > 0 {
			e.contact.Epoch = worker.epoch
			e.contact.Since = time.Hour
		}
		if worker.epoch == e.contact.Epoch {
			e.contact.Since = min(e.contact.Since, s.now-worker.contactAt)
		}
	}
}

func (s *sim) input(i int) Input {
	e := s.entries[i]
	in := Input{
		Self: e.id, Shard: testShard, Now: s.now,
		Stale:  s.now-e.resumed < time.Second,
		Claims: []devplatform.Epoch{e.newest}, ClaimedAt: e.newestAt,
		Contact: e.contact, Own: e.own,
	}
	for j := range s.entries {
		candidate := e.told[j]
		if j == i {
			candidate = Candidate{ID: e.id, Alive: true, Leaving: e.own.Leaving}
		} else if s.now-e.heard[j] >= simDeadAfter {
			candidate.Alive = false
		}
		e.told[j].Alive = candidate.Alive
		in.Entries = append(in.Entries, candidate)
	}
	return in
}

func (s *sim) decide(i int) {
	e := s.entries[i]
	if !s.logDown {
		for _, claim := range s.log {
			e.learn(claim, s.now)
		}
	}
	d := Decide(s.input(i), s.limits)
	if d.Action == Probe {
		s.probe(i)
		d = Decide(s.input(i), s.limits)
	}
	switch d.Action {
	case Claim:
		if !s.logDown {
			s.log = append(s.log, d.Epoch)
		}
		e.learn(d.Epoch, s.now)
		e.own = e.own.Begin(d.Epoch)
		s.claims++
	case Release:
		if d.Cause == CauseSuperseded {
			e.own = e.own.Lose(s.now, s.limits, s.rand.Float64())
		} else {
			e.own = e.own.End()
		}
	case Wait, Keep, Probe:
		if d.Cause == CauseHolderAlive {
			e.own = e.own.Settle()
		}
	}
	if e.own.Leaving && !e.own.Owning {
		e.dead = true
	}
}

func (s *sim) run(d time.Duration) {
	for until := s.now + d; s.now < until; {
		s.step()
	}
}

// disturb applies one drawn fault.
func (s *sim) disturb(kind, i, j int) {
	e := s.entries[i]
	others := 0
	for _, other := range s.entries {
		if other != e && !other.dead && !other.own.Leaving {
			others++
		}
	}
	switch kind {
	case 0:
		e.dead = e.dead || others > 0
	case 1:
		if others > 0 && !e.own.Leaving {
			e.own = e.own.Leave(s.now)
		}
	case 2:
		e.paused = 1 + s.rand.IntN(100)
	case 3:
		s.cut[i][j] = !s.cut[i][j]
	case 4:
		s.cut[i][j], s.cut[j][i] = true, true
	case 5:
		s.workerCut[i] = !s.workerCut[i]
	case 6:
		s.loss = 0.5 * s.rand.Float64()
	case 7:
		s.logDown = !s.logDown
	}
}

// heal ends every fault but deaths.
func (s *sim) heal() {
	s.cut = [simEntries][simEntries]bool{}
	s.workerCut = [simEntries]bool{}
	s.loss = 0
	s.logDown = false
}

// owners returns the live entries that act as the owner.
func (s *sim) owners() []*simEntry {
	var owners []*simEntry
	for _, e := range s.entries {
		if !e.dead && e.own.Owning {
			owners = append(owners, e)
		}
	}
	return owners
}

func TestOneOwnerOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), Limits{})
		for range rapid.IntRange(0, 20).Draw(t, "faults") {
			kind := rapid.IntRange(0, 7).Draw(t, "kind")
			i := rapid.IntRange(0, simEntries-1).Draw(t, "entry")
			j := rapid.IntRange(0, simEntries-1).Draw(t, "other")
			s.disturb(kind, i, j)
			s.run(time.Duration(rapid.IntRange(0, 80).Draw(t, "steps")) * simStep)
		}
		s.heal()
		s.run(time.Minute)
		claims := s.claims
		s.run(time.Minute)
		owners := s.owners()
		if len(owners) != 1 {
			t.Fatalf("%d owners", len(owners))
		}
		if s.claims != claims {
			t.Fatalf("%d claims without a fault", s.claims-claims)
		}
		for _, worker := range s.workers {
			if worker.epoch != owners[0].own.Epoch {
				t.Fatalf("a worker obeys %v, the owner has %v", worker.epoch, owners[0].own.Epoch)
			}
		}
	})
}

// cutClaims counts the claims while every entry is cut from the others and
// reaches the workers.
func cutClaims(seed uint64, limits Limits) int {
	s := newSim(seed, limits)
	s.run(20 * time.Second)
	before := s.claims
	s.logDown = true
	for i := range s.cut {
		for j := range s.cut[i] {
			s.cut[i][j] = i != j
		}
	}
	s.run(time.Minute)
	return s.claims - before
}

func TestCutEntriesDoNotContend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n := cutClaims(rapid.Uint64().Draw(t, "seed"), Limits{}); n > 0 {
			t.Fatalf("%d claims while the owner reaches the workers", n)
		}
	})
}

func TestCutEntriesContendWithoutContactBound(t *testing.T) {
	off := Limits{ContactBound: 1, BackoffMin: 1, BackoffMax: 1}
	n := cutClaims(1, off)
	t.Log("claims in a minute", n)
	is.New(t).True(n > 20)
}

// TestTakeoverTime kills the owner and counts the time until all workers obey
// its successor.
func TestTakeoverTime(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(200) {
		s := newSim(seed, Limits{})
		s.run(20 * time.Second)
		old := s.owners()[0]
		old.dead = true
		killed := s.now
		for len(s.owners()) == 0 || s.workers[0].epoch != s.owners()[0].own.Epoch {
			s.step()
		}
		worst = max(worst, s.now-killed)
	}
	t.Log("longest takeover", worst)
	is.New(t).True(worst < 5*time.Second)
}
