package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// beat is heartbeat_ms, stopTime stop_ms and maxHold max_hold_ms of the example settings.
	beat     = 1500 * time.Millisecond
	stopTime = 200 * time.Millisecond
	maxHold  = 10 * time.Second
)

// taskSpec is the payload of the tasks: how long one runs, and after what time it crashes its runner.
type taskSpec struct {
	RunMS   int64 `json:"run_ms"`
	CrashMS int64 `json:"crash_ms,omitempty"`
	CPU     int64 `json:"cpu"`
}

// fleet is the set of runners, with what is known of their runs.
type fleet struct {
	mu      sync.Mutex
	store   *store
	record  *record
	runners []*runner
	// outage is how long a runner is away after a crash.
	outage time.Duration
	// onStart is called, with the lock held, when a run begins.
	onStart func(task string, run int64)
	crashes map[string]int
	// late chooses the start that gets no answer and is carried out in the next life of its runner.
	late func(r *runner, task string) bool
	// noted holds the tasks of which a "done" was taken note of.
	noted map[string]string
}

// lateStart is a start that its runner carries out later.
type lateStart struct {
	command
}

// runner is a stand-in of a runner. A crash ends its process: connections close, and it holds and
// knows nothing of before.
type runner struct {
	fleet    *fleet
	id       string
	address  string
	index    int
	cpu      int64
	born     time.Time
	downTill time.Time
	server   *http.Server
	fence    int64
	leaseEnd int64
	runs     map[string]*run
	revoked  map[string]int64
	ends     []end
	lastEnd  int64
	seq      int64
	changed  chan struct{}
	// keepsID says that the next life has the same ID; held is the start that it carries out.
	keepsID bool
	held    *lateStart
}

type run struct {
	number int64
	spec   taskSpec
	began  time.Time
	stopAt time.Time
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

func (f *fleet) add(i int, cpu int64) error {
	r := &runner{fleet: f, index: i, id: fmt.Sprintf("i-%04d-0", i), cpu: cpu, born: time.Now(), runs: map[string]*run{}, revoked: map[string]int64{}, changed: make(chan struct{})}
	if err := r.listen(loopback(100+i) + ":0"); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = append(f.runners, r)
	r.register()
	return nil
}

func (r *runner) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server) // ends when the server is closed
	return nil
}

// register writes the runner's registration. The lock is held.
func (r *runner) register() {
	r.seq++
	r.fleet.store.put("keyed.servers", r.id, map[string]any{
		"service": "pool", "address": r.address, "zone": fmt.Sprintf("z%d", r.index%3), "config_version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": r.seq, "born": r.born.UnixMilli(), "clock_ms": r.clock(), "labels": []string{"a", fmt.Sprintf("r%d", r.index/4)}, "machine": fmt.Sprintf("m-%04d", r.index),
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": 65536, "gpu": 0},
	})
}

// tick advances all runners until the context of the case ends.
func (f *fleet) tick(done <-chan struct{}) {
	next := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		f.mu.Lock()
		due := time.Now().After(next)
		for _, r := range f.runners {
			switch {
			case !r.downTill.IsZero() && time.Now().After(r.downTill):
				r.begin()
			case r.downTill.IsZero():
				r.advance()
				if due {
					r.register()
				}
			}
		}
		if due {
			next = next.Add(beat)
		}
		f.mu.Unlock()
	}
}

// clock is the runner's steady clock in milliseconds since its start.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// advance ends the runs that are over. The lock is held.
func (r *runner) advance() {
	for task, x := range r.runs {
		age := time.Since(x.began)
		switch {
		case x.spec.CrashMS > 0 && age >= time.Duration(x.spec.CrashMS)*time.Millisecond:
			r.crash(task)
			return
		case r.clock() > r.leaseEnd:
			r.endRun(task, "lapsed")
		case !x.stopAt.IsZero() && time.Now().After(x.stopAt):
			r.endRun(task, "stopped")
		case x.spec.CrashMS == 0 && age >= time.Duration(x.spec.RunMS)*time.Millisecond:
			r.endRun(task, "done")
		}
	}
}

