package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/platform/fakewire"
)

const (
	// lastingJobs is the number of long-running jobs, which are submitted at the start.
	lastingJobs = 8
	// lastingCPUMilli is the demand of each task.
	lastingCPUMilli = 300
	// lastingSampleInterval is the interval at which their tasks and states are looked at.
	lastingSampleInterval = 100 * time.Millisecond
	// lastingEnd bounds the time from the cancellation of such a job until it is shown.
	lastingEnd = 10 * time.Second
)

// lastingJob is a long-running job that was submitted.
type lastingJob struct {
	id  string
	job *sentJob
}

// submitLasting submits the long-running jobs.
func (c *callers) submitLasting() {
	r := rand.New(rand.NewPCG(c.opts.Seed, lastingStream))
	var group sync.WaitGroup
	defer group.Wait()
	for i := range lastingJobs {
		id, width := fmt.Sprintf("%016x", r.Uint64()), 1+r.IntN(3)
		spec := fakewire.Spec{RunMS: -1, CPU: lastingCPUMilli}
		if c.opts.FailingLastingJobs && i%3 == 2 {
			spec.ActualMS, spec.Fail = int64(1500+r.IntN(2500)), true
		}
		job := &sentJob{tasks: width, prefix: fakewire.LastingPrefix, lasting: true}
		c.mu.Lock()
		c.jobs[id] = job
		c.lasting = append(c.lasting, lastingJob{id, job})
		c.mu.Unlock()
		firstEntry := r.IntN(len(c.cluster.entries))
		group.Go(func() { c.submit(id, job, fakewire.LastingJob(spec, width), firstEntry, false) })
	}
}

// watchLasting records, until stop is closed, how long tasks of the long-running jobs have no run.
func (c *callers) watchLasting(stop <-chan struct{}, start time.Time) {
	idleSince := map[string]time.Time{}
	for wait(stop, lastingSampleInterval) {
		for _, l := range c.lasting {
			for i := range l.job.tasks {
				task := fmt.Sprintf("%s.0.0.%d", l.id, i)
				since, idle := idleSince[task]
				switch {
				case c.cluster.fleet.IsRunning(task):
					if idle {
						c.noteIdle(task, time.Since(since), start)
					}
					delete(idleSince, task)
				case !idle:
					idleSince[task] = time.Now()
				}
			}
		}
	}
	for task, since := range idleSince {
		c.noteIdle(task, time.Since(since), start)
	}
}

// notedIdle is the time without a run from which it is written to the output.
const notedIdle = 5 * time.Second

func (c *callers) noteIdle(task string, d time.Duration, start time.Time) {
	c.longestIdle = max(c.longestIdle, d)
	if d >= notedIdle {
		fmt.Fprintf(c.opts.Out, "%7.3f task %s had no run for %s\n", time.Since(start).Seconds(), task, d.Round(time.Millisecond))
	}
}

// checkLasting checks that a long-running job goes on, or has failed under enough crashes, and
// that it ends with its cancellation.
func (c *callers) checkLasting(report *Report, id string, job *sentJob, deadline time.Time) {
	problem := func(format string, args ...any) {
		report.Problems = append(report.Problems, fmt.Sprintf(format, args...))
	}
	state := ""
	for {
		state = c.state(id)
		if state == "failed" || (state == "running" && c.cluster.fleet.Running(id) == job.tasks) || time.Now().After(deadline) {
			break
		}
		time.Sleep(lastingSampleInterval)
	}
	switch {
	case state == "failed" && c.mayHaveFailed(id):
		report.GivenUp++
		report.Innocent++
		return
	case state != "running":
		problem("LOST: the long-running job %s is shown as %q, with %s", id, state, c.describeCrashes(id, job))
		return
	case c.cluster.fleet.Running(id) != job.tasks:
		problem("LOST: %d of %d tasks of the long-running job %s run", c.cluster.fleet.Running(id), job.tasks, id)
	}
	c.mu.Lock()
	job.cancelSent = true
	c.mu.Unlock()
	for until := time.Now().Add(lastingEnd); c.call(http.MethodDelete, c.cluster.entries[0], id, nil)/100 != 2 && time.Now().Before(until); {
		time.Sleep(lastingSampleInterval)
	}
	if state := c.finalState(id, time.Now().Add(lastingEnd)); state != "cancelled" {
		problem("LOST: the long-running job %s is shown as %q after its cancellation", id, state)
	}
}

// state returns the state that the first entry to answer shows, or "".
func (c *callers) state(id string) string {
	for _, e := range c.cluster.entries {
		if status, state := c.request(http.MethodGet, e, id, nil); status == http.StatusOK {
			return state
		}
	}
	return ""
}

// describeCrashes describes under which tasks of a job runners have crashed.
func (c *callers) describeCrashes(id string, job *sentJob) string {
	crashes := make([]int, job.tasks)
	for i := range crashes {
		crashes[i] = c.cluster.fleet.Crashes(fmt.Sprintf("%s.0.0.%d", id, i))
	}
	return fmt.Sprintf("%v crashes of runners under its tasks", crashes)
}

// killOwner kills the entry that owns the placement of tasks.
func (c *cluster) killOwner() string {
	for key, value := range c.log.Newest(ledgerTopic) {
		claim, ok := ledger.ClaimOf(ledger.Record{Key: key, Value: value})
		if !ok {
			continue
		}
		for _, e := range c.entries {
			if e.name == claim.Entry {
				e.signal(syscall.SIGKILL)
				return e.name
			}
		}
	}
	return "none"
}

// ledgerTopic is the topic with the entries' records.
const ledgerTopic = "keyed.samphirerail-jobs"

