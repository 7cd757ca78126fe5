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

// testOwner is a running journal, with what its Run has reported.
type testOwner struct {
	*Journal
	conn      *fakeConn
	recovered []Job
	ready     bool
	err       error
	cancel    context.CancelFunc
	done      chan struct{}
}

func startOwner(log *fakeLog, number uint64, configure func(*Config)) *testOwner {
	o := &testOwner{conn: &fakeConn{log: log}, done: make(chan struct{})}
	cfg := Config{
		Log: o.conn, Domain: "north", Epoch: devplatform.Epoch{Number: number, Owner: fmt.Sprint("e", number)},
		OnRecovered: func(jobs []Job) { o.recovered, o.ready = jobs, true },
	}
	if configure != nil {
		configure(&cfg)
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

// kill stops the owner. Its pending events are not written any more.
func (o *testOwner) kill() {
	o.cancel()
	o.conn.resume()
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

// quiesceTime is the virtual time within which every event that can be written is
// written.
const quiesceTime = 20 * time.Second

func quiesce() {
	time.Sleep(quiesceTime)
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
	is.Equal(job.Submission(wall.Add(time.Hour)).DeadlineIn, time.Duration(1)) // deadline passed, not absent
}

func TestRecovery(t *testing.T) {
	tests := []struct {
		name string
		// setup prepares the log before the first owner writes.
		setup func(*fakeLog)
		// whileRunning changes the log while the first owner runs.
		whileRunning func(*fakeLog)
		config       func(*Config)
	}{
		{name: "no faults"},
		{name: "responses to the first appends lost", setup: func(l *fakeLog) { l.loseResponses = 4 }},
		{name: "every append stored twice", setup: func(l *fakeLog) { l.duplicate = true }},
		{name: "appends stored twice and responses lost", setup: func(l *fakeLog) { l.duplicate, l.loseResponses = true, 3 }},
		{name: "log temporarily unavailable", setup: func(l *fakeLog) {
			l.down = true
			time.AfterFunc(5*time.Second, func() { l.update(func(l *fakeLog) { l.down = false }) })
		}},
		{
			name: "old records expired after compaction", config: func(c *Config) { c.CompactAfter = 5 * time.Second },
			whileRunning: func(l *fakeLog) { quiesce(); l.truncate(2) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{}
				if tt.setup != nil {
					tt.setup(log)
				}
				first := startOwner(log, 1, tt.config)
				for n := range 5 {
					first.Accept(testJob(n))
				}
				quiesce()
				is.True(first.AcceptCommit("north.1").Stored())
				first.End("north.0", state.JobSucceeded)
				quiesce()
				is.Equal(first.EndCommit("north.0"), nil)
				if tt.whileRunning != nil {
					tt.whileRunning(log)
				}
				first.kill()
				second := startOwner(log, 2, nil)
				quiesce()
				is.Equal(ids(second.recovered), []state.JobID{"north.1", "north.2", "north.3", "north.4"})
				is.True(second.Accept(testJob(1)).Stored()) // already known
				second.kill()
			})
		})
	}
}

// TestOldOwnerIsFenced guards against a superseded owner that still confirms
// durable writes. The owner continues after a newer one has taken over; only
// conditional appends stop it.
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
				configure := func(c *Config) { c.unconditional = tt.unconditional }
				old := startOwner(log, 1, configure)
				old.Accept(testJob(1))
				quiesce()
				newer := startOwner(log, 2, configure)
				quiesce()
				is.Equal(ids(newer.recovered), []state.JobID{"north.1"})
				confirmed := old.Accept(testJob(2)).Wait(t.Context(), quiesceTime)
				is.Equal(confirmed, tt.lost)
				endCommit := old.End("north.1", state.JobSucceeded)
				is.Equal(endCommit.Wait(t.Context(), quiesceTime), tt.lost)
				if !tt.lost {
					<-old.done
					is.True(errors.Is(old.err, ErrFenced))
					is.True(old.EndCommit("north.1") != nil)
				}
				old.kill()
				newer.kill()
				third := startOwner(log, 3, configure)
				quiesce()
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
		is.True(o.AcceptCommit(large.ID) == nil)
		is.True(!o.Accept(large).Wait(t.Context(), time.Second)) // exceeds the size of a record
		large.Payload = large.Payload[:maxJobBytes/2]
		for n := range 4 {
			large.ID = testJob(n).ID
			o.Accept(large)
		}
		is.True(o.AcceptCommit(testJob(1).ID) != nil)
		is.True(o.AcceptCommit(testJob(3).ID) == nil) // the buffer is full
		log.update(func(l *fakeLog) { l.down = false })
		quiesce()
		is.True(o.AcceptCommit(testJob(0).ID).Stored())
		is.True(o.Accept(large).Wait(t.Context(), quiesceTime)) // the buffer has capacity again
		o.kill()
	})
}

func TestJobEndedBeforeWriteIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		o := startOwner(log, 1, nil)
		quiesce()
		before, _ := log.count()
		o.Accept(testJob(1))
		is.True(o.End(testJob(1).ID, state.JobCancelled).Stored())
		quiesce()
		after, _ := log.count()
		is.Equal(after, before)
		o.kill()
	})
}

// TestRecoveryReadIsBounded guards against a recovery that reads the whole stream:
// however many jobs were written before, a new owner reads an amount in proportion
// to the unfinished ones.
func TestRecoveryReadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		o := startOwner(log, 1, func(c *Config) { c.CompactBytes = 64 << 10 })
		is.True(o.Accept(testJob(-1)).Wait(t.Context(), quiesceTime))
		for n := range 5000 {
			o.Accept(testJob(n))
			time.Sleep(5 * time.Millisecond)
			if n >= 10 {
				o.End(testJob(n-10).ID, state.JobSucceeded)
			}
		}
		quiesce()
		o.kill()
		_, written := log.count()
		next := startOwner(log, 2, nil)
		quiesce()
		is.Equal(len(next.recovered), 11)
		next.kill()
		read := next.writer.bytesSinceBase
		t.Logf("%d bytes written, %d bytes read", written, read)
		is.True(read < 2*(64<<10))
		is.True(written > 4*read)
	})
}
