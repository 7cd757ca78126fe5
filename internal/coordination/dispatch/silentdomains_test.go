package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// countDone returns how many tasks of a job are done.
func (p *fakePlatform) countDone(n int) (done int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		p.advance(u)
	}
	for task := range p.done {
		if task.Job == workload.JobID(fmt.Sprintf("%016x", n)) {
			done++
		}
	}
	return done
}

// TestJobsAfterTheCutOfADomainAreOnTime guards against starts on upstreams of a cut failure
// domain whose long polls have not timed out yet.
func TestJobsAfterTheCutOfADomainAreOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.addUpstreams(18)
		var cut []workload.UpstreamID
		for id, u := range p.upstreams {
			if u.reg.Domain = "north"; id[2]%2 == 0 {
				u.reg.Domain, cut = "south", append(cut, id)
			}
		}
		e := p.start("a", 1, false)
		p.awaitOwner(e)
		submit := func(n, tasks int) {
			if err := p.submitSpread(e, n, 1, tasks, 200, 1); err != nil {
				t.Error(err)
			}
		}
		for n := range 20 { // keeps all upstreams under long polls
			submit(n, 20)
			time.Sleep(100 * time.Millisecond)
		}
		p.hide("a", cut...)
		submit(100, 16) // meets the cut
		time.Sleep(300 * time.Millisecond)
		for n := 101; n < 111; n++ {
			submit(n, 8)
			time.Sleep(60 * time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond)
		for n := 101; n < 111; n++ {
			if done := p.countDone(n); done != 8 {
				t.Errorf("job %d, submitted after the cut: %d of 8 tasks are done after 0.4 s", n, done)
			}
		}
		p.stop()
		if len(p.violations) > 0 {
			t.Error(p.violations)
		}
	})
}
