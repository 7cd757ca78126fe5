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
	// simInterval is the number of steps between heartbeats, and between calls
	// to the workers.
	simInterval = 5
)

// simEntry is one entry of a simulated domain.
type simEntry struct {
	id coordination.EntryID
	// phase offsets the entry's heartbeats from those of others, in steps.
	phase int
	dead  bool
	// paused is the number of steps until the entry resumes.
	paused    int
	resumed   time.Duration
	local     LocalState
	newest    devplatform.Epoch
	newestAt  time.Duration
	lastProbe ProbeResult
	// heardAt is the time of the last heartbeat of each entry, and reported
	// its content.
	heardAt  [simEntries]time.Duration
	reported [simEntries]Candidate
}

// simWorker is the fencing state of a worker.
type simWorker struct {
	epoch     devplatform.Epoch
	contactAt time.Duration
}

// sim simulates a domain of entries and workers on virtual time.
type sim struct {
	rand        *rand.Rand
	limits      Limits
	now         time.Duration
	entries     [simEntries]*simEntry
	workers     [simWorkers]simWorker
	partitioned [simEntries][simEntries]bool
	// workersUnreachable reports for each entry whether it can reach no worker.
	workersUnreachable [simEntries]bool
	loss               float64
	logDown            bool
	log                []devplatform.Epoch
	claims             int
}

func newSim(seed uint64, limits Limits) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), limits: limits, now: time.Second}
	for i := range s.entries {
		s.entries[i] = &simEntry{id: coordination.EntryID(fmt.Sprint("vm", i, "/i1")), resumed: s.now, phase: s.rand.IntN(simInterval)}
	}
	return s
}

func (e *simEntry) observeEpoch(epoch devplatform.Epoch, now time.Duration) {
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
			s.sendHeartbeats(i)
		}
		if (tick+e.phase)%simInterval == 2 || e.local.Owning && e.local.Epoch != s.workers[0].epoch {
			s.contactWorkers(i)
		}
		if s.rand.IntN(2) == 0 {
			s.decide(i)
		}
	}
}

func (s *sim) resume(e *simEntry) {
	e.resumed = s.now
	for j := range e.heardAt {
		if e.reported[j].Alive {
			e.heardAt[j] = s.now
		}
	}
}

// sendHeartbeats exchanges heartbeats with every entry that can be reached.
func (s *sim) sendHeartbeats(i int) {
	for j, peer := range s.entries {
		if j == i || peer.dead || peer.paused > 0 || s.partitioned[i][j] || s.rand.Float64() < s.loss {
			continue
		}
		s.entries[j].receiveHeartbeat(i, s.entries[i], s.now)
		if s.rand.Float64() >= s.loss {
			s.entries[i].receiveHeartbeat(j, peer, s.now)
		}
	}
}

func (e *simEntry) receiveHeartbeat(from int, peer *simEntry, now time.Duration) {
	e.heardAt[from] = now
	reported := Candidate{ID: peer.id, Alive: true, Leaving: peer.local.Leaving}
	if peer.local.Owning {
		reported.OwnedEpoch = peer.local.Epoch
		reported.Ready = true
		e.observeEpoch(peer.local.Epoch, now)
	}
	e.reported[from] = reported
}

// contactWorkers lets an owner fence each worker or renew its epoch there.
func (s *sim) contactWorkers(i int) {
	e := s.entries[i]
	if !e.local.Owning || s.workersUnreachable[i] {
		return
	}
	for w := range s.workers {
		worker := &s.workers[w]
		if worker.epoch.Compare(e.local.Epoch) > 0 {
			e.observeEpoch(worker.epoch, s.now)
			e.lastProbe = ProbeResult{Epoch: worker.epoch, SinceContact: s.now - worker.contactAt, At: s.now, Answered: true}
			continue
		}
		worker.epoch = e.local.Epoch
		worker.contactAt = s.now
	}
}

func (s *sim) probe(i int) {
	e := s.entries[i]
	e.lastProbe = ProbeResult{At: s.now}
	if s.workersUnreachable[i] {
		return
	}
	e.lastProbe.Answered = true
	e.lastProbe.SinceContact = time.Hour
	for _, worker := range s.workers {
		e.observeEpoch(worker.epoch, s.now)
		if worker.epoch.Compare(e.lastProbe.Epoch) > 0 {
			e.lastProbe.Epoch = worker.epoch
			e.lastProbe.SinceContact = time.Hour
		}
		if worker.epoch == e.lastProbe.Epoch {
			e.lastProbe.SinceContact = min(e.lastProbe.SinceContact, s.now-worker.contactAt)
		}
	}
}

func (s *sim) input(i int) Input {
	e := s.entries[i]
	in := Input{
		Self: e.id, Shard: testShard, Now: s.now,
		Stale:  s.now-e.resumed < time.Second,
		Claims: []devplatform.Epoch{e.newest}, ClaimedAt: e.newestAt,
		LastProbe: e.lastProbe, Local: e.local,
	}
	for j := range s.entries {
		candidate := e.reported[j]
		if j == i {
			candidate = Candidate{ID: e.id, Alive: true, Leaving: e.local.Leaving}
		} else if s.now-e.heardAt[j] >= simDeadAfter {
			candidate.Alive = false
		}
		e.reported[j].Alive = candidate.Alive
		in.Entries = append(in.Entries, candidate)
	}
	return in
}

