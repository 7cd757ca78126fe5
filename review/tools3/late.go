//go:build review3

package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late"] = playLate }

const (
	// crashAfter is how long after an order without an answer its runner crashes, awayFor how long it is away.
	crashAfter, awayFor = 6 * time.Second, 500 * time.Millisecond
	// latePool is the number of runners.
	latePool = 12
)

// playLate lets one order to start a task get no answer. The task is done elsewhere. Then the runner of the
// order crashes and starts again under its id, and takes the order that was meant for its former life.
func playLate(b *bench, trouble bool) error {
	if err := b.fleet.addPool(latePool, "pool", 32000); err != nil {
		return err
	}
	if err := b.putConfig(twoTenants(3)); err != nil {
		return err
	}
	if err := b.startEntries(3); err != nil {
		return err
	}
	var mu sync.Mutex // guards taken and its order
	var taken *runner
	var late order
	var starts atomic.Int64
	b.fleet.onStart = func(r *runner, name string, run int64, _ spec) {
		starts.Add(1)
		mu.Lock()
		watched := taken != nil && late.Task == name
		mu.Unlock()
		if watched {
			b.note("%s starts %s run %d", r.id, name, run)
		}
		if at, ok := b.fleet.done[name]; ok {
			b.broken("TWICE: %s starts %s run %d, %s after an end done was taken note of", r.id, name, run, time.Since(at).Round(time.Millisecond))
		}
		for _, other := range b.fleet.all {
			if t := other.running[name]; other != r && !other.down && t != nil {
				b.broken("TWICE: %s starts %s run %d beside run %d on %s", r.id, name, run, t.run, other.id)
			}
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { b.ordinary(stop, &b.sent, &b.answered) })
	time.Sleep(5 * time.Second)
	crashed := make(chan error, 1)
	if trouble {
		for _, r := range b.fleet.all {
			b.fleet.mu.Lock()
			r.withhold = func(path string, o *order) bool {
				mu.Lock()
				defer mu.Unlock()
				if path != wire.Start || taken != nil {
					return false
				}
				taken, late = r, *o
				b.note("the order to %s to start %s run %d gets no answer", r.id, o.Task, o.RunID)
				go func() { crashed <- b.crashWithLateOrder(r, o) }()
				return true
			}
			b.fleet.mu.Unlock()
		}
	} else {
		crashed <- nil
	}
	if err := <-crashed; err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	close(stop)
	group.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if taken != nil {
		id, _, _ := strings.Cut(late.Task, ".")
		c := newClient("team-key", 3*time.Second)
		b.note("job %s is %s", id, c.send("GET", b.entries[0], "/desk/"+id, nil).state)
	}
	b.note("%d starts; ordinary sent %d answered %d", starts.Load(), b.sent.Load(), b.answered.Load())
	return nil
}

// crashWithLateOrder crashes a runner that has left an order without an answer. The order reaches its next life.
func (b *bench) crashWithLateOrder(r *runner, o *order) error {
	time.Sleep(crashAfter)
	b.note("%s crashes", r.id)
	r.crash()
	time.Sleep(awayFor)
	return r.restart(func() {
		status, reply, _ := r.carryOut(wire.Start, o, r.life)
		b.note("%s is back and takes the order: %d %v", r.id, status, reply)
	})
}
