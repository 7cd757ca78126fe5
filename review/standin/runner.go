package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a runner, as the pages set them for a small deployment.
const (
	stopTime  = 100 * time.Millisecond // at most stop_ms
	maxHold   = 10 * time.Second
	heartbeat = 1500 * time.Millisecond
	startup   = 500 * time.Millisecond // until a task that lasts is at work
)

// amount is a quantity of each resource.
type amount struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// runner is a stand-in of a runner. It has one service and one life.
type runner struct {
	id, service, zone, address string
	capacity                   amount
	labels                     []string
	started                    time.Time
	record                     *recorder
	store                      *store

	mu       sync.Mutex
	fence    int64
	running  map[string]*work
	highest  map[string]int64 // the highest run stopped or ended here
	finished [][]any
	number   int64
	ended    chan struct{}
	seq      int64
	// cut is set while the runner is cut off from all machines and from the store; down while
	// its process is down.
	cut, down bool
	listed    bool
	// ends tells how and after what time a run ends by itself; nil for workTime and "done".
	ends func(task string) (after time.Duration, how string)
	// late takes a start order that gets no answer and is carried out later; nil for none.
	late func(r *runner, o order) bool
	// conns holds the open channels.
	conns map[net.Conn]struct{}
}

// work is a task at work.
type work struct {
	run      int64
	began    time.Time
	duration time.Duration
	until    time.Time // the lease
	timer    *time.Timer
	stopping bool
	lasts    bool
}

func newRunner(id, service, zone string, capacity amount, rack string, s *store, rec *recorder) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, zone: zone, address: listener.Addr().String(), capacity: capacity,
		labels: []string{"a", rack}, started: time.Now(), record: rec, store: s,
		running: map[string]*work{}, highest: map[string]int64{}, ended: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	server := &http.Server{Handler: r, ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateNew {
			r.conns[c] = struct{}{}
		}
		if state == http.StateClosed || state == http.StateHijacked {
			delete(r.conns, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	go r.checkInAlways()
	return r, nil
}

// checkInAlways checks in each heartbeat, and plays the store's part: an entry is removed
// after three check-in intervals of silence.
func (r *runner) checkInAlways() {
	last := time.Now()
	for next := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		r.mu.Lock()
		silent := r.cut || r.down
		r.mu.Unlock()
		now := time.Now()
		switch {
		case !silent && !now.Before(next):
			r.checkIn()
			last, next, r.listed = now, now.Add(heartbeat), true
		case silent:
			next = now
			if r.listed && now.Sub(last) > 3*heartbeat {
				r.listed = false
				r.store.put("keyed.servers", r.id, nil)
				r.record.note("the store removes the entry of %s", r.id)
			}
		}
	}
}

// setCut cuts the runner off, or heals the cut. Nothing is reset: open channels are silent
// while the cut lasts.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.record.note("%s cut off: %v", r.id, cut)
}

// awaitHealed waits until the runner is not cut off. It reports whether the caller is
// still there.
func (r *runner) awaitHealed(req *http.Request) bool {
	for {
		r.mu.Lock()
		cut := r.cut
		r.mu.Unlock()
		if !cut {
			return req.Context().Err() == nil
		}
		select {
		case <-req.Context().Done():
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// crash ends the process of the runner for a time. All channels are reset. It comes back
// under its id and knows nothing of before. first, if any, is what reaches it first then.
func (r *runner) crash(down time.Duration, first func()) {
	r.mu.Lock()
	r.down = true
	for task, w := range r.running {
		w.timer.Stop()
		r.record.crashed(r.id, task, w.run)
	}
	r.running, r.highest, r.finished, r.number, r.fence, r.seq = map[string]*work{}, map[string]int64{}, nil, 0, 0, 0
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.mu.Unlock()
	r.record.note("%s crashes, for %s", r.id, down)
	time.Sleep(down)
	r.mu.Lock()
	r.started = time.Now()
	r.mu.Unlock()
	r.record.note("%s is up again, born %d", r.id, r.started.UnixMilli())
	if first != nil {
		first()
	}
	r.mu.Lock()
	r.down = false
	r.mu.Unlock()
}

func (r *runner) clock() int64 { return time.Since(r.started).Milliseconds() + 1 }

// checkIn writes the runner's report about itself to the store.
func (r *runner) checkIn() {
	r.mu.Lock()
	r.seq++
	body := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "config_version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": r.capacity, "labels": r.labels, "clock_ms": r.clock(), "seq": r.seq, "born": r.started.UnixMilli(),
	}
	r.mu.Unlock()
	data, _ := json.Marshal(body)
	r.store.put("keyed.servers", r.id, data)
}

// workTime is the time that a task takes, which the consumers of this test write into the
// text of a task as "ms=N".
func workTime(spec string) time.Duration {
	if _, after, ok := strings.Cut(spec, "ms="); ok {
		text, _, _ := strings.Cut(after, " ")
		if n, err := strconv.Atoi(text); err == nil {
			return time.Duration(n) * time.Millisecond
		}
	}
	return 300 * time.Millisecond
}

// order is the body of an order to a runner, or of a look at it.
type order struct {
	Task       string `json:"task"`
	DeadlineMS int64  `json:"deadline_ms"`
	Checkpoint string `json:"checkpoint"`
	WaitMS     int64  `json:"wait_ms"`

	RunID    int64
	TaskSpec string
	Fence    int64
	LastSeen int64
}

func readOrder(in io.Reader) (o order, err error) {
	data, err := io.ReadAll(in)
	if err != nil {
		return o, err
	}
	fields := map[string]json.RawMessage{}
	if err := errors.Join(json.Unmarshal(data, &o), json.Unmarshal(data, &fields)); err != nil {
		return o, err
	}
	for name, into := range map[string]any{wire.Run: &o.RunID, wire.Spec: &o.TaskSpec, wire.Token: &o.Fence, wire.Seen: &o.LastSeen} {
		if raw, ok := fields[name]; ok {
			err = errors.Join(err, json.Unmarshal(raw, into))
		}
	}
	return o, err
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/healthz" {
		w.WriteHeader(200)
		return
	}
	r.mu.Lock()
	down := r.down
	r.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler) // resets the channel
	}
	if !r.awaitHealed(req) {
		return
	}
	o, err := readOrder(req.Body)
	if err != nil {
		reply(w, 400, map[string]any{"clock_ms": r.clock()})
		return
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		reply(w, 421, map[string]any{"clock_ms": r.clock()})
		return
	}
	if req.URL.Path == wire.Start && r.late != nil && r.late(r, o) {
		<-req.Context().Done()
		return
	}
	if !r.passes(o.Fence) {
		reply(w, 409, map[string]any{"clock_ms": r.clock(), "reason": "fence"})
		return
	}
	switch req.URL.Path {
	case wire.Start:
		status, reason := r.start(&o)
		body := map[string]any{"clock_ms": r.clock(), "born": r.started.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	case wire.Stop:
		r.stop(o.Task, o.RunID)
		reply(w, 200, map[string]any{"clock_ms": r.clock(), "born": r.started.UnixMilli()})
	case wire.Hold:
		r.hold(w, req, &o)
	case wire.Pace:
		reply(w, 200, map[string]any{"clock_ms": r.clock(), "born": r.started.UnixMilli()})
	default:
		w.WriteHeader(404)
	}
}

