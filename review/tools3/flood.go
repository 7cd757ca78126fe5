//go:build review3

package main

import (
	"encoding/json"
	"sync"
	"time"
)

func init() { cases["tasks"] = playTasks }

const (
	// tasksJobs jobs of tasksEach tasks are submitted by the client.
	tasksJobs, tasksEach = 150, 2900
	// trafficTime is how long ordinary callers submit jobs.
	trafficTime = 40 * time.Second
	// finishTime is finish_s of the sheet, idleTime the time for which a job may have nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// poolSize is the number of runners of the larger service of the sheet, roomCPU the room of each.
	poolSize, roomCPU = 35, 32000
	// tenantCPU is the maximum of each tenant.
	tenantCPU = 600000
)

// playTasks lets a client that the operator doesn't control submit jobs of many small tasks that
// last, all of them within the limits of its tenant and of the system. The platform kills a process
// that exceeds its memory, and starts it again.
func playTasks(b *bench, trouble bool) error {
	if err := b.fleet.addPool(poolSize, "pool", roomCPU); err != nil {
		return err
	}
	config := twoTenants(3)
	for _, t := range config["tenants"].([]map[string]any) {
		t["maximum"] = map[string]int64{"cpu": tenantCPU}
	}
	if err := b.putConfig(config); err != nil {
		return err
	}
	if err := b.startEntries(3); err != nil {
		return err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	var traffic, watch sync.WaitGroup
	traffic.Go(func() { b.ordinary(stop, &b.sent, &b.answered) })
	watch.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Second):
			}
			b.watchMemory()
			runs, used := b.fleet.load()
			b.note("ordinary: sent %d answered %d; runs %d with %d thousandths of a core", b.sent.Load(), b.answered.Load(), runs, used)
		}
	})
	began := time.Now()
	time.Sleep(2 * time.Second)
	if trouble {
		c := newClient("outside-key", 3*time.Second)
		text, _ := json.Marshal(spec{MS: -1, CPU: 1})
		body, err := json.Marshal(map[string]any{wire.Spec: string(text), "steps": []map[string]any{{"count": tasksEach, "cpu": 1, "mem_mb": 1, "long_running": true}}})
		if err != nil {
			return err
		}
		answers := map[int]int{}
		for i := range tasksJobs {
			answers[c.send("POST", b.entries[i%len(b.entries)], "/outside/"+newID(), body).status]++
		}
		b.note("the client has sent %d jobs of %d tasks; answers by status: %v", tasksJobs, tasksEach, answers)
	}
	time.Sleep(time.Until(began.Add(trafficTime)))
	close(stop)
	traffic.Wait()
	b.note("the traffic has ended")
	time.Sleep(finishTime)
	b.checkIdle("/desk/", roomCPU*poolSize)
	close(ended)
	watch.Wait()
	return nil
}

// load returns the number of runs and the processors that they take.
func (f *fleet) load() (runs int, used int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.all {
		r.advance()
		runs += len(r.running)
		for _, t := range r.running {
			used += t.spec.CPU
		}
	}
	return runs, used
}

// checkIdle asks for the accepted ordinary jobs, and finds those that aren't complete and have
// nothing running for idleTime while under half of the room is in use.
func (b *bench) checkIdle(prefix string, room int64) {
	c := newClient("team-key", 3*time.Second)
	idleSince, states := map[string]time.Time{}, map[string]int{}
	for round := range 2 {
		states = map[string]int{}
		b.ids.Range(func(id, _ any) bool {
			job := id.(string)
			var r reply
			for try := range len(b.entries) {
				if r = c.send("GET", b.entries[try], prefix+job, nil); r.status == 200 || r.status == 410 {
					break
				}
			}
			states[r.state]++
			if r.state == "complete" {
				return true
			}
			if round == 0 {
				idleSince[job] = time.Now()
			}
			return true
		})
		b.note("states of the ordinary jobs: %v", states)
		if round == 0 {
			for until := time.Now().Add(idleTime + time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
				_, used := b.fleet.load()
				for job := range idleSince {
					if 2*used >= room || b.fleet.runsOf(job) > 0 {
						delete(idleSince, job)
					}
				}
			}
		}
	}
	for job := range idleSince {
		b.note("job %s was accepted and has nothing running for %s; its runs until now: %d", job, idleTime, b.fleet.startsOf(job))
	}
	if len(idleSince) > 0 {
		b.broken("LOST: %d accepted jobs have had nothing running for %s, %s after the end of the traffic", len(idleSince), idleTime, finishTime)
	}
}
