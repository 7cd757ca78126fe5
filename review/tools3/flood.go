//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = playFlood }

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// playFlood lets a client submit jobs of many small tasks.
func playFlood(b *bench, trouble bool) error {
	if err := b.fleet.addPool(envInt("RUNNERS", 48), "pool", 32000); err != nil {
		return err
	}
	if err := b.putConfig(twoTenants(3)); err != nil {
		return err
	}
	if err := b.startEntries(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, answered atomic.Int64
	group.Go(func() { b.ordinary(stop, &sent, &answered) })
	if trouble {
		time.Sleep(2 * time.Second)
		c := newClient("outside-key", 3*time.Second)
		jobs, tasks, cpu, ms := envInt("JOBS", 60), envInt("TASKS", 2900), envInt("CPU", 0), envInt("MS", -1)
		for i := range jobs {
			text, _ := json.Marshal(spec{MS: int64(ms), CPU: int64(cpu)})
			step := map[string]any{"count": tasks, "cpu": cpu, "estimate_ms": max(ms, 0)}
			if ms < 0 {
				step["long_running"] = true
			}
			steps := []map[string]any{step}
			for range envInt("STEPS", 1) - 1 {
				steps = append(steps, step)
			}
			body, _ := json.Marshal(map[string]any{"task_spec": string(text), "steps": steps})
			r := c.send("POST", b.entries[i%3], "/outside/"+newID(), body)
			if r.status != 200 || i < 2 || i == jobs-1 {
				b.note("outside POST: %d %s", r.status, r.body)
			}
		}
	}
	for range envInt("WATCH", 40) {
		time.Sleep(time.Second)
		var line []string
		for _, e := range b.entries {
			rss := e.statusKB("VmRSS")
			e.peakKB = max(e.peakKB, rss)
			line = append(line, fmt.Sprintf("%s %d MB", e.name, rss>>10))
		}
		b.fleet.mu.Lock()
		runs := 0
		for _, r := range b.fleet.all {
			runs += len(r.running)
		}
		b.fleet.mu.Unlock()
		b.note("%s; ordinary: sent %d answered %d; runs %d", strings.Join(line, ", "), sent.Load(), answered.Load(), runs)
	}
	close(stop)
	group.Wait()
	b.note("the traffic has ended")
	states := map[string]int{}
	c := newClient("team-key", 3*time.Second)
	began := time.Now()
	for time.Since(began) < time.Duration(envInt("SETTLE", 20))*time.Second {
		states = map[string]int{}
		notStarted := 0
		b.ids.Range(func(id, _ any) bool {
			r := c.send("GET", b.entries[0], "/desk/"+id.(string), nil)
			states[fmt.Sprint(r.status, r.state)]++
			if b.fleet.startsOf(id.(string)) == 0 {
				notStarted++
			}
			return true
		})
		b.note("states of ordinary jobs: %v, not started %d", states, notStarted)
		time.Sleep(2 * time.Second)
	}
	return nil
}
