package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

const (
	// leastSilence and silenceSpread bound how long runners are silent before their next life begins,
	// leastLife and lifeSpread how long that is reached before they are cut off.
	leastSilence, silenceSpread = 200 * time.Millisecond, 600 * time.Millisecond
	leastLife, lifeSpread       = 600 * time.Millisecond, 2 * time.Second
	// lapsingCut is longer than any lease lasts.
	lapsingCut = 11 * time.Second
	// silentPause is the longest pause between a cut and the next restart, mostRestarts the number of
	// restarts before a cut.
	silentPause  = 4 * time.Second
	mostRestarts = 3
	// longInterval is the pause between two jobs of tasks that run for leastLong to leastLong and
	// longSpread milliseconds: about as long as the longest lease.
	longInterval          = 700 * time.Millisecond
	leastLong, longSpread = 5000, 5000
	// longSettleTime is the time that two steps of such a job take if the first is started twice more.
	longSettleTime           = 40 * time.Second
	longCPUMilli             = 200
	longTasks                = 4
	longStream, silentStream = 23, 24
)

// restartSilently restarts the runners of each rack a few times without a sign to their callers and cuts
// them off soon after, until stop is closed.
func (c *cluster) restartSilently(stop <-chan struct{}, start time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	for rack := range len(c.runners) / runnersOfRack {
		r, runners := rand.New(rand.NewPCG(c.opts.Seed, silentStream+uint64(rack))), c.runners[rack*runnersOfRack:(rack+1)*runnersOfRack]
		group.Go(func() {
			for wait(stop, draw(r, silentPause)) {
				for range 1 + r.IntN(mostRestarts) {
					silence, life := leastSilence+draw(r, silenceSpread), leastLife+draw(r, lifeSpread)
					c.note(start, "runners of rack %d restart after a silence of %s", rack, silence)
					for _, runner := range runners {
						runner.SilentRestart(silence)
					}
					if !wait(stop, silence+life) {
						return
					}
				}
				c.note(start, "runners of rack %d are cut off", rack)
				for _, runner := range runners {
					runner.Cut(r.IntN(2) == 0)
				}
				wait(stop, lapsingCut)
				for _, runner := range runners {
					runner.Heal()
				}
			}
		})
	}
}

// runLong submits jobs of long tasks.
func (c *callers) runLong(stop chan struct{}) {
	c.submitRegularly(stop, longInterval, longStream, func(r *rand.Rand) (*sentJob, []byte) {
		width := 1 + r.IntN(longTasks)
		spec := fakewire.Spec{RunMS: int64(leastLong + r.IntN(longSpread)), CPU: longCPUMilli}
		return &sentJob{tasks: width, prefix: fakewire.PatientPrefix}, fakewire.Job(spec, spec.CPU, width, false)
	})
}
