package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/journal"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// eventBuffer is the number of events that may wait for the control goroutine.
const eventBuffer = 4096

// Shard runs one claim of a shard: from the first fence to the answer to the
// last job that it started. Its control goroutine (Run) owns the state machine;
// everything else reaches the machine through messages.
type Shard struct {
	cfg    Config
	log    hclog.Logger
	meters *meters
	start  time.Time
	// takeover is the time of the claim.
	takeover time.Time

	messages chan message
	done     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	summary  atomic.Pointer[Summary]
	fencedAt atomic.Pointer[devplatform.FencedError]
	work     sync.WaitGroup

	// The fields below belong to the control goroutine.
	machine   *machine.Machine
	upstreams map[state.VMID]*upstream
	waiters   map[state.JobID][]chan<- coordination.JobStatus
	traces    map[state.JobID]context.Context
	// waiting holds the submissions of jobs of which no task has started.
	waiting map[state.JobID]waitingJob
	// unaccounted is when workers that may hold unknown jobs were last missing.
	unaccounted   time.Time
	version       uint64
	configVersion int64
	resigned      bool
	recovery      recovery

	// journal is nil when accepted jobs are not kept.
	journal *journal.Journal
}

// Summary is what a shard tells of itself.
type Summary struct {
	machine.Stats
	// ConfigVersion is the configuration that the shard acts on;
	// config.NoVersion before it knows its upstreams.
	ConfigVersion int64
	// Ready says that the shard takes work.
	Ready bool
}

// message is one thing for the control goroutine: an event or a call.
type message struct {
	event machine.Event
	call  func(ctx context.Context)
}

// NewShard returns a shard that serves once Run is called.
func NewShard(cfg Config) *Shard {
	s := &Shard{
		cfg:       cfg,
		log:       cfg.Logger.With("shard", cfg.Shard, "epoch", cfg.Epoch.Number),
		meters:    newMeters(cfg.Registry),
		start:     time.Now(),
		takeover:  time.Now(),
		messages:  make(chan message, eventBuffer),
		done:      make(chan struct{}),
		stop:      make(chan struct{}),
		machine:   machine.New(cfg.Machine),
		upstreams: map[state.VMID]*upstream{},
		waiters:   map[state.JobID][]chan<- coordination.JobStatus{},
		traces:    map[state.JobID]context.Context{},
		waiting:   map[state.JobID]waitingJob{},

		configVersion: -1,
	}
	s.summary.Store(&Summary{ConfigVersion: -1})
	s.openJournal()
	return s
}

// now returns the time on the shard's own clock; it is never 0.
func (s *Shard) now() state.Time { return time.Since(s.start) + 1 }

// Epoch returns the claim that the shard runs under.
func (s *Shard) Epoch() devplatform.Epoch { return s.cfg.Epoch }

// Summary returns a recent summary.
func (s *Shard) Summary() Summary { return *s.summary.Load() }

func (s *Shard) summarize() {
	stats := s.machine.Stats()
	if s.configVersion < 0 || stats.Fenced < stats.Upstreams {
		s.unaccounted = time.Now()
	}
	if !s.resigned {
		s.meters.show(stats)
	}
	s.summary.Store(&Summary{
		Stats:         stats,
		ConfigVersion: s.configVersion,
		Ready:         s.configVersion >= 0 && !s.resigned,
	})
}

// Run serves the shard until ctx ends. It returns after every goroutine that it
// started has ended.
func (s *Shard) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	ticker := time.NewTicker(s.cfg.Timing.Tick)
	defer func() {
		ticker.Stop()
		cancel()
		close(s.done)
		s.work.Wait()
		s.failWaiters()
	}()
	s.runJournal(ctx)
	s.reconcile(ctx)
	s.summarize()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stop:
			return
		case m := <-s.messages:
			s.handle(ctx, m)
		case <-ticker.C:
			s.reconcile(ctx)
			s.step(ctx, machine.Tick{})
			s.resume(ctx)
			s.summarize()
		}
	}
}

func (s *Shard) handle(ctx context.Context, m message) {
	if m.event != nil {
		s.step(ctx, m.event)
		return
	}
	m.call(ctx)
}

