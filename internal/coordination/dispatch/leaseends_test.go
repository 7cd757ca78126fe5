package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// testLease is the lease of a fakeEntry, as long as an upstream's clock may make it.
const testLease = 5150 * time.Millisecond

// submitLasting records a job of long-running tasks.
func (p *fakePlatform) submitLasting(e *fakeEntry, tasks int) error {
	job := &workload.Job{ID: "00000000000000bb", Queue: "q", Workspace: "w", SubmittedUnixMS: time.Now().UnixMilli()}
	job.Steps = []workload.Step{{Count: tasks, Each: state.Vector{CPUMilli: 1000, MemoryMB: 1}, EstimateMS: time.Hour.Milliseconds(), LongRunning: true}}
	record, err := ledger.JobRecord(job)
	if err != nil {
		return err
	}
	return e.manager.Record(p.t.Context(), record)
}

// findTasks returns an upstream with runs and their tasks.
func (p *fakePlatform) findTasks() (id workload.UpstreamID, tasks []workload.TaskID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		p.advance(u)
		if len(u.runs) > 0 {
			return u.reg.ID, slices.Collect(maps.Keys(u.runs))
		}
	}
	return "", nil
}

// running reports whether all tasks have a run.
func (p *fakePlatform) running(tasks []workload.TaskID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := 0
	for _, u := range p.upstreams {
		p.advance(u)
		for _, task := range tasks {
			if _, ok := u.runs[task]; ok {
				found++
			}
		}
	}
	return found >= len(tasks)
}

// awaitRuns waits until all tasks have a run.
func (p *fakePlatform) awaitRuns(tasks []workload.TaskID) {
	for began := time.Now(); time.Since(began) < time.Minute && !p.running(tasks); {
		time.Sleep(10 * time.Millisecond)
	}
}

// takeOver ends the owner's process and waits for the next owner among the others.
func (p *fakePlatform) takeOver(owner *fakeEntry, others ...*fakeEntry) *fakeEntry {
	owner.kill()
	for range 2000 {
		for _, e := range others {
			if e.manager.owner() != nil {
				return e
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatal("no entry follows the owner")
	return nil
}

// TestTakeoversInARowDoNotProlongWaits guards against counting the leases on a lost upstream from
// the newest claim instead of from the loss of contact.
func TestTakeoversInARowDoNotProlongWaits(t *testing.T) {
	for _, loss := range []string{"cut from all", "gone from the list"} {
		t.Run(loss, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newFakePlatform(t)
				a := p.start("a", 1, false)
				p.awaitOwner(a)
				b, c := p.start("b", 0.9, false), p.start("c", 0.8, false)
				is.NoErr(p.submitLasting(a, 24))
				time.Sleep(3 * time.Second)
				id, tasks := p.findTasks()
				is.True(len(tasks) > 0)
				p.hide("a", id)
				p.hide("b", id)
				p.hide("c", id)
				lost := time.Now()
				if loss == "gone from the list" {
					p.mu.Lock()
					p.records[port.TopicUpstreams] = append(p.records[port.TopicUpstreams], ledger.Record{Key: string(id)})
					p.mu.Unlock()
				}
				time.Sleep(4 * time.Second)
				next := p.takeOver(a, b, c)
				time.Sleep(3200 * time.Millisecond)
				last := c
				if next == c {
					last = b
				}
				p.takeOver(next, last)
				claimed := time.Since(lost)
				p.awaitRuns(tasks)
				idle := time.Since(lost)
				t.Logf("last takeover %s, started %s after the loss", claimed, idle)
				is.True(idle > testLease-2*time.Second)
				// A poll held open when contact is lost was sent up to 1.5 s before.
				is.True(idle < max(testLease, claimed)+time.Second)
				p.stop()
				is.Equal(len(p.violations), 0)
			})
		})
	}
}