// cutStream is the first of the streams of random numbers of disturb.
const cutStream = 8

const (
	// leaseTime is how long runs go on after the last contact to their owner.
	leaseTime = 5 * time.Second
	// leastCut and cutSpread bound how long a runner is cut off, which is less or more than
	// leaseTime, pauseSpread the pause between the cuts of one series.
	leastCut, cutSpread, pauseSpread = 3 * time.Second, 6 * time.Second, 2 * time.Second
	// lapseSlack is added where leases must have expired.
	lapseSlack = 100 * time.Millisecond
	// cutDistance is the time between the beginnings of the cuts of runners that are not lost
	// together, togetherDistance of those that are.
	cutDistance, togetherDistance = 150 * time.Millisecond, 5 * time.Millisecond
	// pursuedJobs is the number of long-running jobs whose runners are cut off again and again,
	// lapsingJobs that of those among them whose leases always expire then.
	pursuedJobs, lapsingJobs = 3, 2
	runnersOfRack            = 4
)

// disturb cuts runners off until stop is closed, in series that overlap: those of a rack or of a
// zone, and those of some of the long-running jobs. Some restart behind the cut, others crash, and
// the owner is killed.
func (c *cluster) disturb(jobs []lastingJob, stop <-chan struct{}, start time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	series := func(stream uint64, next func(r *rand.Rand)) {
		r := rand.New(rand.NewPCG(c.opts.Seed, stream))
		group.Go(func() {
			for wait(stop, draw(r, pauseSpread)) {
				next(r)
			}
		})
	}
	for n := range min(pursuedJobs, len(jobs)) {
		series(cutStream+uint64(n), func(r *rand.Rand) {
			o := randomOutage(r, cutDistance)
			if n < lapsingJobs {
				o = lapsingOutage(r)
			}
			c.cutOff(c.fleet.RunnersOf(jobs[n].id), o, stop, start)
		})
	}
	series(cutStream+pursuedJobs, func(r *rand.Rand) {
		if !wait(stop, leastCut+draw(r, cutSpread)) {
			return
		}
		var chosen []int
		rack, zone, byRack := r.IntN(len(c.runners)/runnersOfRack), r.IntN(len(zones)), r.IntN(2) == 0
		for i := range c.runners {
			if (byRack && i/runnersOfRack == rack) || (!byRack && i%len(zones) == zone) {
				chosen = append(chosen, i)
			}
		}
		c.cutOff(chosen, randomOutage(r, togetherDistance), stop, start)
	})
	series(cutStream+pursuedJobs+1, func(r *rand.Rand) {
		if !wait(stop, leastCut+draw(r, cutSpread)) {
			return
		}
		if i := r.IntN(len(c.runners)); r.IntN(2) == 0 {
			c.note(start, "runner %d crashes", i)
			c.runners[i].Crash("")
		} else {
			c.note(start, "kill of the owner %s", c.killOwner())
		}
	})
}

// draw returns a random time below a bound.
func draw(r *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(below)))
}

func (c *cluster) note(start time.Time, format string, args ...any) {
	fmt.Fprintf(c.opts.Out, "%7.3f %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
}

// outage is how runners are cut off.
type outage struct {
	length time.Duration
	// restartAfter is when the runners restart behind the cut; 0 if they don't.
	restartAfter time.Duration
	sameID       bool
	// distance is the time between the beginnings at two runners.
	distance time.Duration
	// store says that they do not reach the store either.
	store bool
}

// randomOutage returns an outage in which the runners may restart, before or after their leases
// have expired.
func randomOutage(r *rand.Rand, distance time.Duration) outage {
	o := outage{length: leastCut + draw(r, cutSpread), sameID: r.IntN(2) == 0, distance: distance, store: r.IntN(4) > 0}
	if after := 1 + draw(r, o.length); r.IntN(2) == 0 {
		o.restartAfter = after
	}
	return o
}

// lapsingOutage returns an outage at whose end the runners restart, soon after their leases have
// expired.
func lapsingOutage(r *rand.Rand) outage {
	after := leaseTime + lapseSlack + draw(r, lapseSlack)
	return outage{length: after, restartAfter: after, sameID: r.IntN(2) == 0, distance: cutDistance, store: r.IntN(4) > 0}
}

// claimUncut returns those of the runners that no other call of cutOff cuts off, and reserves them.
func (c *cluster) claimUncut(runners []int) (claimed []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range runners {
		if !c.cut[i] {
			c.cut[i] = true
			claimed = append(claimed, i)
		}
	}
	return claimed
}

func (c *cluster) release(runner int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cut, runner)
}

// cutOff cuts runners off, one after the other, and waits until all are back.
func (c *cluster) cutOff(runners []int, o outage, stop <-chan struct{}, start time.Time) {
	runners = c.claimUncut(runners)
	if len(runners) == 0 {
		return
	}
	c.note(start, "cut of runners %v: %+v", runners, o)
	var group sync.WaitGroup
	defer group.Wait()
	for n, i := range runners {
		group.Go(func() {
			defer c.release(i)
			if !wait(stop, time.Duration(n)*o.distance) {
				return
			}
			c.runners[i].Cut(o.store)
			defer c.runners[i].Heal()
			if o.restartAfter == 0 {
				wait(stop, o.length)
				return
			}
			if wait(stop, o.restartAfter) {
				id := ""
				if !o.sameID {
					id = fmt.Sprintf("i-%03d-%d", i, c.lives.Add(1))
				}
				c.runners[i].Crash(id)
				wait(stop, o.length-o.restartAfter)
			}
		})
	}
}

// wait waits for a time and reports whether stop is still open then.
func wait(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}
