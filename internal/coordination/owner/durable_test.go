package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/jobid"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/worker"
)

const (
	testTeam    = state.TeamID("braid")
	testService = state.Service("fitting")
	// taskTime is the run time of a task in these tests.
	taskTime = time.Second
	// settleTime is the virtual time within which every job ends once all faults are
	// cleared.
	settleTime = 3 * time.Minute
)

// faultyLog is a log service that can be unavailable or lose replies after it has
// appended.
type faultyLog struct {
	*logservice.Service

	mu          sync.Mutex
	down        bool
	loseReplies int
}

func (l *faultyLog) Append(ctx context.Context, req devplatform.AppendRequest) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, devplatform.ErrUnavailable
	}
	offset, err := l.Service.Append(ctx, req)
	if err == nil && l.loseReplies > 0 {
		l.loseReplies--
		return 0, devplatform.ErrUnavailable
	}
	return offset, err
}

func (l *faultyLog) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return devplatform.ReadReply{}, devplatform.ErrUnavailable
	}
	return l.Service.Read(ctx, req)
}

func (l *faultyLog) set(down bool, loseReplies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.loseReplies = down, loseReplies
}

// shardHarness runs a shard under a sequence of owners.
type shardHarness struct {
	t       *testing.T
	log     *faultyLog
	workers map[string]*worker.Worker
	cfg     Config
	epoch   uint64
	shard   *Shard
	kill    context.CancelFunc
	ended   chan struct{}
	jobs    []*trackedJob
	// assumeDurable makes every accepted job count as durable.
	assumeDurable bool
}

type trackedJob struct {
	submission coordination.Submission
	durable    bool
}

func newShardHarness(t *testing.T) *shardHarness {
	w := &shardHarness{t: t, log: &faultyLog{Service: logservice.New(logservice.Config{})}, workers: map[string]*worker.Worker{}}
	each := devplatform.Capacity{Resources: devplatform.Resources{CPUMilli: 4000, MemoryMB: 4096}, Slots: 2, Connections: 64}
	source := fixedSource{inventory: Inventory{Known: true, ConfigVersion: 1, Quotas: []machine.Quota{
		{Team: testTeam, Limit: state.Vector{CPUMilli: 4000, MemoryMB: 4096, Slots: 3}, Weight: 1, MaxQueued: 1000},
	}}}
	for n := range 2 {
		vm := fmt.Sprint("up", n)
		w.workers[vm] = worker.New(worker.Config{VMID: vm, Capacity: each})
		source.inventory.Upstreams = append(source.inventory.Upstreams, Upstream{
			VM: state.VMID(vm), Address: vm, Service: testService, Capacity: CapacityVector(each),
		})
	}
	w.cfg = Config{
		Shard: "north/0", Machine: machine.DefaultConfig(), Timing: DefaultTiming(), Source: source, Log: w.log,
		Dial:   func(address string) devplatform.Worker { return w.workers[address] },
		Logger: hclog.NewNullLogger(),
	}
	return w
}

// replaceOwner stops the owner abruptly, if there is one, and starts the next one.
func (w *shardHarness) replaceOwner() {
	if w.kill != nil {
		w.kill()
		<-w.ended
	}
	w.start()
}

// handOver starts the next owner and then makes the old one resign.
func (w *shardHarness) handOver() {
	old, kill, ended := w.shard, w.kill, w.ended
	w.start()
	time.Sleep(500 * time.Millisecond)
	old.Resign(context.Background())
	time.Sleep(drainPollInterval)
	kill()
	<-ended
}

// start starts an owner under the next epoch.
func (w *shardHarness) start() {
	w.epoch++
	cfg := w.cfg
	cfg.OnReleasedJobs = func(list []coordination.Submission) {
		next := w.shard
		for _, sub := range list {
			go func() { _, _ = next.Submit(context.Background(), sub) }()
		}
	}
	cfg.Epoch = devplatform.Epoch{Number: w.epoch, Owner: fmt.Sprint("e", w.epoch)}
	cfg.Machine.FirstAttempt = firstAttempt(cfg.Epoch)
	w.shard = NewShard(cfg)
	w.ended = make(chan struct{})
	var ctx context.Context
	ctx, w.kill = context.WithCancel(context.Background())
	go func(s *Shard, ended chan struct{}) {
		defer close(ended)
		s.Run(ctx)
	}(w.shard, w.ended)
}

func (w *shardHarness) close() {
	w.kill()
	<-w.ended
	for _, worker := range w.workers {
		worker.Close()
	}
}

// idEntropy is the source of random bytes for job IDs: zeros except for the number of
// the job.
type idEntropy struct{ n int }

func (z idEntropy) Read(p []byte) (int, error) {
	clear(p)
	p[len(p)-1], p[len(p)-2] = byte(z.n), byte(z.n>>8)
	return len(p), nil
}

func (w *shardHarness) submit(idempotent bool) {
	id, err := jobid.New("north", time.Now(), idEntropy{n: len(w.jobs)})
	if err != nil {
		w.t.Fatal(err)
	}
	sub := coordination.Submission{
		ID: id, Team: testTeam, Class: state.ClassBatch, Service: testService, Tasks: 1,
		Each: state.Vector{CPUMilli: 1000, MemoryMB: 512, Slots: 1}, Idempotent: idempotent, Fresh: true,
		Payload: fmt.Appendf(nil, `{"run_ms":%d}`, taskTime.Milliseconds()),
	}
	tracked := &trackedJob{submission: sub}
	w.jobs = append(w.jobs, tracked)
	shard := w.shard
	go func() {
		status, err := shard.Submit(context.Background(), sub)
		accepted := err == nil && status.State != state.JobRefused
		tracked.durable = accepted && (status.Durable || w.assumeDurable)
	}()
}