// leaseEndsCases take contact to an upstream away from the next owners at a moment at which the log may hold
// the end of its leases, and end the owner.
var leaseEndsCases = []struct {
	name string
	run  func(p *fakePlatform, id workload.UpstreamID, a, b, c *fakeEntry)
}{
	{"reached again", func(p *fakePlatform, id workload.UpstreamID, a, b, c *fakeEntry) {
		p.reveal("a", id)
		time.Sleep(6 * time.Second)
		p.takeOver(a, b, c)
	}},
	{"reached again while the log is silent", func(p *fakePlatform, id workload.UpstreamID, a, b, c *fakeEntry) {
		p.setSilent(true)
		p.reveal("a", id)
		time.Sleep(3500 * time.Millisecond)
		p.setSilent(false)
		p.takeOver(a, b, c)
	}},
	{"reached again while answers of the log are lost", func(p *fakePlatform, id workload.UpstreamID, a, b, c *fakeEntry) {
		p.mu.Lock()
		p.lostShare = 0.7
		p.mu.Unlock()
		p.reveal("a", id)
		time.Sleep(4 * time.Second)
		p.takeOver(a, b, c)
		p.mu.Lock()
		p.lostShare = 0
		p.mu.Unlock()
	}},
	{"owner goes on without the log", func(p *fakePlatform, id workload.UpstreamID, a, b, c *fakeEntry) {
		p.reveal("a", id)
		time.Sleep(1500 * time.Millisecond)
		a.cut.Store(true)
		time.Sleep(9 * time.Second)
	}},
	{"owner of a former release in between", func(p *fakePlatform, id workload.UpstreamID, a, b, c *fakeEntry) {
		b.former = true
		p.reveal("b", id)
		c.cut.Store(true)
		p.takeOver(a, b)
		c.cut.Store(false)
		time.Sleep(7 * time.Second)
		p.takeOver(b, c)
	}},
	{"answers lost", func(p *fakePlatform, id workload.UpstreamID, a, b, c *fakeEntry) {
		p.mu.Lock()
		p.upstreams[id].mute = true
		p.mu.Unlock()
		p.reveal("a", id)
		time.Sleep(4 * time.Second)
		p.takeOver(a, b, c)
	}},
}

// slowClocks makes the clocks of all upstreams as slow as they may be.
func (p *fakePlatform) slowClocks() {
	for _, u := range p.upstreams {
		u.drift = 0.02
	}
}

// reveal makes an upstream reachable for an entry.
func (p *fakePlatform) reveal(entry string, id workload.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.upstreams[id].hiddenFrom, entry)
}

// TestNoStartBeforeRecordedLeasesEnd guards against two runs of a task, because leases were granted
// after their end was recorded.
func TestNoStartBeforeRecordedLeasesEnd(t *testing.T) {
	for _, tt := range leaseEndsCases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newFakePlatform(t)
				p.slowClocks()
				a := p.start("a", 1, false)
				p.awaitOwner(a)
				b, c := p.start("b", 0.9, false), p.start("c", 0.8, false)
				is.NoErr(p.submitLasting(a, 24))
				time.Sleep(3 * time.Second)
				id, tasks := p.findTasks()
				is.True(len(tasks) > 0)
				for _, entry := range []string{"a", "b", "c"} {
					p.hide(entry, id)
				}
				time.Sleep(3 * time.Second) // some of the lease is left
				tt.run(p, id, a, b, c)
				p.awaitRuns(tasks)
				time.Sleep(15 * time.Second)
				is.True(p.running(tasks))
				p.stop()
				for _, violation := range p.violations {
					t.Error(violation)
				}
			})
		})
	}
}

// TestTakeoversBesideCutsRunNothingTwice is a random search for two runs of a task, beside cuts of
// single links, takeovers, restarts and a log whose answers are lost.
func TestTakeoversBesideCutsRunNothingTwice(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 7))
			p := newFakePlatform(t)
			p.slowClocks()
			entries := []*fakeEntry{p.start("a", 1, false)}
			p.awaitOwner(entries[0])
			entries = append(entries, p.start("b", 0.9, false), p.start("c", 0.8, false))
			entries[r.IntN(3)].former = r.IntN(2) == 0
			is.NoErr(p.submitLasting(entries[0], 30))
			for range 60 {
				time.Sleep(time.Duration(200+r.IntN(1500)) * time.Millisecond)
				p.mu.Lock()
				for _, u := range p.upstreams {
					u.mute = r.IntN(12) == 0
					for _, e := range entries {
						if r.IntN(3) == 0 {
							u.hiddenFrom[e.name] = r.IntN(2) == 0
						}
					}
				}
				p.lostShare = 0.5 * float64(r.IntN(2))
				p.silent = r.IntN(6) == 0
				p.mu.Unlock()
				i := r.IntN(len(entries))
				switch e := entries[i]; {
				case r.IntN(3) > 0:
				case r.IntN(2) == 0:
					e.cut.Store(!e.cut.Load())
				default:
					e.kill()
					entries[i] = p.start(e.name, 1-0.1*float64(i), false)
					entries[i].former = e.former
				}
			}
			p.stop()
			for _, violation := range p.violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
		})
	}
}

