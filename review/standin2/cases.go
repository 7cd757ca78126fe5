package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["few-entries"] = fewEntries
	cases["long-tasks"] = longTasks
	cases["prompt-cancels"] = promptCancels
	cases["late-order"] = lateOrder
}

// finish is finish_s, and idle how long a job may have nothing running after that.
const (
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// awaitIdle watches jobs for a time and returns those that had nothing running for 3 s on end while they
// were not complete and less than half of the capacity was in use.
func (c *system) awaitIdle(jobs map[string]string, watch time.Duration, capacity int64) (broken []string) {
	since, told := map[string]time.Time{}, map[string]bool{}
	for until := time.Now().Add(watch); time.Now().Before(until) && c.pause(50*time.Millisecond); {
		for id, path := range jobs {
			n, used := c.fleet.running(id)
			if n > 0 || 2*used >= capacity {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = time.Now()
			}
			if told[id] || time.Since(since[id]) < idle {
				continue
			}
			_, answer := c.call(c.survivor(), http.MethodGet, path, nil)
			if state := answer["state"]; state == "queued" || state == "running" {
				told[id] = true
				broken = append(broken, fmt.Sprintf("LOST: job %s is %s, and nothing of it has run for %.1f s with %d of %d thousandths of a core in use", id, state, time.Since(since[id]).Seconds(), used, capacity))
			} else {
				delete(jobs, id)
			}
		}
	}
	return broken
}

// survivor returns an entry whose machine is there.
func (c *system) survivor() *entry {
	for _, e := range c.entries {
		e.mu.Lock()
		removed := e.removed
		e.mu.Unlock()
		if !removed {
			return e
		}
	}
	return nil
}

// fewEntries: of three entries one is removed for good. Jobs of a queue with advice come somewhat faster
// than two entries can ask for advice, and stop.
func fewEntries(c *system) ([]string, error) {
	const runners, cpu, count = 12, 32_000, 60
	c.advice.decision, c.advice.each, c.advice.validMS = 560*time.Millisecond, 8*time.Millisecond, 2000
	q := queue{prefix: "/render/", priority: 1, targets: 1000, stretch: 2.2, advice: map[string]any{"decision_ms": 560, "interval_ms": 8, "valid_ms": 2000}}
	if err := c.build(3, runners, cpu, q); err != nil {
		return nil, err
	}
	c.pause(6 * time.Second)
	if c.trouble {
		owner := c.owner()
		for _, e := range c.entries {
			if e != owner {
				c.record.note("%s gets SIGTERM and is removed for good", e.name)
				e.signal(syscall.SIGTERM, true)
				break
			}
		}
	}
	c.pause(8 * time.Second) // grace_s and 2 s
	jobs := map[string]string{}
	for i := range count {
		id := fmt.Sprintf("%016x", 0xfe0000+i)
		if c.submit(i, "/render/"+id, job(taskSpec{RunMS: 1000, CPU: 4000}, step(1, 4000, 1000))) {
			jobs[id] = "/render/" + id
		}
		c.pause(200 * time.Millisecond)
	}
	c.record.note("%d of %d jobs accepted; no further jobs come", len(jobs), count)
	c.pause(finish)
	return c.awaitIdle(jobs, 40*time.Second, runners*cpu), nil
}

// longTasks: the tasks of a job take seven times as long as declared.
func longTasks(c *system) ([]string, error) {
	const runners, cpu, declared = 4, 32_000, 45_000
	q := queue{prefix: "/scale/", priority: 2, targets: 3000, stretch: 4}
	if err := c.build(3, runners, cpu, q); err != nil {
		return nil, err
	}
	c.pause(2 * time.Second)
	spec := taskSpec{RunMS: declared, CPU: 4000}
	if c.trouble {
		spec.RunMS *= 7
	}
	const id = "00000000005ca1e0"
	if !c.submit(0, "/scale/"+id, job(spec, step(8, 4000, declared))) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	c.pause(finish)
	return c.awaitIdle(map[string]string{id: "/scale/" + id}, 50*time.Second, runners*cpu), nil
}

const (
	// cancelTime is cancel_ms and contact contact_ms.
	cancelTime = 3 * time.Second
	contact    = 3 * time.Second
)

// promptCancels: callers cancel their jobs as soon as these are accepted, at another entry, while owners
// are killed one after the other.
func promptCancels(c *system) ([]string, error) {
	const runners, cpu = 10, 32_000
	var mu sync.Mutex
	cancelled, lastKill := map[string]time.Time{}, time.Now()
	var broken []string
	c.fleet.onStart = func(task string, run int64) {
		mu.Lock()
		defer mu.Unlock()
		at, ok := cancelled[task[:strings.IndexByte(task, '.')]]
		if now := time.Now(); ok && now.Sub(at) > cancelTime && now.Sub(lastKill) > contact+restartDelay {
			broken = append(broken, fmt.Sprintf("UNASKED: run %d of %s begins %.2f s after the job's cancelling was acknowledged, %.2f s after the last kill", run, task, now.Sub(at).Seconds(), now.Sub(lastKill).Seconds()))
		}
	}
	q := queue{prefix: "/check/", targets: 3000, stretch: 4}
	if err := c.build(5, runners, cpu, q); err != nil {
		return nil, err
	}
	c.pause(6 * time.Second)
	var group sync.WaitGroup
	pair := func(i int) {
		id := fmt.Sprintf("%016x", 0xcace0000+i)
		first := rand.IntN(len(c.entries))
		if status, _ := c.call(c.entries[first], http.MethodPost, "/check/"+id, job(taskSpec{RunMS: 4400, CPU: 1000}, step(1, 1000, 4400), step(1, 1000, 4400, 0))); status/100 != 2 {
			return
		}
		for k := range 8 {
			if c.done.Err() != nil {
				return
			}
			e := c.entries[(first+1+(i+k)%(len(c.entries)-1))%len(c.entries)]
			if status, _ := c.call(e, http.MethodDelete, "/check/"+id, nil); status/100 == 2 || status == http.StatusGone {
				mu.Lock()
				cancelled[id] = time.Now()
				mu.Unlock()
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	began, kill := time.Now(), time.Now().Add(5*time.Second)
	for i := 0; time.Since(began) < 80*time.Second && c.pause(40*time.Millisecond); i++ {
		if time.Now().After(kill) {
			kill = time.Now().Add(9 * time.Second)
			if owner := c.owner(); c.trouble && owner != nil {
				c.record.note("%s, the owner, is killed", owner.name)
				mu.Lock()
				lastKill = time.Now()
				mu.Unlock()
				owner.signal(syscall.SIGKILL, false)
			}
		}
		group.Go(func() { pair(i) })
	}
	group.Wait()
	c.pause(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

// lateOrder: a start of one task gets no answer. The task is started elsewhere and ends there. Then the
// runner of the start crashes, begins again under its ID, and carries the start out.
func lateOrder(c *system) ([]string, error) {
	const runners, cpu, others = 12, 32_000, 44
	const id = "00000000001a7e00"
	const task = id + ".0.0.0"
	c.fleet.outage = 500 * time.Millisecond
	var broken []string
	var late *runner
	var orderedAt time.Time
	c.fleet.onStart = func(started string, run int64) { // with the fleet's lock held
		if on, done := c.fleet.noted[started]; done {
			broken = append(broken, fmt.Sprintf("TWICE: run %d of %s begins after its end on %s was taken note of", run, started, on))
		}
	}
	c.fleet.late = func(r *runner, started string) bool {
		if !c.trouble || started != task || late != nil {
			return false
		}
		late, orderedAt, r.keepsID = r, time.Now(), true
		return true
	}
	q := queue{prefix: "/scale/", priority: 1, targets: 3000, stretch: 4}
	if err := c.build(3, runners, cpu, q); err != nil {
		return nil, err
	}
	c.pause(6 * time.Second)
	send := func(id string, ms int64) {
		c.submit(0, "/scale/"+id, job(taskSpec{RunMS: ms, CPU: 4000}, step(1, 4000, ms)))
	}
	for i := range others {
		if i == others/2 {
			send(id, 2000)
		}
		send(fmt.Sprintf("%016x", 0x1a7f00+i), 700)
		c.pause(110 * time.Millisecond)
	}
	if !c.trouble {
		c.pause(16 * time.Second)
		return broken, nil
	}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); c.pause(20 * time.Millisecond) {
		c.fleet.mu.Lock()
		_, done := c.fleet.noted[task]
		ready := done && late != nil && time.Since(orderedAt) > 6*time.Second
		if ready {
			late.crash("")
		}
		c.fleet.mu.Unlock()
		if ready {
			c.pause(10 * time.Second)
			c.fleet.mu.Lock()
			defer c.fleet.mu.Unlock()
			return broken, nil
		}
	}
	return nil, fmt.Errorf("the task was not started elsewhere and ended in time")
}
