package owner

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/ownership"
	"github.com/samphirerail/samphirerail/internal/coordination/routing"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// probedWorkers is the number of workers that are asked for their newest epoch.
const probedWorkers = 3

// drainPollInterval is the interval between two checks whether a resigned shard
// still has callers to answer.
const drainPollInterval = 50 * time.Millisecond

// attemptsPerEpoch is the size of the range of attempt numbers reserved for each
// epoch, so that the task IDs of two owners never collide. A standing job that is
// restarted every second uses up the range in eleven days.
const attemptsPerEpoch = 1_000_000

// ManagerConfig configures a Manager. For each claim, the Manager sets Epoch,
// OnFenced, OnReady and Machine.FirstAttempt of the embedded Config.
type ManagerConfig struct {
	Config
	// RetryAfter is the delay after which callers may retry when this entry does not
	// own the shard.
	RetryAfter time.Duration
	// OnChanged is called on a goroutine of its own after this entry took or dropped
	// the shard and once the shard is ready; it may be nil.
	OnChanged func()
}

// Manager runs the shard that this entry owns, and keeps resigned shards running
// until their last caller is answered. It is safe for concurrent use.
type Manager struct {
	cfg    ManagerConfig
	log    hclog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu       sync.Mutex
	onFenced func(*devplatform.FencedError)
	current  *Shard
}

// NewManager returns a Manager for the shard named in cfg. It owns nothing until
// Take is called.
func NewManager(cfg ManagerConfig) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{cfg: cfg, log: cfg.Logger, ctx: ctx, cancel: cancel, onFenced: func(*devplatform.FencedError) {}}
}

// OnFenced sets the function that is called when a worker has accepted a newer
// epoch. It applies to shards taken later.
func (m *Manager) OnFenced(f func(*devplatform.FencedError)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onFenced = f
}

// Take starts the shard under the given epoch and resigns the one that ran before.
// It implements ownership.Shard.
func (m *Manager) Take(epoch devplatform.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != nil {
		m.drainAndStop(m.current)
	}
	cfg := m.cfg.Config
	cfg.Epoch = epoch
	cfg.OnFenced = m.onFenced
	cfg.OnReady = m.cfg.OnChanged
	cfg.Machine.FirstAttempt = firstAttempt(epoch)
	shard := NewShard(cfg)
	m.current = shard
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		shard.Run(m.ctx)
	}()
	m.log.Info("took the shard", "shard", cfg.Shard, "epoch", epoch.Number)
	m.notifyChanged()
}

// firstAttempt returns the first attempt number of an epoch, which is above those
// of all earlier owners.
func firstAttempt(epoch devplatform.Epoch) int {
	return int(epoch.Number%(math.MaxInt64/attemptsPerEpoch))*attemptsPerEpoch + 1
}

// Drop resigns the shard if it runs under the given epoch. It implements
// ownership.Shard.
func (m *Manager) Drop(epoch devplatform.Epoch, cause ownership.Cause) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil || m.current.Epoch() != epoch {
		return
	}
	m.log.Info("dropped the shard", "shard", m.cfg.Shard, "epoch", epoch.Number, "cause", string(cause))
	m.drainAndStop(m.current)
	m.current = nil
	m.notifyChanged()
}

// Resign stops placement when there is no other entry to hand the shard over to.
func (m *Manager) Resign() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return
	}
	m.log.Info("resigned the shard", "shard", m.cfg.Shard, "epoch", m.current.Epoch().Number)
	m.drainAndStop(m.current)
	m.current = nil
}

func (m *Manager) notifyChanged() {
	if m.cfg.OnChanged != nil {
		go m.cfg.OnChanged()
	}
}

// drainAndStop resigns a shard, waits until its last callers are answered or
// MaxRequest has passed, and stops it.
func (m *Manager) drainAndStop(shard *Shard) {
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		defer shard.Stop()
		ctx, cancel := context.WithTimeout(m.ctx, m.cfg.Timing.MaxRequest)
		defer cancel()
		shard.Resign(ctx)
		for ctx.Err() == nil && !shard.Idle(ctx) {
			sleep(ctx, drainPollInterval)
		}
		shard.flushJournal(ctx)
	}()
}

