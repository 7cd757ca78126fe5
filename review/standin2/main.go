// Command standin2 plays the cases of the second review: it starts entries as the deploy file does,
// beside stand-ins of the store, the advice service and the runners, and checks one rule.
//
//	standin2 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	host = "jobs.example"
	key  = "team-key"
	// limit ends a case that takes too long.
	limit = 118 * time.Second
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// system is the system under test with its surroundings.
type system struct {
	dir, program                string
	storeAddress, adviceAddress string
	record                      *record
	store                       *store
	advice                      *advice
	fleet                       *fleet
	entries                     []*entry
	trouble                     bool
	done                        context.Context
}

// queue is a route of the configuration.
type queue struct {
	prefix            string
	priority, targets int
	stretch           float64
	advice            map[string]any
}

// serve serves a handler at a free port of an address.
func serve(ip string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // until the process ends
	return l.Addr().String(), nil
}

// configure writes a configuration.
func (c *system) configure(version int64, queues ...queue) {
	var routes []map[string]any
	for _, q := range queues {
		route := map[string]any{
			"name": "route" + q.prefix[1:len(q.prefix)-1], "host": host, wire.Prefix: q.prefix, "service": "pool", "route_kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": q.targets, "priority": q.priority, "max_attempts": 4, "stretch": q.stretch,
		}
		if q.advice != nil {
			route["advice"] = q.advice
		}
		routes = append(routes, route)
	}
	c.store.put("keyed.op", "config", map[string]any{
		"config_version": version, "routes": routes,
		"services": []map[string]any{{"name": "pool", "health_path": "/healthz", "enforces_capacity": false}},
		"limits":   map[string]any{"max_body_bytes": 65536},
		"tenants":  []map[string]any{{"name": "team", wire.Keys: []string{key}, "weight": 100, "maximum": map[string]int64{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
}

// call makes a caller's call. The status is 0 if there was no answer.
func (c *system) call(e *entry, method, path string, body any) (status int, answer map[string]any) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		c.record.note("%s %s at %s: no answer", method, path, e.name)
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.record.note("%s %s at %s: no whole answer", method, path, e.name)
		return 0, nil
	}
	_ = json.Unmarshal(text, &answer) // a refusal may have no body
	c.record.note("%s %s at %s: %d %s", method, path, e.name, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode, answer
}

// step describes a step of count tasks.
func step(count int, cpu, estimate int64, after ...int) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": estimate}
	if len(after) > 0 {
		s["after"] = after
	}
	return s
}

// job is the body of a submission.
func job(spec taskSpec, steps ...map[string]any) map[string]any {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return map[string]any{wire.Spec: string(text), "steps": steps}
}

// submit hands a job in at the entries in turn, from one on, until one answers for good. It reports
// whether the job was accepted.
func (c *system) submit(first int, path string, body any) bool {
	for i := range 5 {
		e := c.entries[(first+i)%len(c.entries)]
		e.mu.Lock()
		removed := e.removed
		e.mu.Unlock()
		if removed {
			continue
		}
		switch status, _ := c.call(e, http.MethodPost, path, body); {
		case status >= 200 && status < 300:
			return true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			return false
		}
	}
	return false
}

// pause waits, and reports false if the case has to end.
func (c *system) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.done.Done():
		return false
	}
}

// build starts the surroundings and n entries, and waits until these take callers.
func (c *system) build(entries, runners int, cpu int64, queues ...queue) error {
	var err error
	if c.storeAddress, err = serve(loopback(2), c.store); err != nil {
		return err
	}
	if c.adviceAddress, err = serve(loopback(3), c.advice); err != nil {
		return err
	}
	c.configure(1, queues...)
	for i := range runners {
		if err := c.fleet.add(i, cpu); err != nil {
			return err
		}
	}
	go c.fleet.tick(c.done.Done())
	if err := c.addEntries(entries); err != nil {
		return err
	}
	for range 100 {
		ready := 0
		for _, e := range c.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == entries && c.owner() != nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the entries did not become ready")
}

// close ends all processes.
func (c *system) close() {
	for _, e := range c.entries {
		e.signal(syscall.SIGKILL, true)
		e.mu.Lock()
		ended := e.ended
		e.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
}

// cases are the cases by name. A case reports what broke the rule.
var cases = map[string]func(*system) (broken []string, err error){}

func runCase() (code int, err error) {
	if len(os.Args) != 4 {
		return 2, errors.New("usage: standin2 CASE PROGRAM RECORD")
	}
	play := cases[os.Args[1]]
	if play == nil {
		return 2, fmt.Errorf("no case %q", os.Args[1])
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		return 2, err
	}
	defer out.Close()
	dir := os.Getenv("KEEP")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			return 2, err
		}
		defer os.RemoveAll(dir)
	}
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(stopped, limit)
	defer cancel()
	r := &record{out: out, began: time.Now()}
	st := newStore()
	c := &system{
		dir: dir, program: os.Args[2], record: r, store: st, trouble: os.Getenv("TROUBLE") != "0", done: ctx,
		advice: &advice{record: r, callers: map[string]*sync.Mutex{}},
		fleet:  &fleet{store: st, record: r, crashes: map[string]int{}, noted: map[string]string{}},
	}
	defer c.close()
	broken, err := play(c)
	switch {
	case err != nil:
		return 2, err
	case ctx.Err() != nil:
		return 2, errors.New("the case took too long or was told to stop")
	}
	for _, b := range broken {
		r.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1, nil
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return 0, nil
}

func main() {
	code, err := runCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
	}
	os.Exit(code)
}