// runs returns the number of runs of a job and how many of them succeeded.
func (w *shardHarness) runs(id state.JobID) (all, succeeded int) {
	for _, worker := range w.workers {
		for _, r := range worker.History().Runs {
			if r.JobID != string(id) {
				continue
			}
			all++
			if r.End == string(devplatform.TaskSucceeded) {
				succeeded++
			}
		}
	}
	return all, succeeded
}

// checkJob returns an error if a job, after all jobs have ended, ran more often than
// allowed or was lost although it was reported as durable.
func (w *shardHarness) checkJob(tracked *trackedJob) error {
	sub := tracked.submission
	all, succeeded := w.runs(sub.ID)
	switch {
	case !sub.Idempotent && all > 1:
		return fmt.Errorf("job %s is not idempotent but ran %d times", sub.ID, all)
	case !tracked.durable || succeeded > 0:
		return nil
	case sub.Idempotent:
		return fmt.Errorf("job %s is durable and idempotent but never succeeded", sub.ID)
	}
	status, err := w.shard.Get(context.Background(), testTeam, sub.ID, 0)
	if err != nil || status.State != state.JobUnknown {
		return fmt.Errorf("job %s is durable and not idempotent, did not succeed, and its state is %q instead of unknown (error: %w)", sub.ID, status.State, err)
	}
	return nil
}

// shardStep is an operation or fault that is applied to a shard.
type shardStep string

const (
	submitIdempotent shardStep = "submit idempotent"
	submitOnce       shardStep = "submit once"
	killOwner        shardStep = "kill owner"
	handOverOwner    shardStep = "hand over"
	logDown          shardStep = "log down"
	logUp            shardStep = "log up"
	loseAnswers      shardStep = "lose answers"
	waitShort        shardStep = "wait short"
	waitLong         shardStep = "wait long"
)

var shardSteps = rapid.SliceOfN(rapid.SampledFrom([]shardStep{
	submitIdempotent, submitIdempotent, submitOnce, killOwner, handOverOwner, logDown, logUp, loseAnswers, waitShort, waitLong,
}), 1, 40)

func (w *shardHarness) apply(step shardStep) {
	switch step {
	case submitIdempotent, submitOnce:
		w.submit(step == submitIdempotent)
	case killOwner:
		w.replaceOwner()
	case handOverOwner:
		w.handOver()
	case logDown, logUp:
		w.log.set(step == logDown, 0)
	case loseAnswers:
		w.log.set(false, 2)
	case waitShort:
		time.Sleep(30 * time.Millisecond)
	case waitLong:
		time.Sleep(1500 * time.Millisecond)
	}
}

func runShardSteps(t *testing.T, steps []shardStep, configure func(*shardHarness)) error {
	var errs []error
	synctest.Test(t, func(t *testing.T) {
		w := newShardHarness(t)
		defer w.close()
		if configure != nil {
			configure(w)
		}
		w.replaceOwner()
		for _, step := range steps {
			w.apply(step)
		}
		w.log.set(false, 0)
		w.replaceOwner()
		time.Sleep(settleTime)
		synctest.Wait()
		for _, tracked := range w.jobs {
			errs = append(errs, w.checkJob(tracked))
		}
	})
	return errors.Join(errs...)
}

// TestHandoverLosesNoJob checks that every accepted job runs exactly once across a
// handover, also jobs that must not run twice. Only the old owner knows that those have
// not started, so it must return them.
func TestHandoverLosesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newShardHarness(t)
		defer w.close()
		w.replaceOwner()
		time.Sleep(time.Second)
		for n := range 12 {
			w.submit(n%2 == 0)
		}
		time.Sleep(taskTime / 2)
		w.handOver()
		time.Sleep(settleTime)
		synctest.Wait()
		for _, tracked := range w.jobs {
			all, succeeded := w.runs(tracked.submission.ID)
			is.True(tracked.durable)
			is.Equal(all, 1)
			is.Equal(succeeded, 1)
		}
	})
}

// TestDurableJobsSurviveOwnerChanges checks, for random sequences of submissions, owner
// crashes, handovers and log faults, that durable jobs are not lost and that jobs which
// must not run twice do not.
func TestDurableJobsSurviveOwnerChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runShardSteps(t, shardSteps.Draw(rt, "steps"), nil); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestJobsAreLostWithoutJournal checks that some of the same kind of sequences violate the
// durability checks when there is no journal, so that the test above can detect a loss.
func TestJobsAreLostWithoutJournal(t *testing.T) {
	const tries = 20
	lost := 0
	for seed := range tries {
		err := runShardSteps(t, shardSteps.Example(seed), func(w *shardHarness) { w.cfg.Log, w.assumeDurable = nil, true })
		if err != nil {
			lost++
		}
	}
	t.Logf("%d of %d scenarios violated the durability checks without a journal", lost, tries)
	if lost == 0 {
		t.Fatal("no scenario violated the durability checks without a journal")
	}
}