func (s *sim) decide(i int) {
	e := s.entries[i]
	if !s.logDown {
		for _, claim := range s.log {
			e.observeEpoch(claim, s.now)
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
		e.observeEpoch(d.Epoch, s.now)
		e.local = e.local.Acquire(d.Epoch)
		s.claims++
	case Release:
		if d.Cause == CauseSuperseded {
			e.local = e.local.Lose(s.now, s.limits, s.rand.Float64())
		} else {
			e.local = e.local.Release()
		}
	case Wait, Keep, Probe:
		if d.Cause == CauseOwnerAlive {
			e.local = e.local.ResetLosses()
		}
	}
	if e.local.Leaving && !e.local.Owning {
		e.dead = true
	}
}

func (s *sim) run(d time.Duration) {
	for until := s.now + d; s.now < until; {
		s.step()
	}
}

// injectFault applies a fault of one kind to entry i, or to the link from i to j.
func (s *sim) injectFault(kind, i, j int) {
	e := s.entries[i]
	others := 0
	for _, other := range s.entries {
		if other != e && !other.dead && !other.local.Leaving {
			others++
		}
	}
	switch kind {
	case 0:
		e.dead = e.dead || others > 0
	case 1:
		if others > 0 && !e.local.Leaving {
			e.local = e.local.Leave(s.now)
		}
	case 2:
		e.paused = 1 + s.rand.IntN(100)
	case 3:
		s.partitioned[i][j] = !s.partitioned[i][j]
	case 4:
		s.partitioned[i][j], s.partitioned[j][i] = true, true
	case 5:
		s.workersUnreachable[i] = !s.workersUnreachable[i]
	case 6:
		s.loss = 0.5 * s.rand.Float64()
	case 7:
		s.logDown = !s.logDown
	}
}

// clearFaults ends every fault except the death of entries and pauses.
func (s *sim) clearFaults() {
	s.partitioned = [simEntries][simEntries]bool{}
	s.workersUnreachable = [simEntries]bool{}
	s.loss = 0
	s.logDown = false
}

// owners returns the live entries that act as the owner.
func (s *sim) owners() []*simEntry {
	var owners []*simEntry
	for _, e := range s.entries {
		if !e.dead && e.local.Owning {
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
			s.injectFault(kind, i, j)
			s.run(time.Duration(rapid.IntRange(0, 80).Draw(t, "steps")) * simStep)
		}
		s.clearFaults()
		s.run(time.Minute)
		claims := s.claims
		s.run(time.Minute)
		owners := s.owners()
		if len(owners) != 1 {
			t.Fatalf("got %d owners after all faults ended, want 1", len(owners))
		}
		if s.claims != claims {
			t.Fatalf("got %d claims in a minute without a fault, want none", s.claims-claims)
		}
		for _, worker := range s.workers {
			if worker.epoch != owners[0].local.Epoch {
				t.Fatalf("a worker has accepted epoch %v, but the owner has epoch %v", worker.epoch, owners[0].local.Epoch)
			}
		}
	})
}

// claimsWhilePartitioned counts the claims during a minute in which no entry can
// reach another entry or the log, and every entry can reach the workers.
func claimsWhilePartitioned(seed uint64, limits Limits) int {
	s := newSim(seed, limits)
	s.run(20 * time.Second)
	before := s.claims
	s.logDown = true
	for i := range s.partitioned {
		for j := range s.partitioned[i] {
			s.partitioned[i][j] = i != j
		}
	}
	s.run(time.Minute)
	return s.claims - before
}

func TestPartitionedEntriesDoNotContend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n := claimsWhilePartitioned(rapid.Uint64().Draw(t, "seed"), Limits{}); n > 0 {
			t.Fatalf("got %d claims while the owner reached the workers, want none", n)
		}
	})
}

func TestPartitionedEntriesContendWithoutContactTimeout(t *testing.T) {
	off := Limits{ContactTimeout: 1, BackoffMin: 1, BackoffMax: 1}
	n := claimsWhilePartitioned(1, off)
	t.Log("claims in a minute", n)
	is.New(t).True(n > 20)
}

// TestTakeoverTime kills the owner and measures the time until the workers accept
// the epoch of its successor.
func TestTakeoverTime(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(200) {
		s := newSim(seed, Limits{})
		s.run(20 * time.Second)
		old := s.owners()[0]
		old.dead = true
		killed := s.now
		for len(s.owners()) == 0 || s.workers[0].epoch != s.owners()[0].local.Epoch {
			s.step()
		}
		worst = max(worst, s.now-killed)
	}
	t.Log("longest takeover", worst)
	is.New(t).True(worst < 5*time.Second)
}