// newLostUpstream returns an owner whose upstream "u" has a run and does not answer any more.
func newLostUpstream(t *testing.T) (*owner, *link) {
	c := newPausedOwnerCase(t)
	o, l := c.owner, c.owner.links["u"]
	o.sched.MarkSent(o.now(), c.starts[0].Run)
	o.sched.StartResult(o.now(), c.starts[0].Run, scheduler.Accepted)
	l.failures = 1
	o.noteContactLost("u")
	o.leaseEnds.lost["u"] = time.Now().Add(-leaseEndsDelay)
	return o, l
}

// writeLeaseEnds makes the record that is due and returns it, with the list in it.
func writeLeaseEnds(t *testing.T, o *owner) (record *ledger.LeaseEnds, list map[workload.UpstreamID]struct{}) {
	t.Helper()
	o.leaseEnds.checked, o.leaseEnds.writtenAt = time.Time{}, time.Time{}
	records, list := o.appendLeaseEnds(time.Now(), nil)
	if len(records) == 0 {
		return nil, nil
	}
	record = &ledger.LeaseEnds{}
	table := ledger.NewTable()
	for _, r := range []ledger.Record{must(ledger.ClaimRecord(&ledger.Claim{Epoch: o.epoch})), records[0], must(ledger.ClaimRecord(&ledger.Claim{Epoch: o.epoch + 1}))} {
		if _, err := table.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	record.Upstreams = table.LeaseEnds()
	return record, list
}

func must(r ledger.Record, err error) ledger.Record {
	if err != nil {
		panic(err)
	}
	return r
}

// TestRecordedLeaseEndsAreUpperBounds guards against a record that lets the next owner start tasks
// while leases of this owner, of a former one or of the upstream's next incarnation last.
func TestRecordedLeaseEndsAreUpperBounds(t *testing.T) {
	cases := []struct {
		name   string
		change func(o *owner, l *link)
		// want is the least time that must be left, or negative if nothing may be recorded.
		want time.Duration
	}{
		{name: "soon after the claim", change: func(*owner, *link) {}, want: 10 * time.Second},
		{name: "long after the claim", change: func(o *owner, _ *link) { o.base = o.base.Add(-time.Minute) }},
		{name: "leases of this owner", change: func(o *owner, l *link) {
			l.leasesEndAt = time.Now().Add(3 * time.Second)
			o.base = o.base.Add(-time.Minute)
		}, want: 2900 * time.Millisecond},
		{name: "reached again, report on the way", change: func(_ *owner, l *link) { l.failures = 0 }, want: -1},
		{name: "not reached for a short time", change: func(o *owner, _ *link) { o.leaseEnds.lost["u"] = time.Now() }, want: -1},
		{name: "start without a response", change: func(o *owner, _ *link) {
			o.sched.AddJob(o.now(), 0, &workload.Job{ID: "00000000000000ab", Queue: "q", Workspace: "w", Steps: []workload.Step{{Count: 1, Each: state.Vector{CPUMilli: 1000}}}}, &ledger.JobState{}, false)
			start := o.sched.Plan(o.now()).Starts[0]
			o.sched.MarkSent(o.now(), start.Run)
			o.sched.StartResult(o.now(), start.Run, scheduler.Unconfirmed)
		}, want: -1},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o, l := newLostUpstream(t)
			tt.change(o, l)
			record, list := writeLeaseEnds(t, o)
			if tt.want < 0 {
				is.Equal(len(list), 0)
				is.True(l.deadline(time.Now(), time.Second) != noDeadline)
				return
			}
			is.Equal(len(record.Upstreams), 1)
			is.True(record.Upstreams[0].LeftMS >= tt.want.Milliseconds())
			is.Equal(l.deadline(time.Now(), time.Second), int64(noDeadline))
		})
	}
}

// TestNoLeaseBeforeTheWithdrawalIsRecorded guards against leases that the next owner does not count.
func TestNoLeaseBeforeTheWithdrawalIsRecorded(t *testing.T) {
	is := is.New(t)
	o, _ := newLostUpstream(t)
	grants := func() bool { return o.links["u"].deadline(time.Now(), time.Second) != noDeadline }
	_, list := writeLeaseEnds(t, o)
	o.finishLeaseEnds(list, nil)
	is.True(!grants())

	// A registration makes a new link after the old one was dropped.
	delete(o.links, "u")
	o.sendStarts([]scheduler.Start{{Run: scheduler.Run{Upstream: "u"}}})
	is.Equal(o.startsInFlight, 0)
	o.updateUpstream(workload.Upstream{ID: "u", Service: "s", Address: "u", Capacity: state.Vector{CPUMilli: 4000}})
	l := o.links["u"]
	l.updateClock(1000, time.Now())
	is.True(!grants())

	l.recordPoll(time.Now(), 0, true)
	is.True(!grants())
	due, urgent := o.leaseEndsDue(time.Now())
	is.True(due && urgent)
	withdrawal, list := writeLeaseEnds(t, o)
	is.Equal(len(withdrawal.Upstreams), 0)
	is.True(!grants())
	o.finishLeaseEnds(list, nil)
	is.True(grants())
	o.cancel()
	o.group.Wait()
}

