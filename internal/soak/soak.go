package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workspaceMaxCPUMilli is the processor limit of a workspace, in thousandths of a
// processor.
const workspaceMaxCPUMilli = 24_000

// Options configures a soak run.
type Options struct {
	// Seed determines the jobs and the sequence of faults.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Entries and Runners are the numbers of entry processes and of fake runners.
	Entries int
	Runners int
	// Program is the path of the samphirerail binary.
	Program string
	// Dir is the directory under which a temporary directory for the settings and logs
	// of the entries is made. If empty, the system's default is used.
	Dir string
	// Out receives a line for each fault that begins or ends; nil discards them.
	Out io.Writer
	// StartsWithoutRecord switches the setting starts_without_record on at every entry.
	StartsWithoutRecord bool
	// NoFaults runs the load without faults.
	NoFaults bool
	// Uneven makes one of three runners slow and submits tasks that take several times as
	// long as declared, so that runs are moved to faster runners.
	Uneven bool
	// CrashingTasks submits jobs whose tasks crash the runners that start them.
	CrashingTasks bool
	// ChangingCapacities makes runners shrink and grow.
	ChangingCapacities bool
	// LastingJobs submits long-running jobs, cuts runners off in waves and kills the owner.
	LastingJobs bool
	// FailingLastingJobs makes the tasks of every third long-running job fail after some seconds.
	FailingLastingJobs bool
	// UnknownKeys submits jobs without a key and with unknown keys to a queue that needs none.
	UnknownKeys bool
	// LateStarts lets runners carry starts without a response out in their next life.
	LateStarts bool
	// LargeJobs submits jobs at the bounds of what is accepted, jobs that repeat, and jobs over a bound.
	LargeJobs bool
	// SilentRestarts submits jobs of long tasks, and restarts runners without a sign that are cut off soon
	// after; their next lives carry polls without a response out.
	SilentRestarts bool
	// LateAcknowledgements lets these polls acknowledge the ends of runs in the next life.
	LateAcknowledgements bool
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64
	// Accepted, Rejected and Unknown count the jobs by the outcome of their submission:
	// acknowledged, refused at every attempt, and any other.
	Accepted, Rejected, Unknown int
	// Complete counts the completed jobs without an acknowledged cancellation.
	Complete int
	// Evacuations counts the evacuations of one or two failure domains.
	Evacuations int
	// GivenUp counts the jobs that failed because runners crashed under their tasks, Innocent
	// those among them whose tasks did not crash them.
	GivenUp, Innocent int
	// Resumed counts the runs that were started from a checkpoint.
	Resumed int
	// Unauthorized counts the jobs that were refused for their unknown keys.
	Unauthorized int
	// Invalid counts the jobs that were refused because they are over a bound.
	Invalid int
	// LateStarts counts the late starts that a next life of a runner carried out.
	LateStarts int
	// LatePolls counts the polls of that kind.
	LatePolls int
	// LongestIdle is the longest time for which a task of a long-running job had no run.
	LongestIdle time.Duration
	// Problems describes each violated guarantee.
	Problems []string
	// Dir is the directory of the logs. It is empty, and the directory removed, if there
	// are no problems.
	Dir string
}

// settleTimeout bounds the wait for jobs to end after the last fault. The leases of
// unreachable upstreams and the wait of a new owner for them to expire add up to 12 s.
const settleTimeout = 40 * time.Second

const (
	// recoveryTime is how long after the last fault the bound on changes of the
	// configuration holds again.
	recoveryTime = 5 * time.Second
	// applyBound is within what time a change must be in force at every entry.
	applyBound = 3 * time.Second
)

