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
	// taskTime is how long a task of these tests runs.
	taskTime = time.Second
	// healTime is virtual time in which every job comes to its end.
	healTime = 3 * time.Minute
)

// faultyLog is a log service that is down or loses answers.
type faultyLog struct {
	*logservice.Service

	mu   sync.Mutex
	down bool
	lose int
}

func (l *faultyLog) Append(ctx context.Context, req devplatform.AppendRequest) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, devplatform.ErrUnavailable
	}
	offset, err := l.Service.Append(ctx, req)
	if err == nil && l.lose > 0 {
		l.lose--
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

func (l *faultyLog) set(down bool, lose int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.lose = down, lose
}

// shardWorld is a shard whose owners follow each other.
type shardWorld struct {
	t       *testing.T
	log     *faultyLog
	workers map[string]*worker.Worker
	cfg     Config
	epoch   uint64
	shard   *Shard
	kill    context.CancelFunc
	ended   chan struct{}
	jobs    []*toldJob
	// accepted has every accepted job count as durable.
	accepted bool
}

type toldJob struct {
	submission coordination.Submission
	durable    bool
}

func newShardWorld(t *testing.T) *shardWorld {
	w := &shardWorld{t: t, log: &faultyLog{Service: logservice.New(logservice.Config{})}, workers: map[string]*worker.Worker{}}
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

// succeed kills the owner and starts the next one.
func (w *shardWorld) succeed() {
	if w.kill != nil {
		w.kill()
		<-w.ended
	}
	w.start()
}

// handOver starts the next owner and then lets the old one go in order.
func (w *shardWorld) handOver() {
	old, kill, ended := w.shard, w.kill, w.ended
	w.start()
	time.Sleep(500 * time.Millisecond)
	old.Resign(context.Background())
	time.Sleep(idlePoll)
	kill()
	<-ended
}

// start starts an owner under the next epoch.
func (w *shardWorld) start() {
	w.epoch++
	cfg := w.cfg
	cfg.OnReturned = func(list []coordination.Submission) {
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

func (w *shardWorld) close() {
	w.kill()
	<-w.ended
	for _, worker := range w.workers {
		worker.Close()
	}
}

// zeroes is a source of bytes that differ by the number of the job.
type zeroes struct{ n int }

func (z zeroes) Read(p []byte) (int, error) {
	clear(p)
	p[len(p)-1], p[len(p)-2] = byte(z.n), byte(z.n>>8)
	return len(p), nil
}

func (w *shardWorld) submit(idempotent bool) {
	id, err := jobid.New("north", time.Now(), zeroes{n: len(w.jobs)})
	if err != nil {
		w.t.Fatal(err)
	}
	sub := coordination.Submission{
		ID: id, Team: testTeam, Class: state.ClassBatch, Service: testService, Tasks: 1,
		Each: state.Vector{CPUMilli: 1000, MemoryMB: 512, Slots: 1}, Idempotent: idempotent, Fresh: true,
		Payload: fmt.Appendf(nil, `{"run_ms":%d}`, taskTime.Milliseconds()),
	}
	told := &toldJob{submission: sub}
	w.jobs = append(w.jobs, told)
	shard := w.shard
	go func() {
		status, err := shard.Submit(context.Background(), sub)
		taken := err == nil && status.State != state.JobRefused
		told.durable = taken && (status.Durable || w.accepted)
	}()
}

// runs counts the runs of a job and those that succeeded.
func (w *shardWorld) runs(id state.JobID) (all, succeeded int) {
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

// faults judges one job after everything has come to its end.
func (w *shardWorld) faults(told *toldJob) error {
	sub := told.submission
	all, succeeded := w.runs(sub.ID)
	switch {
	case !sub.Idempotent && all > 1:
		return fmt.Errorf("%s must not run twice and ran %d times", sub.ID, all)
	case !told.durable || succeeded > 0:
		return nil
	case sub.Idempotent:
		return fmt.Errorf("%s is durable and never succeeded", sub.ID)
	}
	status, err := w.shard.Get(context.Background(), testTeam, sub.ID, 0)
	if err != nil || status.State != state.JobUnknown {
		return fmt.Errorf("%s is durable, did not run, and is %q (%w)", sub.ID, status.State, err)
	}
	return nil
}

// shardStep is one thing that happens to a shard.
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

func (w *shardWorld) apply(step shardStep) {
	switch step {
	case submitIdempotent, submitOnce:
		w.submit(step == submitIdempotent)
	case killOwner:
		w.succeed()
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

func runShardSteps(t *testing.T, steps []shardStep, change func(*shardWorld)) error {
	var errs []error
	synctest.Test(t, func(t *testing.T) {
		w := newShardWorld(t)
		defer w.close()
		if change != nil {
			change(w)
		}
		w.succeed()
		for _, step := range steps {
			w.apply(step)
		}
		w.log.set(false, 0)
		w.succeed()
		time.Sleep(healTime)
		synctest.Wait()
		for _, told := range w.jobs {
			errs = append(errs, w.faults(told))
		}
	})
	return errors.Join(errs...)
}

// TestHandOverLosesNothing has every accepted job run, also those that must not
// run twice and of which only the old owner knows that they never started.
func TestHandOverLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newShardWorld(t)
		defer w.close()
		w.succeed()
		time.Sleep(time.Second)
		for n := range 12 {
			w.submit(n%2 == 0)
		}
		time.Sleep(taskTime / 2)
		w.handOver()
		time.Sleep(healTime)
		synctest.Wait()
		for _, told := range w.jobs {
			all, succeeded := w.runs(told.submission.ID)
			is.True(told.durable)
			is.Equal(all, 1)
			is.Equal(succeeded, 1)
		}
	})
}

func TestDurableJobsOutliveTheirOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runShardSteps(t, shardSteps.Draw(rt, "steps"), nil); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestJobsAreLostWithoutTheJournal shows what the journal is for.
func TestJobsAreLostWithoutTheJournal(t *testing.T) {
	const tries = 20
	lost := 0
	for seed := range tries {
		err := runShardSteps(t, shardSteps.Example(seed), func(w *shardWorld) { w.cfg.Log, w.accepted = nil, true })
		if err != nil {
			lost++
		}
	}
	t.Logf("%d of %d scenarios lost an accepted job", lost, tries)
	if lost == 0 {
		t.Fatal("no scenario lost a job")
	}
}