func (r *runner) endRun(task, how string) {
	x := r.runs[task]
	delete(r.runs, task)
	r.revoked[task] = max(r.revoked[task], x.number)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, task, x.number, how})
	r.fleet.record.note("runner %s: run %d of %s ends: %s", r.id, x.number, task, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// crash ends the runner's process under a task, or under none. The lock is held.
func (r *runner) crash(task string) {
	for other := range r.runs {
		r.fleet.crashes[other]++
	}
	if task == "" {
		r.fleet.record.note("runner %s crashes", r.id)
	} else {
		r.fleet.record.note("runner %s crashes under %s (%d crashes under it)", r.id, task, r.fleet.crashes[task])
	}
	r.runs, r.revoked, r.ends, r.lastEnd, r.fence, r.leaseEnd = map[string]*run{}, map[string]int64{}, nil, 0, 0, 0
	r.downTill = time.Now().Add(r.fleet.outage)
	_ = r.server.Close() // its listener and connections; an error has no consequence
	id := r.id
	time.AfterFunc(3*beat, func() { // three check-in intervals of silence
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		if r.id == id && !r.downTill.IsZero() || r.id != id {
			r.fleet.store.put("keyed.servers", id, nil)
		}
	})
}

// begin begins the next life of a runner at its address, as another one. The lock is held.
func (r *runner) begin() {
	if err := r.listen(r.address); err != nil {
		return // the port is not free yet; tried again with the next tick
	}
	var n int
	life := r.id[strings.LastIndexByte(r.id, '-')+1:]
	if _, err := fmt.Sscan(life, &n); err != nil {
		panic(err)
	}
	r.downTill, r.born, r.seq = time.Time{}, time.Now(), 0
	if !r.keepsID {
		r.id = fmt.Sprintf("i-%04d-%d", r.index, n+1)
	}
	r.fleet.record.note("runner %s is up", r.id)
	if held := r.held; held != nil {
		r.held = nil
		r.fleet.record.note("runner %s carries out the late start of run %d of %s", r.id, held.RunID, held.Task)
		r.start(&held.command)
	}
	r.register()
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c, err := readCommand(req.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.URL.Path == wire.Hold {
		r.serveHold(w, req, &c)
		return
	}
	r.fleet.mu.Lock()
	if f := r.fleet; req.URL.Path == wire.Start && r.downTill.IsZero() && f.late != nil && f.late(r, c.Task) {
		r.held = &lateStart{c}
		f.record.note("runner %s: the start of run %d of %s gets no answer", r.id, c.RunID, c.Task)
		f.mu.Unlock()
		<-req.Context().Done()
		return
	}
	defer r.fleet.mu.Unlock()
	r.advance()
	refusal := ""
	switch {
	case !r.downTill.IsZero():
		panic(http.ErrAbortHandler)
	case req.Header.Get("X-Target-Instance") != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case c.FencingToken < r.fence:
		refusal = "fence"
	case req.URL.Path == wire.Start:
		refusal = r.start(&c)
	case req.URL.Path == wire.Stop:
		r.fence = c.FencingToken
		r.revoked[c.Task] = max(r.revoked[c.Task], c.RunID)
		if x := r.runs[c.Task]; x != nil && x.number == c.RunID && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
			r.fleet.record.note("runner %s: run %d of %s is told to stop", r.id, c.RunID, c.Task)
		}
	}
	if refusal != "" {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(), "reason": refusal, "born": r.born.UnixMilli()})
		return
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli()})
}

// start executes a start. It returns the reason of a refusal, or "". The lock is held.
func (r *runner) start(c *command) string {
	r.fence = c.FencingToken
	if c.DeadlineMS < r.clock() {
		return "late"
	}
	r.renew(c.DeadlineMS)
	if x := r.runs[c.Task]; x != nil && x.number == c.RunID {
		return ""
	}
	if r.runs[c.Task] != nil || c.RunID <= r.revoked[c.Task] {
		return "old"
	}
	x := &run{number: c.RunID, began: time.Now()}
	if err := json.Unmarshal([]byte(c.TaskSpec), &x.spec); err != nil {
		panic(err)
	}
	r.runs[c.Task] = x
	r.fleet.record.note("runner %s: run %d of %s begins (epoch %d)", r.id, c.RunID, c.Task, c.FencingToken)
	if r.fleet.onStart != nil {
		r.fleet.onStart(c.Task, c.RunID)
	}
	return ""
}

// renew prolongs the lease. The lock is held.
func (r *runner) renew(deadline int64) {
	r.leaseEnd = max(r.leaseEnd, min(deadline, r.clock()+maxHold.Milliseconds()))
}

func (r *runner) serveHold(w http.ResponseWriter, req *http.Request, c *command) {
	until := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond)
	for first := true; ; first = false {
		r.fleet.mu.Lock()
		if r.downTill.IsZero() {
			r.advance()
		}
		switch {
		case !r.downTill.IsZero():
			r.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		case req.Header.Get("X-Target-Instance") != r.id:
			r.fleet.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		case c.FencingToken < r.fence:
			clock, born := r.clock(), r.born.UnixMilli()
			r.fleet.mu.Unlock()
			reply(w, http.StatusConflict, map[string]any{"clock_ms": clock, "born": born, "reason": "fence"})
			return
		}
		if first {
			r.fence = c.FencingToken
			r.renew(c.DeadlineMS)
			for len(r.ends) > 0 && r.ends[0].number <= c.LastSeen {
				if e := r.ends[0]; e.how == "done" {
					r.fleet.noted[e.task] = r.id
					r.fleet.record.note("runner %s: the end of run %d of %s is taken note of", r.id, e.run, e.task)
				}
				r.ends = r.ends[1:]
			}
		}
		if len(r.ends) > 0 || !time.Now().Before(until) {
			body := r.list()
			r.fleet.mu.Unlock()
			reply(w, http.StatusOK, body)
			return
		}
		changed := r.changed
		r.fleet.mu.Unlock()
		select {
		case <-req.Context().Done():
			return
		case <-changed:
		case <-time.After(time.Until(until)):
		}
	}
}

// list returns both lists of the runner. The lock is held.
func (r *runner) list() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for task, x := range r.runs {
		percent := int64(0)
		if x.spec.RunMS > 0 {
			percent = min(100, 100*time.Since(x.began).Milliseconds()/x.spec.RunMS)
		}
		running = append(running, []any{task, x.number, "", percent, x.spec.CPU})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "finished": finished}
}

// running returns how many runs of a job there are, and the processor use of all runs.
func (f *fleet) running(job string) (n int, used int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		for task, x := range r.runs {
			used += x.spec.CPU
			if strings.HasPrefix(task, job+".") {
				n++
			}
		}
	}
	return n, used
}
