package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// silence is the length of the log's silence in the tests, longer than logContactTimeout.
const silence = 4 * time.Second

// TestStartsContinueWhileLogIsSilent measures the starts of recorded jobs during a silence
// of the log, with starts before their record and without.
func TestStartsContinueWhileLogIsSilent(t *testing.T) {
	for _, withoutRecord := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newFakePlatform(t)
			e := p.start("a", 1, withoutRecord)
			p.awaitOwner(e)
			for n := range 4 {
				is.NoErr(p.submit(e, n, 30, 2, 100))
			}
			began := time.Now()
			p.setSilent(true)
			time.Sleep(silence)
			p.setSilent(false)
			ended := time.Now()
			n := p.startsBetween(began.Add(200*time.Millisecond), ended)
			t.Logf("starts without record %v: %d starts in a silence of %s", withoutRecord, n, silence)
			if withoutRecord {
				is.True(n >= 4*2*20) // four jobs, a step of two tasks each 100 ms, and some latency
			} else {
				is.Equal(n, 0)
			}
			time.Sleep(10 * time.Second)
			p.stop()
			is.Equal(len(p.done), 4*30*2)
			is.Equal(len(p.violations), 0)
		})
	}
}

// takeoverCase is a takeover after starts without a record.
type takeoverCase struct {
	name string
	// fail is called 1 s into the silence, with the owner a and the entry b that follows it.
	fail func(p *fakePlatform, a, b *fakeEntry)
	// followerOff says that the setting is off at b, which must respect a's list all the same.
	followerOff bool
	// within is how soon after fail the owner that follows must start tasks; 0 for any time.
	within time.Duration
}

var takeoverCases = []takeoverCase{
	{name: "owner killed", within: 3 * time.Second, fail: func(p *fakePlatform, a, _ *fakeEntry) {
		p.setSilent(false)
		a.kill()
	}},
	{name: "listed upstreams not reachable", followerOff: true, fail: func(p *fakePlatform, a, _ *fakeEntry) {
		p.setSilent(false)
		a.kill()
		p.hide("b", "u00", "u01")
	}},
	{name: "owner killed while the log is silent", fail: func(p *fakePlatform, a, _ *fakeEntry) {
		a.kill()
		p.hide("b", "u00", "u01")
		time.Sleep(2 * time.Second)
		p.setSilent(false)
	}},
	{name: "no process at a listed upstream", within: 3 * time.Second, fail: func(p *fakePlatform, a, _ *fakeEntry) {
		p.setSilent(false)
		p.mu.Lock()
		u := p.upstreams["u00"]
		for _, end := range u.ended { // are lost with it, since they were not recorded
			delete(p.done, end.Task)
		}
		u.refuses, u.ended = true, nil
		clear(u.runs)
		p.mu.Unlock()
		a.kill()
	}},
	{name: "owner turned away goes on", within: 4 * time.Second, fail: func(p *fakePlatform, a, _ *fakeEntry) {
		a.cut.Store(true)
		p.setSilent(false)
	}},
	{name: "owner turned away reaches upstreams that its successor does not", fail: func(p *fakePlatform, a, _ *fakeEntry) {
		a.cut.Store(true)
		p.hide("b", "u00", "u01")
		p.hide("a", "u02", "u03", "u04", "u05")
		p.setSilent(false)
	}},
	{name: "owner paused beyond the lease", fail: func(p *fakePlatform, a, _ *fakeEntry) {
		// Its VM resumes with responses of the log that waited, and without the upstreams that
		// its successor reaches, which would refuse its commands.
		a.cut.Store(true)
		p.hide("a", "u02", "u03", "u04", "u05")
		p.hide("b", "u00", "u01")
		a.paused.Add(int64(20 * time.Second))
		p.setSilent(false)
	}},
	{name: "all entries lose power", fail: func(p *fakePlatform, a, b *fakeEntry) {
		a.kill()
		b.kill()
		time.Sleep(time.Second)
		p.setSilent(false)
		p.hide("b", "u00")
		p.start("b", 1, true)
	}},
	{name: "two takeovers", fail: func(p *fakePlatform, a, b *fakeEntry) {
		p.hide("b", "u00", "u01")
		p.hide("c", "u00", "u01")
		c := p.start("c", 0.1, true)
		p.setSilent(false)
		time.Sleep(100 * time.Millisecond)
		a.kill()
		for range 5000 {
			for _, e := range []*fakeEntry{b, c} {
				if e.manager.owner() != nil {
					e.kill() // before its first append with a list of its own
					return
				}
			}
			time.Sleep(time.Millisecond)
		}
		p.t.Error("no entry followed the owner")
	}},
	{name: "lost responses", fail: func(p *fakePlatform, a, _ *fakeEntry) {
		p.mu.Lock()
		p.lostShare = 0.35
		p.startDelay = func(workload.JobID) time.Duration {
			if p.rand.IntN(3) > 0 {
				return 0
			}
			return time.Duration(p.rand.IntN(12_000)) * time.Millisecond
		}
		p.mu.Unlock()
		p.setSilent(false)
		time.Sleep(700 * time.Millisecond)
		p.hide("b", "u00", "u01")
		a.kill()
		time.Sleep(3 * time.Second)
		p.mu.Lock()
		p.lostShare, p.startDelay = 0, nil
		p.mu.Unlock()
	}},
}

// hide makes upstreams unreachable for an entry.
func (p *fakePlatform) hide(entry string, ids ...workload.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.upstreams[id].hiddenFrom[entry] = true
	}
}

// TestTakeoversAfterSilence guards against tasks that run twice, or again after they were
// done, when an owner follows one that started tasks without a record.
func TestTakeoversAfterSilence(t *testing.T) {
	for _, tt := range takeoverCases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newFakePlatform(t)
				a := p.start("a", 1, true)
				p.awaitOwner(a)
				b := p.start("b", 1, !tt.followerOff)
				for n := range 12 {
					is.NoErr(p.submit(a, n, 12, 2, int64(150+50*n)))
				}
				time.Sleep(300 * time.Millisecond)
				began := time.Now()
				p.setSilent(true)
				time.Sleep(time.Second)
				unrecorded := p.startsBetween(began.Add(200*time.Millisecond), time.Now())
				is.True(unrecorded > 10)
				epoch := a.manager.cfg.Replica.Claim().Epoch
				failedAt := time.Now()
				tt.fail(p, a, b)
				first := p.firstStartAfter(epoch, 20*time.Second)
				t.Logf("%d starts without record, first start of the next owner %s after the failure", unrecorded, first.Sub(failedAt).Round(time.Millisecond))
				is.True(tt.within == 0 || first.Sub(failedAt) < tt.within)
				time.Sleep(30 * time.Second)
				p.stop()
				for _, violation := range p.violations {
					t.Error(violation)
				}
				is.Equal(len(p.done), 12*12*2)
			})
		})
	}
}

// firstStartAfter waits for a start of a later epoch and returns its time.
func (p *fakePlatform) firstStartAfter(epoch int64, timeout time.Duration) time.Time {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		for _, s := range p.starts {
			if s.epoch > epoch {
				p.mu.Unlock()
				return s.at
			}
		}
		p.mu.Unlock()
	}
	p.t.Error("the next owner starts nothing")
	return time.Now()
}