// passes reports whether a fencing token is not lower than one that was seen, and keeps it.
func (r *runner) passes(token int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token < r.fence {
		return false
	}
	r.fence = token
	return true
}

func (r *runner) leaseUntil(deadline int64) time.Time {
	until := r.started.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		return latest
	}
	return until
}

func (r *runner) start(o *order) (status int, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renew(o.DeadlineMS)
	if w := r.running[o.Task]; w != nil && w.run == o.RunID && !w.stopping {
		return 200, ""
	}
	if w := r.running[o.Task]; w != nil || o.RunID <= r.highest[o.Task] {
		return 409, "old"
	}
	until := r.leaseUntil(o.DeadlineMS)
	if !until.After(time.Now()) {
		return 409, "late"
	}
	w := &work{run: o.RunID, began: time.Now(), duration: workTime(o.TaskSpec), until: until, lasts: strings.Contains(o.TaskSpec, "lasts")}
	r.running[o.Task] = w
	after, how := w.duration, "done"
	if w.lasts {
		after, how = time.Hour, "done"
	}
	if r.ends != nil {
		if a, h := r.ends(o.Task); a > 0 {
			after, how = a, h
		}
	}
	w.timer = time.AfterFunc(after, func() { r.end(o.Task, o.RunID, how) })
	go r.watchLease(o.Task, w)
	r.record.begun(r.id, o.Task, o.RunID)
	return 200, ""
}

// watchLease ends a task when its lease expires.
func (r *runner) watchLease(task string, w *work) {
	for {
		r.mu.Lock()
		left, here := time.Until(w.until), r.running[task] == w
		r.mu.Unlock()
		if !here {
			return
		}
		if left <= 0 {
			r.end(task, w.run, "lapsed")
			return
		}
		time.Sleep(left)
	}
}

// renew extends the lease of everything that runs. The caller holds the lock.
func (r *runner) renew(deadline int64) {
	if deadline <= 0 {
		return
	}
	until := r.leaseUntil(deadline)
	for _, w := range r.running {
		if until.After(w.until) {
			w.until = until
		}
	}
}

func (r *runner) stop(task string, run int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highest[task] = max(r.highest[task], run)
	if w := r.running[task]; w != nil && w.run == run && !w.stopping {
		w.stopping = true
		w.timer.Stop()
		time.AfterFunc(stopTime, func() { r.end(task, run, "stopped") })
	}
}

func (r *runner) end(task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.running[task]
	if w == nil || w.run != run {
		return
	}
	w.timer.Stop()
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], run)
	r.number++
	r.finished = append(r.finished, []any{r.number, task, run, how, ""})
	close(r.ended)
	r.ended = make(chan struct{})
	r.record.ended(r.id, task, run, how)
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request, o *order) {
	r.mu.Lock()
	r.renew(o.DeadlineMS)
	for len(r.finished) > 0 && r.finished[0][0].(int64) <= o.LastSeen {
		r.finished = r.finished[1:]
	}
	wait, ended := len(r.finished) == 0 && o.WaitMS > 0, r.ended
	r.mu.Unlock()
	if wait {
		select {
		case <-ended:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
	}
	if !r.awaitHealed(req) {
		return
	}
	r.mu.Lock()
	running := make([][]any, 0, len(r.running))
	for task, x := range r.running {
		percent := min(99, int(100*time.Since(x.began)/max(1, x.duration)))
		if x.lasts && time.Since(x.began) > startup {
			percent = 100
		}
		running = append(running, []any{task, x.run, "", percent, 0})
	}
	body := map[string]any{
		"clock_ms": r.clock(), "born": r.started.UnixMilli(), "running": running,
		"finished": r.finished[:min(500, len(r.finished))],
	}
	data, err := json.Marshal(body)
	r.mu.Unlock()
	if err != nil {
		fmt.Println(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
