package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// loseCalls sets which polls get no response and by how much starts are delayed.
func (p *fakePlatform) loseCalls(poll func() bool, start func(id workload.JobID) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losePoll, p.startDelay = poll, start
}

// TestLostCallsDelayNoJobForLong guards against jobs whose run ends stay unknown until a lost
// long poll has timed out, and against starts that are repeated later than they can be carried out.
func TestLostCallsDelayNoJobForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			lostShare = 0.06
			jobs      = 80
			runTime   = 300 * time.Millisecond
			late      = 1200 * time.Millisecond
			// settled is when a job is complete of whose starts each is lost once at most.
			settled = scheduler.MaxStartDelay + late
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
		startLost := map[workload.JobID]bool{}
		p.loseCalls(lost, func(id workload.JobID) time.Duration {
			if !lost() {
				return 0
			}
			mu.Lock()
			defer mu.Unlock()
			startLost[id] = true
			return 5 * time.Second
		})
		complete := func(id workload.JobID) bool {
			owner := e.manager.owner()
			if owner == nil {
				return true
			}
			phase, known := e.manager.Phase(t.Context(), id)
			return known && phase.Final()
		}
		lateJobs, unsettled := 0, 0
		var group sync.WaitGroup
		for n := range jobs {
			group.Go(func() {
				if err := p.submit(e, n, 1, 10, runTime.Milliseconds()); err != nil {
					t.Error(err)
				}
				time.Sleep(late)
				id := workload.JobID(fmt.Sprintf("%016x", n))
				inTime := complete(id)
				time.Sleep(settled - late)
				ended := complete(id)
				mu.Lock()
				defer mu.Unlock()
				if !inTime && !startLost[id] {
					lateJobs++
				}
				if !ended {
					unsettled++
				}
			})
			time.Sleep(80 * time.Millisecond)
		}
		group.Wait()
		unharmed := jobs - len(startLost)
		t.Logf("%d of %d jobs without a lost start are not complete after %s, %d of all after %s", lateJobs, unharmed, late, unsettled, settled)
		if lateJobs > unharmed/10 {
			t.Errorf("%d of %d jobs without a lost start are late", lateJobs, unharmed)
		}
		if unsettled > jobs/10 {
			t.Errorf("%d of %d jobs are not complete after %s", unsettled, jobs, settled)
		}
		p.loseCalls(nil, nil)
		p.stop()
		if len(p.violations) > 0 {
			t.Error(p.violations)
		}
	})
}
