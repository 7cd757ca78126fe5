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
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// eventBuffer is the number of messages that may wait for the control goroutine
// before senders block.
const eventBuffer = 4096

// Shard runs one claim of a shard, from the first fence to the answer to the last
// job that it started. Its control goroutine (Run) owns the state machine; all other
// goroutines access the machine through messages. Its methods are safe for concurrent
// use, except that Run must be called only once.
type Shard struct {
	cfg    Config
	log    hclog.Logger
	meters *meters
	start  time.Time
	// takeover is the wall-clock time at which this owner took the shard over.
	takeover time.Time

	messages  chan message
	done      chan struct{}
	stop      chan struct{}
	stopOnce  sync.Once
	summary   atomic.Pointer[Summary]
	fencedErr atomic.Pointer[devplatform.FencedError]
	work      sync.WaitGroup

	// The fields below are accessed by the control goroutine only.
	machine   *machine.Machine
	upstreams map[state.VMID]*upstream
	waiters   map[state.JobID][]chan<- coordination.JobStatus
	traces    map[state.JobID]context.Context
	// waiting holds the submissions of jobs that have not started any task.
	waiting map[state.JobID]waitingJob
	// lastUnfenced is the last time at which some upstream was not fenced and may
	// therefore have held jobs unknown to this owner.
	lastUnfenced  time.Time
	version       uint64
	configVersion int64
	resigned      bool
	evacuated     evacuation.Set
	recovery      recovery

	// journal is nil when accepted jobs are not stored durably.
	journal *journal.Journal
}

// Summary is a snapshot of a shard's state.
type Summary struct {
	machine.Stats
	// ConfigVersion is the version of the configuration in effect;
	// config.NoVersion before the upstreams are known.
	ConfigVersion int64
	// Ready reports whether the shard accepts work.
	Ready bool
}

// message is an item of work for the control goroutine: either an event for the
// machine or a function to call.
type message struct {
	event machine.Event
	call  func(ctx context.Context)
}

// NewShard returns a shard. It does not serve until Run is called.
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
		machine:   machine.New(machineConfig(cfg)),
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

// machineConfig returns the policy of the shard's machine.
func machineConfig(cfg Config) machine.Config {
	cfg.Machine.Domain = cfg.Shard.Domain()
	return cfg.Machine
}

// now returns the time on the shard's own monotonic clock. It is never 0.
func (s *Shard) now() state.Time { return time.Since(s.start) + 1 }

// Epoch returns the epoch of the claim that the shard runs under.
func (s *Shard) Epoch() devplatform.Epoch { return s.cfg.Epoch }

// Summary returns the latest summary, which is refreshed at every tick.
func (s *Shard) Summary() Summary { return *s.summary.Load() }

func (s *Shard) publishSummary() {
	stats := s.machine.Stats()
	if s.configVersion < 0 || stats.Fenced < stats.Upstreams {
		s.lastUnfenced = time.Now()
	}
	if !s.resigned {
		s.meters.setGauges(stats)
	}
	s.summary.Store(&Summary{
		Stats:         stats,
		ConfigVersion: s.configVersion,
		Ready:         s.configVersion >= 0 && !s.resigned,
	})
}

// Run serves the shard until ctx ends or Stop is called. It returns after every
// goroutine that it started has ended.
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
	s.publishSummary()
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
			s.publishSummary()
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

// send passes an event to the control goroutine. Events sent after the end of Run
// are dropped.
func (s *Shard) send(ev machine.Event) {
	select {
	case s.messages <- message{event: ev}:
	case <-s.done:
	}
}

// do runs f on the control goroutine and waits for it. It returns false when the
// shard or ctx ends first; f may still run in that case.
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

// step applies an event to the machine and performs the resulting actions.
func (s *Shard) step(ctx context.Context, ev machine.Event) {
	begin := time.Now()
	actions := s.machine.Step(s.now(), ev)
	s.meters.observeDecision(begin)
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
		u.enqueueControl(ctx, pendingControl{task: a.Task, verb: devplatform.VerbCancel})
		return
	}
	s.spawn(func() { u.resolve(ctx, a.Task) })
}

func (s *Shard) performStop(ctx context.Context, a machine.Stop) {
	u, ok := s.upstreams[a.VM]
	if !ok {
		return
	}
	u.enqueueControl(ctx, pendingControl{task: a.Task, verb: controlVerb(a.Verb)})
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

// mayFence reports whether workers may be fenced under this claim: no worker has
// refused its epoch, and the entry has not just been paused.
func (s *Shard) mayFence() bool {
	return s.fencedErr.Load() == nil && (s.cfg.MayFence == nil || s.cfg.MayFence())
}

// fencedBy handles a worker's report that it has accepted a newer epoch.
func (s *Shard) fencedBy(err *devplatform.FencedError) {
	if s.fencedErr.CompareAndSwap(nil, err) {
		s.log.Warn("fenced by a newer owner", "newer_epoch", err.Current.Number, "newer_owner", err.Current.Owner)
	}
	if s.cfg.OnFenced != nil {
		s.cfg.OnFenced(err)
	}
}

// Stop makes Run return. It may be called more than once.
func (s *Shard) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// Resign stops placement and refuses the waiting jobs. Running work continues, and
// its callers are answered until Run ends.
func (s *Shard) Resign(ctx context.Context) {
	s.do(ctx, func(loop context.Context) {
		if s.resigned {
			return
		}
		s.resigned = true
		s.publishSummary()
		s.performResign(loop, s.machine.Step(s.now(), machine.Resign{}))
	})
}

// Idle reports whether no caller is waiting for an answer. It returns false when the
// shard or ctx ends first.
func (s *Shard) Idle(ctx context.Context) bool {
	idle := false
	s.do(ctx, func(context.Context) { idle = len(s.waiters) == 0 })
	return idle
}