// Close stops every shard immediately and waits for their goroutines.
func (m *Manager) Close() {
	m.cancel()
	m.work.Wait()
}

// Wait waits until every shard has stopped or ctx ends. It is meant to be called
// after Resign: a resigned shard stops when its last caller is answered.
func (m *Manager) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		m.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Probe asks a few workers for their newest epoch. It returns the newest of the
// answers, the shortest time since a worker had contact with its owner, and whether
// any worker answered. It implements ownership.Shard.
func (m *Manager) Probe(ctx context.Context) (newest devplatform.Epoch, sinceContact time.Duration, answered bool) {
	sinceContact = math.MaxInt64
	for _, u := range toProbe(m.cfg.Source.Load().Upstreams) {
		if ctx.Err() != nil {
			break
		}
		epoch, age, ok := m.probe(ctx, u)
		if !ok {
			continue
		}
		answered = true
		sinceContact = min(sinceContact, age)
		if epoch.Compare(newest) > 0 {
			newest = epoch
		}
	}
	return newest, sinceContact, answered
}

// probe sends a fence with the zero epoch, which every worker that has an owner
// refuses with the epoch of that owner.
func (m *Manager) probe(ctx context.Context, u Upstream) (devplatform.Epoch, time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timing.Call)
	defer cancel()
	_, err := m.cfg.Dial(u.Address).Fence(ctx, devplatform.FenceRequest{})
	var fenced *devplatform.FencedError
	switch {
	case err == nil:
		return devplatform.Epoch{}, math.MaxInt64, true
	case errors.As(err, &fenced):
		return fenced.Current, fenced.SinceContact, true
	}
	return devplatform.Epoch{}, 0, false
}

// Load returns the load of the owned shard as reported to other entries; ok is
// false when this entry owns no shard.
func (m *Manager) Load() (load coordination.ShardLoad, ok bool) {
	shard := m.currentShard()
	if shard == nil {
		return coordination.ShardLoad{}, false
	}
	s := shard.Summary()
	return coordination.ShardLoad{
		Shard: m.cfg.Shard, Epoch: shard.Epoch(), Ready: s.Ready,
		Queued: s.Queued, Running: s.Running, Upstreams: s.Upstreams, Fenced: s.Fenced,
	}, true
}

// Summary returns the summary of the owned shard; ok is false when this entry owns
// no shard.
func (m *Manager) Summary() (summary Summary, ok bool) {
	shard := m.currentShard()
	if shard == nil {
		return Summary{}, false
	}
	return shard.Summary(), true
}

func (m *Manager) currentShard() *Shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Owns reports whether this entry owns the shard and the shard is ready. It
// implements routing.LocalOwner.
func (m *Manager) Owns(shard coordination.ShardID) bool {
	current := m.currentShard()
	return current != nil && shard == m.cfg.Shard && current.Summary().Ready
}

func (m *Manager) ownedShard(id coordination.ShardID) (*Shard, error) {
	shard := m.currentShard()
	if shard == nil || id != m.cfg.Shard {
		return nil, routing.NotOwner(id, m.cfg.RetryAfter)
	}
	return shard, nil
}

// Submit implements routing.LocalOwner. Besides refusals it returns ErrEnded, after
// which only the next owner knows the outcome.
func (m *Manager) Submit(ctx context.Context, id coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error) {
	shard, err := m.ownedShard(id)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	status, err := shard.Submit(ctx, s)
	if err == nil && status.State == state.JobRefused {
		return coordination.JobStatus{}, status.Refusal
	}
	return status, err
}

// Get implements routing.LocalOwner. It returns the same errors as Submit.
func (m *Manager) Get(ctx context.Context, id coordination.ShardID, team state.TeamID, job state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	shard, err := m.ownedShard(id)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	status, err := shard.Get(ctx, team, job, wait)
	return status, err
}

// Cancel implements routing.LocalOwner. It returns the same errors as Submit.
func (m *Manager) Cancel(ctx context.Context, id coordination.ShardID, team state.TeamID, job state.JobID) (coordination.JobStatus, error) {
	shard, err := m.ownedShard(id)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	status, err := shard.Cancel(ctx, team, job)
	return status, err
}

var (
	_ ownership.Shard    = (*Manager)(nil)
	_ routing.LocalOwner = (*Manager)(nil)
)
