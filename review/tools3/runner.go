//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the runners in the sheets of the small sites.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHoldMS   = 10000
	stopTime    = 200 * time.Millisecond
	endsPerCall = 500
)

// spec is the task_spec of the cases: how long a task works, and its part of the room.
type spec struct {
	MS   int64 `json:"ms"`
	CPU  int64 `json:"cpu"`
	Fail bool  `json:"fail,omitempty"`
}

// fleet holds the runners, and what all of them have seen of each task.
type fleet struct {
	b     *bench
	store *store
	all   []*runner

	mu sync.Mutex
	// starts counts the runs of each task, done holds the tasks of which a run ended done that was
	// taken note of.
	starts map[string]int
	done   map[string]time.Time
	// onStart is called for each start with the fleet locked.
	onStart func(r *runner, task string, run int64, sp spec)
}

// runner plays one runner.
type runner struct {
	f           *fleet
	id, service string
	zone        string
	labels      []string
	cpu, mem    int64
	address     string
	server      *http.Server

	// The following belong to f.mu.
	born     time.Time
	seq      int64
	token    int64
	lease    int64 // milliseconds on the clock of the runner
	running  map[string]*task
	ended    []endedTask
	ends     int64
	refused  map[string]int64 // the newest run that was stopped or has ended
	changed  chan struct{}
	down     bool
	draining bool
	// withhold is asked for each call; if it returns true, the call is not carried out and gets no answer.
	withhold func(path string, o *order) bool
	life     int
}

type task struct {
	run   int64
	spec  spec
	began time.Time
	stop  time.Time
}

type endedTask struct {
	n    int64
	task string
	run  int64
	how  string
}

func newFleet(b *bench, s *store) *fleet {
	return &fleet{b: b, store: s, starts: map[string]int{}, done: map[string]time.Time{}}
}

// add starts a runner.
func (f *fleet) add(id, service, zone string, cpu, mem int64, labels ...string) (*runner, error) {
	r := &runner{f: f, id: id, service: service, zone: zone, labels: labels, cpu: cpu, mem: mem}
	r.begin()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = l.Addr().String()
	r.serve(l)
	f.all = append(f.all, r)
	go func() {
		for {
			f.mu.Lock()
			r.register()
			f.mu.Unlock()
			time.Sleep(heartbeat)
		}
	}()
	return r, nil
}

func (r *runner) serve(l net.Listener) {
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	r.server = server
	r.f.b.servers = append(r.f.b.servers, server)
	go func() { _ = server.Serve(l) }()
}

// crash ends what runs and closes all channels.
func (r *runner) crash() {
	r.f.mu.Lock()
	r.down = true
	r.running, r.ended = map[string]*task{}, nil
	r.f.mu.Unlock()
	_ = r.server.Close()
}

// restart starts the runner again under its id and address. first is called before any other call is served.
func (r *runner) restart(first func()) error {
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.f.mu.Lock()
	r.begin()
	r.down = false
	r.f.mu.Unlock()
	first()
	r.f.mu.Lock()
	r.register()
	r.f.mu.Unlock()
	r.serve(l)
	return nil
}

// begin begins a life, which knows nothing of the one before.
func (r *runner) begin() {
	r.life++
	r.born, r.seq, r.token, r.lease, r.ends = time.Now(), 0, 0, 0, 0
	r.running, r.refused, r.ended = map[string]*task{}, map[string]int64{}, nil
	r.changed = make(chan struct{})
}

// register writes the entry of the runner; the fleet is locked.
func (r *runner) register() {
	if r.down {
		return
	}
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "config_version": "1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": r.seq,
		"born": r.born.UnixMilli(), "capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": r.labels, "machine": "m-" + r.id,
	})
	if err == nil {
		r.f.store.Put("keyed.servers", r.id, value)
	}
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// end lists the end of a task; the fleet is locked.
func (r *runner) end(name, how string) {
	t := r.running[name]
	delete(r.running, name)
	r.refused[name] = max(r.refused[name], t.run)
	r.ends++
	r.ended = append(r.ended, endedTask{r.ends, name, t.run, how})
	close(r.changed)
	r.changed = make(chan struct{})
}

// advance ends what has ended; the fleet is locked.
func (r *runner) advance() {
	for name, t := range r.running {
		switch {
		case r.lease > 0 && r.clock() > r.lease:
			r.end(name, "lapsed")
		case !t.stop.IsZero() && time.Now().After(t.stop):
			r.end(name, "stopped")
		case t.spec.MS >= 0 && time.Since(t.began) >= time.Duration(t.spec.MS)*time.Millisecond:
			if t.spec.Fail {
				r.end(name, "failed")
			} else {
				r.end(name, "done")
			}
		}
	}
}

// ServeHTTP serves the calls to the runner.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	o, err := readOrder(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.f.mu.Lock()
	life := r.life
	if r.down {
		r.f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	withheld := r.withhold != nil && r.withhold(req.URL.Path, &o)
	r.f.mu.Unlock()
	if want := req.Header.Get("X-Target-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if withheld {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if req.URL.Path == wire.Hold && o.WaitMS > 0 {
		r.awaitEnd(req, time.Duration(min(o.WaitMS, 2000))*time.Millisecond, &o)
	}
	status, reply, ok := r.carryOut(req.URL.Path, &o, life)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, reply)
}

