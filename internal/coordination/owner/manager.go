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

// probedWorkers is the number of workers asked for their newest epoch.
const probedWorkers = 3

// idlePoll is the interval at which a resigned shard is looked at.
const idlePoll = 50 * time.Millisecond

// attemptsPerEpoch is the room for attempt numbers of one owner, so that the
// task IDs of two owners never meet: a standing job that is started again each
// second uses it up in eleven days.
const attemptsPerEpoch = 1_000_000

// ManagerConfig is what a Manager is made of. Shard, Epoch and OnFenced of the
// embedded Config are set for each claim.
type ManagerConfig struct {
	Config
	// Retry is told to callers that are sent away.
	Retry time.Duration
	// Changed is called after this entry took or dropped the shard.
	Changed func()
}

// Manager holds the shard that this entry owns, and those that it has resigned
// until their last caller is answered. It is safe for concurrent use.
type Manager struct {
	cfg    ManagerConfig
	log    hclog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	fenced  func(*devplatform.FencedError)
	current *Shard
}

// NewManager returns a Manager of one shard.
func NewManager(cfg ManagerConfig) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{cfg: cfg, log: cfg.Logger, ctx: ctx, cancel: cancel, fenced: func(*devplatform.FencedError) {}}
}

// OnFenced sets who is told that a worker obeys a newer owner.
func (m *Manager) OnFenced(f func(*devplatform.FencedError)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fenced = f
}

// Take implements ownership.Shard.
func (m *Manager) Take(epoch devplatform.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != nil {
		m.retire(m.current)
	}
	cfg := m.cfg.Config
	cfg.Epoch = epoch
	cfg.OnFenced = m.fenced
	cfg.OnReady = m.cfg.Changed
	cfg.Machine.FirstAttempt = firstAttempt(epoch)
	shard := NewShard(cfg)
	m.current = shard
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		shard.Run(m.ctx)
	}()
	m.log.Info("took the shard", "shard", cfg.Shard, "epoch", epoch.Number)
	m.changed()
}

// firstAttempt returns a number above those of all earlier owners.
func firstAttempt(epoch devplatform.Epoch) int {
	return int(epoch.Number%(math.MaxInt64/attemptsPerEpoch))*attemptsPerEpoch + 1
}

// Drop implements ownership.Shard.
func (m *Manager) Drop(epoch devplatform.Epoch, cause ownership.Cause) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil || m.current.Epoch() != epoch {
		return
	}
	m.log.Info("dropped the shard", "shard", m.cfg.Shard, "epoch", epoch.Number, "cause", string(cause))
	m.retire(m.current)
	m.current = nil
	m.changed()
}

// Resign stops placing when there is no other entry to hand the shard to.
func (m *Manager) Resign() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return
	}
	m.log.Info("resigned the shard", "shard", m.cfg.Shard, "epoch", m.current.Epoch().Number)
	m.retire(m.current)
	m.current = nil
}

func (m *Manager) changed() {
	if m.cfg.Changed != nil {
		go m.cfg.Changed()
	}
}

// retire lets a shard answer its last callers and ends it.
func (m *Manager) retire(shard *Shard) {
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		defer shard.Stop()
		ctx, cancel := context.WithTimeout(m.ctx, m.cfg.Timing.MaxRequest)
		defer cancel()
		shard.Resign(ctx)
		for ctx.Err() == nil && !shard.Idle(ctx) {
			sleep(ctx, idlePoll)
		}
		shard.flushJournal(ctx)
	}()
}

// Close ends every shard at once and waits for them.
func (m *Manager) Close() {
	m.cancel()
	m.work.Wait()
}

// Settle waits until no resigned shard has callers to answer, or ctx ends.
func (m *Manager) Settle(ctx context.Context) {
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

// Probe implements ownership.Shard.
func (m *Manager) Probe(ctx context.Context) (newest devplatform.Epoch, since time.Duration, answered bool) {
	since = math.MaxInt64
	for _, u := range toProbe(m.cfg.Source.Load().Upstreams) {
		if ctx.Err() != nil {
			break
		}
		epoch, age, ok := m.probe(ctx, u)
		if !ok {
			continue
		}
		answered = true
		since = min(since, age)
		if epoch.Compare(newest) > 0 {
			newest = epoch
		}
	}
	return newest, since, answered
}

// probe fences a worker with the oldest epoch, which every worker that has an
// owner refuses with the epoch of that owner.
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

// Load returns what to tell other entries of the owned shard; ok is false when
// this entry owns none.
func (m *Manager) Load() (load coordination.ShardLoad, ok bool) {
	shard := m.serving()
	if shard == nil {
		return coordination.ShardLoad{}, false
	}
	s := shard.Summary()
	return coordination.ShardLoad{
		Shard: m.cfg.Shard, Epoch: shard.Epoch(), Ready: s.Ready,
		Queued: s.Queued, Running: s.Running, Upstreams: s.Upstreams, Fenced: s.Fenced,
	}, true
}

// Summary returns the summary of the owned shard; ok is false when this entry
// owns none.
func (m *Manager) Summary() (summary Summary, ok bool) {
	shard := m.serving()
	if shard == nil {
		return Summary{}, false
	}
	return shard.Summary(), true
}

func (m *Manager) serving() *Shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Owns implements routing.LocalOwner.
func (m *Manager) Owns(shard coordination.ShardID) bool {
	current := m.serving()
	return current != nil && shard == m.cfg.Shard && current.Summary().Ready
}

func (m *Manager) owned(id coordination.ShardID) (*Shard, error) {
	shard := m.serving()
	if shard == nil || id != m.cfg.Shard {
		return nil, routing.NotOwner(id, m.cfg.Retry)
	}
	return shard, nil
}

// Submit implements routing.LocalOwner. Besides refusals it returns ErrEnded:
// the outcome is then the next owner's to tell.
func (m *Manager) Submit(ctx context.Context, id coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error) {
	shard, err := m.owned(id)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	status, err := shard.Submit(ctx, s)
	if err == nil && status.State == state.JobRefused {
		return coordination.JobStatus{}, status.Refusal
	}
	return status, err
}

// Get implements routing.LocalOwner; errors as Submit.
func (m *Manager) Get(ctx context.Context, id coordination.ShardID, team state.TeamID, job state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	shard, err := m.owned(id)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	status, err := shard.Get(ctx, team, job, wait)
	return status, err
}

// Cancel implements routing.LocalOwner; errors as Submit.
func (m *Manager) Cancel(ctx context.Context, id coordination.ShardID, team state.TeamID, job state.JobID) (coordination.JobStatus, error) {
	shard, err := m.owned(id)
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
