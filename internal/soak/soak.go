package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// teamMaximum is what a workspace may have running, in thousandths of a processor.
const teamMaximum = 24_000

// Options choose what is run.
type Options struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	Entries  int
	Runners  int
	// Program is the samphirerail binary.
	Program string
	// Dir receives settings and logs of the entries; the system's default when empty.
	Dir string
	// Out receives what happens; it may be nil.
	Out io.Writer
	// Quiet injects no faults.
	Quiet bool
}

// Report is the outcome of a run.
type Report struct {
	Seed                        uint64
	Accepted, Rejected, Unknown int
	Complete                    int
	Problems                    []string
	// Dir holds the logs; it is removed when there are no problems.
	Dir string
}

// settle is how long jobs have after the last fault: leases of unreached
// upstreams and the wait of a new owner for them add up to 12 s.
const settle = 40 * time.Second

// Run runs one seed.
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
	began := time.Now()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		callers.run(stop)
		close(done)
	}()
	if opts.Quiet {
		time.Sleep(opts.Duration)
	} else {
		c.injectFaults(rand.New(rand.NewPCG(opts.Seed, 1)), opts.Duration, began)
	}
	close(stop)
	<-done
	c.heal()
	report := callers.verify(settle)
	report.Seed, report.Dir = opts.Seed, c.dir
	report.Problems = append(report.Problems, c.fleet.Problems()...)
	err = c.close()
	if len(report.Problems) == 0 {
		if rmErr := os.RemoveAll(c.dir); err == nil {
			err = rmErr
		}
		report.Dir = ""
	}
	return report, err
}

// fault is something that goes wrong for a time.
type fault struct {
	name  string
	begin func()
	end   func()
}

// injectFaults begins a fault every half second to two seconds; each lasts up
// to four, so that they overlap.
func (c *cluster) injectFaults(r *rand.Rand, d time.Duration, began time.Time) {
	end := time.Now().Add(d)
	type open struct {
		fault
		until time.Time
	}
	var running []open
	for time.Now().Before(end) {
		f := c.pick(r)
		fmt.Fprintf(c.opts.Out, "%7.3f begin %s\n", time.Since(began).Seconds(), f.name)
		f.begin()
		running = append(running, open{f, time.Now().Add(time.Duration(300+r.IntN(3700)) * time.Millisecond)})
		time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
		running = slices.DeleteFunc(running, func(o open) bool {
			if time.Now().Before(o.until) {
				return false
			}
			fmt.Fprintf(c.opts.Out, "%7.3f end   %s\n", time.Since(began).Seconds(), o.name)
			o.end()
			return true
		})
	}
	for _, o := range running {
		o.end()
	}
}

// pick draws a fault.
func (c *cluster) pick(r *rand.Rand) fault {
	e := c.entries[r.IntN(len(c.entries))]
	runner := c.runners[r.IntN(len(c.runners))]
	nothing := func() {}
	proxied := func(mode proxyMode) func() { return func() { e.proxy.set(mode) } }
	logState := func(refuse, silent, lose bool, delay time.Duration) func() {
		return func() { c.log.Set(refuse, silent, lose, delay) }
	}
	well := logState(false, false, false, 0)
	faults := []fault{
		{"kill " + e.name, func() { e.signal(syscall.SIGKILL) }, nothing},
		{"stop " + e.name, func() { e.signal(syscall.SIGTERM) }, nothing},
		{"reload " + e.name, func() { e.signal(syscall.SIGHUP) }, nothing},
		{"freeze " + e.name, func() { e.signal(syscall.SIGSTOP) }, func() { e.signal(syscall.SIGCONT) }},
		{"kill all", func() {
			for _, other := range c.entries {
				other.signal(syscall.SIGKILL)
			}
		}, nothing},
		{"silence log for " + e.name, proxied(silent), proxied(passing)},
		{"cut answers of log for " + e.name, proxied(oneWay), proxied(passing)},
		{"reset log for " + e.name, proxied(resetting), proxied(passing)},
		{"delay log for " + e.name, proxied(delaying), proxied(passing)},
		{"log refuses", logState(true, false, false, 0), well},
		{"log silent", logState(false, true, false, 0), well},
		{"log loses answers", logState(false, false, true, 0), well},
		{"log slow", logState(false, false, false, 150*time.Millisecond), well},
		{"log forgets history", func() { c.log.Compact("keyed.samphirerail-jobs"); c.log.Compact("keyed.servers") }, nothing},
		{"configuration", c.configure, nothing},
		{"restart runner", runner.Restart, nothing},
		{"late starts", func() { c.fleet.SetLate(lateStarts(r.Uint64())) }, func() { c.fleet.SetLate(nil) }},
	}
	return faults[r.IntN(len(faults))]
}

// lateStarts leaves one start in ten unanswered for up to six seconds.
func lateStarts(seed uint64) func() time.Duration {
	r := rand.New(rand.NewPCG(seed, 2))
	return func() time.Duration {
		if r.IntN(10) > 0 {
			return 0
		}
		return time.Duration(500+r.IntN(5500)) * time.Millisecond
	}
}

// heal ends every fault.
func (c *cluster) heal() {
	c.log.Set(false, false, false, 0)
	c.fleet.SetLate(nil)
	for _, e := range c.entries {
		e.proxy.set(passing)
		e.signal(syscall.SIGCONT)
	}
}

// String renders a report on one line.
func (r Report) String() string {
	outcome := "ok"
	if len(r.Problems) > 0 {
		outcome = fmt.Sprintf("%d problems: %s; logs in %s", len(r.Problems), strings.Join(r.Problems[:min(len(r.Problems), 5)], "; "), r.Dir)
	}
	return fmt.Sprintf("seed %d: accepted %d, rejected %d, unknown %d, complete %d: %s", r.Seed, r.Accepted, r.Rejected, r.Unknown, r.Complete, outcome)
}
