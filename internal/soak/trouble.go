package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

const (
	// crashInterval is the pause between two submissions of a job whose tasks crash the runners
	// that start them.
	crashInterval = 2500 * time.Millisecond
	// fewestCrashes is the least number of runners that must have crashed under a task before its
	// job may be shown as failed.
	fewestCrashes = 2
)

// runCrashing submits jobs whose tasks crash their runners.
func (c *callers) runCrashing(stop chan struct{}) {
	c.submitRegularly(stop, crashInterval, crashingStream, func(r *rand.Rand) (*sentJob, []byte) {
		width := 1 + r.IntN(2)
		spec := fakewire.Spec{RunMS: 800, CPU: 500, CrashMS: int64(1 + r.IntN(500))}
		return &sentJob{tasks: width, prefix: fakewire.Prefix, crashes: true}, fakewire.Job(spec, spec.CPU, width, r.IntN(4) == 0)
	})
}

// mayHaveFailed reports whether enough runners crashed under a task of a job that its owner may have
// given it up.
func (c *callers) mayHaveFailed(id string) bool {
	return c.cluster.fleet.MostCrashes(id) >= fewestCrashes
}

const (
	// capacityNotice and runnerHeartbeat are the settings of the entries; starts may exceed a
	// smaller capacity for their sum.
	capacityNotice  = 2 * time.Second
	runnerHeartbeat = 500 * time.Millisecond
	// registrationsTopic is the topic with the runners' registrations.
	registrationsTopic = "keyed.servers"
)

// resizeRunners shrinks a random runner, or lets it grow again, every 0.2 to 0.8 s until stop is
// closed. One time in ten, reads of the registrations are stalled beyond the bound before it.
func (c *cluster) resizeRunners(stop <-chan struct{}, start time.Time) {
	r := rand.New(rand.NewPCG(c.opts.Seed, 6))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+r.IntN(600)) * time.Millisecond):
		}
		runner, cpu := c.runners[r.IntN(len(c.runners))], runnerCPUMilli*int64(1+r.IntN(4))/4
		if r.IntN(10) == 0 {
			fmt.Fprintf(c.opts.Out, "%7.3f begin registrations stalled\n", time.Since(start).Seconds())
			c.log.SetStalled(registrationsTopic, true)
			time.AfterFunc(capacityNotice+runnerHeartbeat+stallBeyondBound, func() { c.log.SetStalled(registrationsTopic, false) })
		}
		fmt.Fprintf(c.opts.Out, "%7.3f capacity %d\n", time.Since(start).Seconds(), cpu)
		runner.SetCapacity(cpu)
	}
}

// restoreCapacities ends the effects of resizeRunners.
func (c *cluster) restoreCapacities() {
	c.log.SetStalled(registrationsTopic, false)
	for _, r := range c.runners {
		r.SetCapacity(runnerCPUMilli)
	}
}