// TestRejectedLeaseEndsAreWithdrawn guards against a record that the log has refused for good, which
// would keep upstreams without leases.
func TestRejectedLeaseEndsAreWithdrawn(t *testing.T) {
	is := is.New(t)
	o, l := newLostUpstream(t)
	_, list := writeLeaseEnds(t, o)
	o.finishLeaseEnds(list, []ledger.Record{must(ledger.LeaseEndsRecord(&ledger.LeaseEnds{}))})
	is.Equal(l.deadline(time.Now(), time.Second), int64(noDeadline))
	record, list := writeLeaseEnds(t, o)
	is.True(list != nil)
	is.Equal(len(record.Upstreams), 0)
	o.finishLeaseEnds(list, nil)
	is.True(l.deadline(time.Now(), time.Second) != noDeadline)
}

// TestManyLeaseEndsAreWithdrawnTogether guards against a long list that is written again for each of
// many upstreams that are reached again.
func TestManyLeaseEndsAreWithdrawnTogether(t *testing.T) {
	is := is.New(t)
	o, l := newLostUpstream(t)
	o.registrationsAt = 1
	o.base = o.base.Add(-leaseEndsDelay)
	for i := range 2 * maxRewritten {
		id := workload.JobID(fmt.Sprintf("%016x", i))
		recorded := &ledger.JobState{Steps: []ledger.StepState{{Tasks: []ledger.TaskState{{Run: 7, Upstream: workload.UpstreamID(id)}}}}}
		o.sched.AddJob(o.now(), 0, &workload.Job{ID: id, Queue: "q", Workspace: "w", Steps: []workload.Step{{Count: 1, Each: state.Vector{CPUMilli: 1000}}}}, recorded, false)
	}
	record, list := writeLeaseEnds(t, o)
	is.Equal(len(record.Upstreams), 2*maxRewritten+1)
	r := must(ledger.LeaseEndsRecord(record))
	t.Logf("%d bytes an upstream", r.Size()/len(record.Upstreams))
	o.finishLeaseEnds(list, nil)
	l.recordPoll(time.Now(), 0, true)
	record, list = writeLeaseEnds(t, o)
	is.Equal(len(record.Upstreams), 0)
	o.finishLeaseEnds(list, nil)
	record, _ = writeLeaseEnds(t, o)
	is.Equal(len(record.Upstreams), 2*maxRewritten)
}

// TestSlowUpstreamsKeepTheirRuns guards against runs that lapse because leases wait for withdrawals.
func TestSlowUpstreamsKeepTheirRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(t)
		p.slowClocks()
		a := p.start("a", 1, false)
		p.awaitOwner(a)
		is.NoErr(p.submitLasting(a, 24))
		time.Sleep(3 * time.Second)
		p.mu.Lock()
		p.lostShare = 0.05
		for _, u := range p.upstreams {
			u.delay = time.Second
		}
		p.mu.Unlock()
		time.Sleep(2 * time.Minute)
		p.stop()
		is.Equal(len(p.starts), 24)
	})
}

// TestRefusedWithdrawalIsRepeated guards against an upstream that gets no lease any more because the log has refused a withdrawal.
func TestRefusedWithdrawalIsRepeated(t *testing.T) {
	is := is.New(t)
	o, l := newLostUpstream(t)
	_, list := writeLeaseEnds(t, o)
	is.Equal(len(list), 1)
	o.finishLeaseEnds(list, nil)
	l.recordPoll(time.Now(), 0, true) // reached again
	delete(o.leaseEnds.lost, "u")
	_, list = writeLeaseEnds(t, o)
	is.True(list != nil)
	is.Equal(len(list), 0)
	o.finishLeaseEnds(list, []ledger.Record{must(ledger.LeaseEndsRecord(&ledger.LeaseEnds{}))})
	o.leaseEnds.checked, o.leaseEnds.writtenAt = time.Time{}, time.Time{}
	due, _ := o.leaseEndsDue(time.Now())
	is.True(due)
}
