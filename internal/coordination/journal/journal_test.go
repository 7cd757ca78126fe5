package journal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// testOwner is a journal that runs.
type testOwner struct {
	*Journal
	port      *fakePort
	recovered []Job
	ready     bool
	err       error
	cancel    context.CancelFunc
	done      chan struct{}
}

func startOwner(log *fakeLog, number uint64, change func(*Config)) *testOwner {
	o := &testOwner{port: &fakePort{log: log}, done: make(chan struct{})}
	cfg := Config{
		Log: o.port, Domain: "north", Epoch: devplatform.Epoch{Number: number, Owner: fmt.Sprint("e", number)},
		OnRecovered: func(jobs []Job) { o.recovered, o.ready = jobs, true },
	}
	if change != nil {
		change(&cfg)
	}
	o.Journal = New(cfg)
	var ctx context.Context
	ctx, o.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(o.done)
		o.err = o.Run(ctx)
	}()
	return o
}

// kill ends the owner; nothing that it holds is written any more.
func (o *testOwner) kill() {
	o.cancel()
	o.port.resume()
	<-o.done
}

func testJob(n int) Job {
	return Job{ID: state.JobID(fmt.Sprintf("north.%d", n)), Team: "braid", Class: state.ClassBatch, Service: "fitting", Tasks: 1, Idempotent: true}
}

func ids(jobs []Job) []state.JobID {
	var list []state.JobID
	for i := range jobs {
		list = append(list, jobs[i].ID)
	}
	return list
}

// settleTime is virtual time in which everything possible is written.
const settleTime = 20 * time.Second

func settle() {
	time.Sleep(settleTime)
	synctest.Wait()
}

func TestSubmissionRoundTrip(t *testing.T) {
	is := is.New(t)
	wall := time.UnixMilli(1_000_000)
	s := coordination.Submission{
		ID: "north.1", Team: "braid", Queue: "q", Class: state.ClassGang, Service: "design", Tasks: 3, Each: state.Vector{Slots: 1},
		RunTime: time.Second, DeadlineIn: time.Minute, Urgent: true, Idempotent: true, Preemptible: true, Payload: []byte("p"),
	}
	job := FromSubmission(s, wall)
	later := job.Submission(wall.Add(20 * time.Second))
	s.DeadlineIn = 40 * time.Second
	is.Equal(later, s)
	is.Equal(job.Submission(wall.Add(time.Hour)).DeadlineIn, time.Duration(1)) // passed, not absent
}

func TestRecovery(t *testing.T) {
	tests := []struct {
		name string
		// disturb acts on the log before the first owner writes.
		disturb func(*fakeLog)
		// meanwhile acts while the first owner runs.
		meanwhile func(*fakeLog)
		config    func(*Config)
	}{
		{name: "undisturbed"},
		{name: "every answer lost at first", disturb: func(l *fakeLog) { l.loseAnswers = 4 }},
		{name: "every append stored twice", disturb: func(l *fakeLog) { l.twice = true }},
		{name: "stored twice and answers lost", disturb: func(l *fakeLog) { l.twice, l.loseAnswers = true, 3 }},
		{name: "log down for a while", disturb: func(l *fakeLog) {
			l.down = true
			time.AfterFunc(5*time.Second, func() { l.set(func(l *fakeLog) { l.down = false }) })
		}},
		{
			name: "old records forgotten after they were carried forward", config: func(c *Config) { c.CarryAfter = 5 * time.Second },
			meanwhile: func(l *fakeLog) { settle(); l.forget(2) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{}
				if tt.disturb != nil {
					tt.disturb(log)
				}
				first := startOwner(log, 1, tt.config)
				for n := range 5 {
					first.Accept(testJob(n))
				}
				settle()
				is.True(first.Accepted("north.1").Stored())
				first.End("north.0", state.JobSucceeded)
				settle()
				is.Equal(first.Ending("north.0"), nil)
				if tt.meanwhile != nil {
					tt.meanwhile(log)
				}
				first.kill()
				second := startOwner(log, 2, nil)
				settle()
				is.Equal(ids(second.recovered), []state.JobID{"north.1", "north.2", "north.3", "north.4"})
				is.True(second.Accept(testJob(1)).Stored()) // known already
				second.kill()
			})
		})
	}
}

// TestOldOwnerIsFenced lets an owner go on after a newer one has taken over.
func TestOldOwnerIsFenced(t *testing.T) {
	tests := []struct {
		name          string
		unconditional bool
		lost          bool
	}{
		{name: "conditional appends", unconditional: false, lost: false},
		{name: "appends without a condition lose a durable job", unconditional: true, lost: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{}
				set := func(c *Config) { c.unconditional = tt.unconditional }
				old := startOwner(log, 1, set)
				old.Accept(testJob(1))
				settle()
				newer := startOwner(log, 2, set)
				settle()
				is.Equal(ids(newer.recovered), []state.JobID{"north.1"})
				told := old.Accept(testJob(2)).Wait(t.Context(), settleTime)
				is.Equal(told, tt.lost)
				ending := old.End("north.1", state.JobSucceeded)
				is.Equal(ending.Wait(t.Context(), settleTime), tt.lost)
				if !tt.lost {
					<-old.done
					is.True(errors.Is(old.err, ErrFenced))
					is.True(old.Ending("north.1") != nil)
				}
				old.kill()
				newer.kill()
				third := startOwner(log, 3, set)
				settle()
				is.Equal(ids(third.recovered), []state.JobID{"north.1"})
				third.kill()
			})
		})
	}
}

func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{down: true}
		o := startOwner(log, 1, func(c *Config) { c.MaxPending = 2 * maxJobBytes })
		large := testJob(1)
		large.Payload = bytes.Repeat([]byte{'x'}, maxJobBytes)
		is.True(o.Accepted(large.ID) == nil)
		is.True(!o.Accept(large).Wait(t.Context(), time.Second)) // larger than a record
		large.Payload = large.Payload[:maxJobBytes/2]
		for n := range 4 {
			large.ID = testJob(n).ID
			o.Accept(large)
		}
		is.True(o.Accepted(testJob(1).ID) != nil)
		is.True(o.Accepted(testJob(3).ID) == nil) // the buffer is full
		log.set(func(l *fakeLog) { l.down = false })
		settle()
		is.True(o.Accepted(testJob(0).ID).Stored())
		is.True(o.Accept(large).Wait(t.Context(), settleTime)) // room again
		o.kill()
	})
}

func TestJobThatEndsFirstIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		o := startOwner(log, 1, nil)
		settle()
		before, _ := log.count()
		o.Accept(testJob(1))
		is.True(o.End(testJob(1).ID, state.JobCancelled).Stored())
		settle()
		after, _ := log.count()
		is.Equal(after, before)
		o.kill()
	})
}

// TestReadingIsBounded has a new owner read no more than what is unfinished
// explains, however much was written before.
func TestReadingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		o := startOwner(log, 1, func(c *Config) { c.CarryBytes = 64 << 10 })
		is.True(o.Accept(testJob(-1)).Wait(t.Context(), settleTime))
		for n := range 5000 {
			o.Accept(testJob(n))
			time.Sleep(5 * time.Millisecond)
			if n >= 10 {
				o.End(testJob(n-10).ID, state.JobSucceeded)
			}
		}
		settle()
		o.kill()
		_, written := log.count()
		next := startOwner(log, 2, nil)
		settle()
		is.Equal(len(next.recovered), 11)
		next.kill()
		read := next.writer.sinceBase
		t.Logf("written %d bytes, read %d bytes", written, read)
		is.True(read < 2*(64<<10))
		is.True(written > 4*read)
	})
}