// Run starts a cluster, submits jobs while it injects faults, and verifies the outcome
// of every job. Violated guarantees are in the report; the error is set only if the
// run itself failed.
func Run(opts Options) (Report, error) {
	if opts.Out == nil {
		opts.Out = io.Discard
	}
	callers := newCallers(opts)
	c, err := startCluster(opts, callers.submitted)
	if err != nil {
		return Report{}, err
	}
	callers.cluster = c
	start := time.Now()
	if opts.LastingJobs {
		callers.submitLasting()
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers.load(stop, start)
	}()
	settled, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		callers.watchLasting(settled, start)
	}()
	evacuations := make(chan int, 1)
	go func() { evacuations <- c.evacuateZones(stop, start) }()
	if opts.NoFaults {
		time.Sleep(opts.Duration)
	} else {
		c.injectFaults(rand.New(rand.NewPCG(opts.Seed, 1)), opts.Duration, start)
	}
	close(stop)
	<-done
	evacuated := <-evacuations
	c.clearFaults()
	c.restoreCapacities()
	callers.cancelLarge()
	problems := callers.checkConfiguration()
	close(settled)
	<-watched
	settle := settleTimeout
	if opts.SilentRestarts {
		settle += longSettleTime
	}
	report := callers.verify(settle)
	report.LongestIdle, report.LateStarts, report.LatePolls = callers.longestIdle, c.fleet.LateStarts(), c.fleet.LatePolls()
	report.Seed, report.Dir, report.Evacuations, report.Resumed = opts.Seed, c.dir, evacuated, c.fleet.Resumed()
	report.Problems = append(report.Problems, problems...)
	report.Problems = append(report.Problems, c.fleet.Problems()...)
	report.Problems = append(report.Problems, c.ownEnds()...)
	err = c.close()
	if len(report.Problems) == 0 {
		if rmErr := os.RemoveAll(c.dir); err == nil {
			err = rmErr
		}
		report.Dir = ""
	}
	return report, err
}

// load submits jobs and disturbs the upstreams, as the options say, until stop is closed.
func (c *callers) load(stop chan struct{}, start time.Time) {
	var further sync.WaitGroup
	defer further.Wait()
	if c.opts.Uneven {
		further.Go(func() { c.runLate(stop) })
	}
	if c.opts.CrashingTasks {
		further.Go(func() { c.runCrashing(stop) })
	}
	if c.opts.ChangingCapacities {
		further.Go(func() { c.cluster.resizeRunners(stop, start) })
	}
	if c.opts.UnknownKeys {
		further.Go(func() { c.runOpen(stop) })
	}
	if c.opts.LargeJobs {
		further.Go(func() { c.runLarge(stop) })
	}
	if c.opts.LateStarts {
		further.Go(func() { c.cluster.delayStarts(stop, start) })
	}
	if c.opts.SilentRestarts {
		c.cluster.fleet.SetLateAcknowledgements(c.opts.LateAcknowledgements)
		further.Go(func() { c.runLong(stop) })
		further.Go(func() { c.cluster.restartSilently(stop, start) })
	}
	if c.opts.LastingJobs {
		further.Go(func() { c.cluster.disturb(c.lasting, stop, start) })
	}
	c.run(stop)
}

// fault is a failure that is injected with begin and ended with end.
type fault struct {
	name  string
	begin func()
	end   func()
}

// injectFaults begins a random fault every 0.5 to 2 s for a duration d. Each fault lasts
// up to 4 s, so that faults overlap.
func (c *cluster) injectFaults(r *rand.Rand, d time.Duration, start time.Time) {
	end := time.Now().Add(d)
	type activeFault struct {
		fault
		until time.Time
	}
	var active []activeFault
	for time.Now().Before(end) {
		f := c.randomFault(r)
		fmt.Fprintf(c.opts.Out, "%7.3f begin %s\n", time.Since(start).Seconds(), f.name)
		f.begin()
		active = append(active, activeFault{f, time.Now().Add(time.Duration(300+r.IntN(3700)) * time.Millisecond)})
		time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
		active = slices.DeleteFunc(active, func(o activeFault) bool {
			if time.Now().Before(o.until) {
				return false
			}
			fmt.Fprintf(c.opts.Out, "%7.3f end   %s\n", time.Since(start).Seconds(), o.name)
			o.end()
			return true
		})
	}
	for _, o := range active {
		o.end()
	}
}

// unresponsiveTime is how long a runner does not respond after a loss of power: longer than
// a takeover, shorter than the time after which its runs count as gone.
const unresponsiveTime = 4 * time.Second