// awaitEnd waits until the runner lists an end that is not taken note of. The lease counts from the call.
func (r *runner) awaitEnd(req *http.Request, wait time.Duration, o *order) {
	until := time.Now().Add(wait)
	r.f.mu.Lock()
	if o.FencingToken >= r.token {
		r.token = o.FencingToken
		r.prolong(o.DeadlineMS)
		r.note(o.LastSeen)
	}
	r.f.mu.Unlock()
	for time.Now().Before(until) {
		r.f.mu.Lock()
		r.advance()
		n, changed := len(r.ended), r.changed
		r.f.mu.Unlock()
		if n > 0 {
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (r *runner) prolong(deadline int64) {
	r.lease = max(r.lease, min(deadline, r.clock()+maxHoldMS))
}

// note takes note of ends.
func (r *runner) note(lastSeen int64) {
	kept := r.ended[:0]
	for _, e := range r.ended {
		if e.n > lastSeen {
			kept = append(kept, e)
		} else if e.how == "done" {
			if _, ok := r.f.done[e.task]; !ok {
				r.f.done[e.task] = time.Now()
			}
		}
	}
	r.ended = kept
}

// carryOut carries a call out. It returns false if the life it was sent to has ended.
func (r *runner) carryOut(path string, o *order, life int) (int, map[string]any, bool) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if r.down || life != r.life {
		return 0, nil, false
	}
	r.advance()
	refuse := func(reason string) (int, map[string]any, bool) {
		return http.StatusConflict, map[string]any{"clock_ms": r.clock(), "reason": reason}, true
	}
	if o.FencingToken < r.token {
		return refuse("fence")
	}
	r.token = o.FencingToken
	switch path {
	case wire.Start:
		if o.DeadlineMS < r.clock() {
			return refuse("late")
		}
		r.prolong(o.DeadlineMS)
		t := r.running[o.Task]
		if t != nil && t.run == o.RunID {
			break
		}
		if t != nil || o.RunID <= r.refused[o.Task] {
			return refuse("old")
		}
		var sp spec
		_ = json.Unmarshal([]byte(o.TaskSpec), &sp)
		r.running[o.Task] = &task{run: o.RunID, spec: sp, began: time.Now()}
		r.f.starts[o.Task]++
		if r.f.onStart != nil {
			r.f.onStart(r, o.Task, o.RunID, sp)
		}
	case wire.Stop:
		r.refused[o.Task] = max(r.refused[o.Task], o.RunID)
		if t := r.running[o.Task]; t != nil && t.run == o.RunID && t.stop.IsZero() {
			t.stop = time.Now().Add(stopTime)
		}
	case wire.Hold:
		r.prolong(o.DeadlineMS)
		r.note(o.LastSeen)
		return http.StatusOK, r.list(), true
	case "/-/pace":
	default:
		return http.StatusNotFound, nil, true
	}
	return http.StatusOK, map[string]any{"clock_ms": r.clock()}, true
}

func (r *runner) list() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for name, t := range r.running {
		percent := int64(100)
		if t.spec.MS > 0 {
			percent = min(99, time.Since(t.began).Milliseconds()*100/t.spec.MS)
		}
		running = append(running, []any{name, t.run, "", percent, t.spec.CPU})
	}
	for _, e := range r.ended[:min(len(r.ended), endsPerCall)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "finished": finished}
}

// runsOf returns how many runs of a job are at work.
func (f *fleet) runsOf(job string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.all {
		r.advance()
		for name := range r.running {
			if strings.HasPrefix(name, job+".") {
				n++
			}
		}
	}
	return n
}

// startsOf returns how many runs of a job were started.
func (f *fleet) startsOf(job string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, starts := range f.starts {
		if strings.HasPrefix(name, job+".") {
			n += starts
		}
	}
	return n
}

// addPool adds n runners of a service, four a rack, in three zones.
func (f *fleet) addPool(n int, service string, cpu int64) error {
	for i := range n {
		if _, err := f.add(fmt.Sprintf("%s-%03d", service, i), service, fmt.Sprintf("z%d", i%3), cpu, 65536, "a", "r"+strconv.Itoa(i/4)); err != nil {
			return err
		}
	}
	return nil
}

// jobBody is the body of a job of one step.
func jobBody(sp spec, count int, more map[string]any) []byte {
	text, _ := json.Marshal(sp)
	step := map[string]any{"count": count, "cpu": sp.CPU, "mem_mb": 64, "estimate_ms": max(sp.MS, 0)}
	if sp.MS < 0 {
		step["long_running"] = true
	}
	job := map[string]any{wire.Spec: string(text), "steps": []map[string]any{step}}
	for k, v := range more {
		job[k] = v
	}
	body, _ := json.Marshal(job)
	return body
}
