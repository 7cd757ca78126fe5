package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// loseCalls sets which polls get no response and by how much starts are delayed.
func (p *fakePlatform) loseCalls(poll func() bool, start func() time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losePoll, p.startDelay = poll, start
}

// TestLostCallsDelayNoJobForLong guards against jobs whose run ends stay unknown until a lost
// long poll has timed out, and against late repetitions of lost starts.
func TestLostCallsDelayNoJobForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			lostShare = 0.06
			jobs      = 80
			runTime   = 300 * time.Millisecond
			late      = 1200 * time.Millisecond
		)
		p := newFakePlatform(t)
		p.addUpstreams(18)
		e := p.start("a", 1, false)
		p.awaitOwner(e)
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(1, 2))
		lost := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return r.Float64() < lostShare
		}
		p.loseCalls(lost, func() time.Duration {
			if lost() {
				return 5 * time.Second
			}
			return 0
		})
		lateJobs := 0
		var group sync.WaitGroup
		for n := range jobs {
			group.Go(func() {
				if err := p.submit(e, n, 1, 10, runTime.Milliseconds()); err != nil {
					t.Error(err)
				}
				time.Sleep(late)
				id := workload.JobID(fmt.Sprintf("%016x", n))
				if owner := e.manager.owner(); owner != nil {
					if phase, known := e.manager.Phase(t.Context(), id); !known || !phase.Final() {
						mu.Lock()
						lateJobs++
						mu.Unlock()
					}
				}
			})
			time.Sleep(80 * time.Millisecond)
		}
		group.Wait()
		t.Logf("%d of %d jobs are not complete after %s", lateJobs, jobs, late)
		if lateJobs > jobs/10 {
			t.Errorf("%d of %d jobs are late", lateJobs, jobs)
		}
		p.loseCalls(nil, nil)
		p.stop()
		if len(p.violations) > 0 {
			t.Error(p.violations)
		}
	})
}