// randomFault picks a fault, and the entry or runner that it affects, at random.
func (c *cluster) randomFault(r *rand.Rand) fault {
	e := c.entries[r.IntN(len(c.entries))]
	runner := c.runners[r.IntN(len(c.runners))]
	noop := func() {}
	proxied := func(mode proxyMode) func() { return func() { e.proxy.setMode(mode) } }
	logState := func(refuse, stall, dropReplies bool, delay time.Duration) func() {
		return func() { c.log.SetFaults(refuse, stall, dropReplies, delay) }
	}
	healthy := logState(false, false, false, 0)
	faults := []fault{
		{"kill " + e.name, func() { e.signal(syscall.SIGKILL) }, noop},
		{"stop " + e.name, func() { e.signal(syscall.SIGTERM) }, noop},
		{"reload " + e.name, func() { e.signal(syscall.SIGHUP) }, noop},
		{"freeze " + e.name, func() { e.signal(syscall.SIGSTOP) }, func() { e.signal(syscall.SIGCONT) }},
		{"kill all", func() {
			for _, other := range c.entries {
				other.signal(syscall.SIGKILL)
			}
		}, noop},
		{"stall log connections of " + e.name, proxied(stalling), proxied(forwarding)},
		{"stall log replies to " + e.name, proxied(stallingReplies), proxied(forwarding)},
		{"reset log connections of " + e.name, proxied(resetting), proxied(forwarding)},
		{"delay log connections of " + e.name, proxied(delaying), proxied(forwarding)},
		{"log refuses requests", logState(true, false, false, 0), healthy},
		{"log not responding", logState(false, true, false, 0), healthy},
		{"log drops replies", logState(false, false, true, 0), healthy},
		{"log slow", logState(false, false, false, 150*time.Millisecond), healthy},
		{"log compacts topics", func() {
			c.log.Compact("keyed.samphirerail-jobs")
			c.log.Compact("keyed.servers")
			c.log.Compact("keyed.op")
		}, noop},
		{"configuration", c.publishConfig, noop},
		{"restart runner", runner.Restart, noop},
		{"late starts", func() { c.fleet.SetStartDelay(startDelays(r.Uint64())) }, func() { c.fleet.SetStartDelay(nil) }},
	}
	if c.opts.StartsWithoutRecord { // not in the sequences of the seeds without the setting
		faults = append(faults, fault{"log not responding, then loss of power with a runner not responding", logState(false, true, false, 0), func() {
			healthy()
			runner.SetUnresponsive(true)
			time.AfterFunc(unresponsiveTime, func() { runner.SetUnresponsive(false) })
			for _, other := range c.entries {
				other.signal(syscall.SIGKILL)
			}
		}})
		faults = append(faults, faults[len(faults)-1], faults[len(faults)-1])
	}
	return faults[r.IntN(len(faults))]
}

// startDelays returns a function that delays one start command in ten, chosen at random,
// by 0.5 to 6 s and the others by 0. A delayed command gets no response.
func startDelays(seed uint64) func() time.Duration {
	r := rand.New(rand.NewPCG(seed, 2))
	return func() time.Duration {
		if r.IntN(10) > 0 {
			return 0
		}
		return time.Duration(500+r.IntN(5500)) * time.Millisecond
	}
}

// clearFaults ends every fault that may still be active.
func (c *cluster) clearFaults() {
	c.log.SetFaults(false, false, false, 0)
	c.fleet.SetStartDelay(nil)
	c.log.SetStalled(operatorsTopic, false)
	for _, e := range c.entries {
		e.proxy.setMode(forwarding)
		e.signal(syscall.SIGCONT)
	}
}

// String renders a report on one line.
func (r Report) String() string {
	outcome := "ok"
	if len(r.Problems) > 0 {
		outcome = fmt.Sprintf("%d problems: %s; logs in %s", len(r.Problems), strings.Join(r.Problems[:min(len(r.Problems), 5)], "; "), r.Dir)
	}
	return fmt.Sprintf("seed %d: accepted %d, rejected %d, unknown %d, complete %d, given up %d (innocent %d), evacuations %d, resumed %d, unauthorized %d, invalid %d, late starts %d, late polls %d, longest idle %s: %s", r.Seed, r.Accepted, r.Rejected, r.Unknown, r.Complete, r.GivenUp, r.Innocent, r.Evacuations, r.Resumed, r.Unauthorized, r.Invalid, r.LateStarts, r.LatePolls, r.LongestIdle.Round(time.Millisecond), outcome)
}
