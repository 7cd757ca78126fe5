//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func notifyStop(c chan os.Signal) { signal.Notify(c, os.Interrupt, syscall.SIGTERM) }

// cases are the cases by number.
var cases = map[string]func(b *bench, trouble bool) error{
	"memory": playMemory,
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// twoTenants is a configuration with a desk for ordinary callers and a tenant whose clients the
// operator doesn't control.
func twoTenants(version int64) map[string]any {
	return map[string]any{
		"config_version": version,
		"routes":         []map[string]any{route("desk", "/desk/", "pool"), route("outside", "/outside/", "pool")},
		"services":       []map[string]any{{"name": "pool", "health_path": "/healthz", "enforces_capacity": false}},
		"limits":         map[string]any{"max_body_bytes": 262144},
		"tenants": []map[string]any{
			{"name": "team", wire.Keys: []string{"team-key"}, "weight": 10, "maximum": map[string]int64{"cpu": 100000}},
			{"name": "outsiders", wire.Keys: []string{"outside-key"}, "weight": 10, "maximum": map[string]int64{"cpu": 100000}},
		},
	}
}

// ordinary submits small jobs until stop is closed, and asks for their states afterwards.
func (b *bench) ordinary(stop chan struct{}, sent, answered *atomic.Int64) {
	c := newClient("team-key", 3*time.Second)
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		group.Go(func() {
			id := newID()
			sent.Add(1)
			body := jobBody(spec{MS: 200, CPU: 1000}, 2, nil)
			for try := range 4 {
				r := c.send("POST", b.entries[(i+try)%len(b.entries)], "/desk/"+id, body)
				if r.status != 200 {
					b.note("ordinary POST %s to %s: %d %s (%s)", id, b.entries[(i+try)%len(b.entries)].name, r.status, r.body, r.took)
					time.Sleep(200 * time.Millisecond)
					continue
				}
				answered.Add(1)
				b.ids.Store(id, time.Now())
				return
			}
		})
	}
}

// memoryClients is the number of connections of the client, each with at most 50 jobs a second.
const memoryClients = 12

// memoryWatch is for how many seconds the memory is watched.
const memoryWatch = 92

// playMemory lets a client that the operator doesn't control submit jobs that are due in a day.
// The platform kills a process that exceeds its memory, and starts it again.
func playMemory(b *bench, trouble bool) error {
	if err := b.fleet.addPool(9, "pool", 32000); err != nil {
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
	var sent, answered, accepted, refused, other atomic.Int64
	group.Go(func() { b.ordinary(stop, &sent, &answered) })
	if trouble {
		c := newClient("outside-key", 3*time.Second)
		first := time.Now().Add(24 * time.Hour).UnixMilli()
		steps := make([]map[string]any, 24)
		for i := range steps {
			steps[i] = map[string]any{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1000}
		}
		body, err := json.Marshal(map[string]any{wire.Spec: strings.Repeat("x", 3900), "first_ms": first, "period_ms": 1000, "repeat_count": 1, "steps": steps})
		if err != nil {
			return err
		}
		b.note("the client sends jobs of %d bytes that are due in a day", len(body))
		for w := range memoryClients {
			group.Go(func() {
				next := time.NewTicker(20 * time.Millisecond)
				defer next.Stop()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-next.C:
					}
					r := c.send("POST", b.entries[(w+n)%len(b.entries)], "/outside/"+newID(), body)
					switch r.status {
					case 200:
						accepted.Add(1)
					case 429, 503:
						refused.Add(1)
					default:
						other.Add(1)
					}
				}
			})
		}
	}
	for i := range memoryWatch {
		time.Sleep(time.Second)
		killed := b.watchMemory()
		b.note("outside: accepted %d refused %d other %d; ordinary: sent %d answered %d; the store holds %d MB", accepted.Load(), refused.Load(), other.Load(), sent.Load(), answered.Load(), b.store.size()>>20)
		if i > 5 && killed >= 2 {
			b.broken("Fault: processes of %d of %d machines have exceeded their memory three times", killed, len(b.entries))
			break
		}
	}
	close(stop)
	group.Wait()
	b.note("ordinary sent %d answered %d", sent.Load(), answered.Load())
	for _, e := range b.entries {
		b.note("%s peak %d MB", e.name, e.peakKB>>10)
	}
	return nil
}

// watchMemory kills the processes that exceed the memory of their machine, as the platform does, and
// returns the number of machines on which that has happened three times.
func (b *bench) watchMemory() (machines int) {
	var line []string
	for _, e := range b.entries {
		rss := e.statusKB("VmRSS")
		e.peakKB = max(e.peakKB, rss)
		line = append(line, fmt.Sprintf("%s %d MB", e.name, rss>>10))
		if rss>>10 > memoryMB {
			e.ownEnds++
			b.note("%s exceeds its memory with %d MB, of %d, for the %d. time; the platform kills it", e.name, rss>>10, memoryMB, e.ownEnds)
			e.signal(syscall.SIGKILL)
		}
		if e.ownEnds >= 3 {
			machines++
		}
	}
	b.note("%s", strings.Join(line, ", "))
	return machines
}