// send hands an event to the control goroutine; after the end of Run it is
// dropped.
func (s *Shard) send(ev machine.Event) {
	select {
	case s.messages <- message{event: ev}:
	case <-s.done:
	}
}

// do runs f on the control goroutine and waits for it. It reports false when
// the shard has ended or ctx is over first; f may still run then.
func (s *Shard) do(ctx context.Context, f func(ctx context.Context)) bool {
	ran := make(chan struct{})
	call := func(loop context.Context) {
		defer close(ran)
		f(loop)
	}
	select {
	case s.messages <- message{call: call}:
	case <-s.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-ran:
		return true
	case <-s.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// spawn runs f on a goroutine that Run waits for.
func (s *Shard) spawn(f func()) {
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		f()
	}()
}

// step applies an event and carries out the actions.
func (s *Shard) step(ctx context.Context, ev machine.Event) {
	begin := time.Now()
	actions := s.machine.Step(s.now(), ev)
	s.meters.decided(begin)
	s.perform(ctx, actions)
}

func (s *Shard) perform(ctx context.Context, actions []machine.Action) {
	for _, action := range actions {
		s.meters.count(action)
		switch a := action.(type) {
		case machine.Start:
			s.performStart(ctx, a)
		case machine.ResolveStart:
			s.performResolve(ctx, a)
		case machine.Stop:
			s.performStop(ctx, a)
		case machine.Answer:
			s.answer(a)
		case machine.Accept:
		}
	}
}

func (s *Shard) performStart(ctx context.Context, a machine.Start) {
	delete(s.waiting, a.Job.ID)
	u, ok := s.upstreams[a.VM]
	if !ok {
		s.spawn(func() { s.send(machine.StartRefused{Task: a.Task, VMFault: true}) })
		return
	}
	job := *a.Job
	a.Job = &job
	traced := s.traced(ctx, job.ID)
	s.spawn(func() { u.start(traced, a) })
}

func (s *Shard) performResolve(ctx context.Context, a machine.ResolveStart) {
	u, ok := s.upstreams[a.VM]
	if !ok {
		return
	}
	if a.Cancel {
		u.enqueueControl(ctx, control{task: a.Task, verb: devplatform.VerbCancel})
		return
	}
	s.spawn(func() { u.resolve(ctx, a.Task) })
}

func (s *Shard) performStop(ctx context.Context, a machine.Stop) {
	u, ok := s.upstreams[a.VM]
	if !ok {
		return
	}
	u.enqueueControl(ctx, control{task: a.Task, verb: controlVerb(a.Verb)})
}

func controlVerb(verb machine.StopVerb) devplatform.ControlVerb {
	switch verb {
	case machine.StopCheckpoint:
		return devplatform.VerbCheckpoint
	case machine.StopThrottle:
		return devplatform.VerbThrottle
	case machine.StopCancel:
		return devplatform.VerbCancel
	}
	return devplatform.VerbCancel
}

// mayFence reports whether workers may be fenced under this claim: it was not
// refused anywhere, and the entry was not paused a moment ago.
func (s *Shard) mayFence() bool {
	return s.fencedAt.Load() == nil && (s.cfg.MayFence == nil || s.cfg.MayFence())
}

// fencedBy takes in that a worker obeys a newer owner.
func (s *Shard) fencedBy(err *devplatform.FencedError) {
	if s.fencedAt.CompareAndSwap(nil, err) {
		s.log.Warn("fenced by a newer owner", "newer_epoch", err.Current.Number, "newer_owner", err.Current.Owner)
	}
	if s.cfg.OnFenced != nil {
		s.cfg.OnFenced(err)
	}
}

// Stop ends Run.
func (s *Shard) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// Resign stops placing and refuses what waits; running work goes on and its
// answers are still given until Run ends.
func (s *Shard) Resign(ctx context.Context) {
	s.do(ctx, func(loop context.Context) {
		if s.resigned {
			return
		}
		s.resigned = true
		s.summarize()
		s.giveBack(loop, s.machine.Step(s.now(), machine.Resign{}))
	})
}

// Idle reports whether no caller waits for an answer any more.
func (s *Shard) Idle(ctx context.Context) bool {
	idle := false
	s.do(ctx, func(context.Context) { idle = len(s.waiters) == 0 })
	return idle
}
