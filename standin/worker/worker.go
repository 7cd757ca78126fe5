// Package worker is a stand-in for the runner of an upstream VM. It obeys the
// protocol of devplatform.Worker and simulates its tasks. It does not enforce its
// capacity: it records what exceeds it, so that a test can judge the scheduler.
package worker

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/internal/wire"
)

// defaultRecordTime is how long a worker keeps the record of an ended task.
const defaultRecordTime = 10 * time.Minute

// Config describes a worker.
type Config struct {
	// VMID is required.
	VMID string
	// Incarnation is that of the first start; a random one when empty. Each
	// restart appends a number.
	Incarnation string
	Region      string
	Domain      string
	Rack        string
	Service     string
	Capacity    devplatform.Capacity
	// RecordTime is how long the record of an ended or refused task is kept;
	// 10 minutes when 0.
	RecordTime time.Duration
	// UsageLag is how late the usage of a task is reported.
	UsageLag time.Duration
	// HistoryLimit is the most runs that History keeps; 0 means all.
	HistoryLimit int
}

// Worker is one worker. All methods are safe for concurrent use. Close it when
// it is not needed any more.
type Worker struct {
	config Config
	gate   *faults.Gate
	mux    *http.ServeMux

	mu     sync.Mutex
	faults Faults
	// leavingChanges counts the changes of Faults.Leaving.
	leavingChanges int
	restarts       int
	incarnation    string
	startedAt      time.Time
	leaseUntil     devplatform.WorkerClock
	epoch          devplatform.Epoch
	contactAt      devplatform.WorkerClock
	tasks          map[string]*task
	running        map[string]*task
	// ended holds the IDs of ended and refused tasks, oldest first.
	ended        []string
	events       []devplatform.TaskEvent
	lastSequence int64
	// news is closed and replaced when a held Sync has to look again.
	news chan struct{}
	// lost is closed at a restart.
	lost    chan struct{}
	timer   *time.Timer
	journal journal
}

// New returns a worker that runs nothing.
func New(config Config) *Worker {
	if config.RecordTime == 0 {
		config.RecordTime = defaultRecordTime
	}
	if config.Incarnation == "" {
		config.Incarnation = rand.Text()
	}
	w := &Worker{
		config:  config,
		gate:    faults.NewGate(devplatform.PathStart),
		mux:     http.NewServeMux(),
		news:    make(chan struct{}),
		journal: journal{limit: config.HistoryLimit},
	}
	w.boot()
	w.timer = time.AfterFunc(time.Hour, w.onTimer)
	w.timer.Stop()
	w.routes()
	return w
}

// Close stops the timer of the worker. Its tasks end without a record.
func (w *Worker) Close() { w.timer.Stop() }

// ServeHTTP serves the port, the switches and the history.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// Gate returns the gate of the worker.
func (w *Worker) Gate() *faults.Gate { return w.gate }

// Row returns the worker's row in the platform's VM list.
func (w *Worker) Row(address string) devplatform.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	row := devplatform.VM{
		ID: w.config.VMID, Incarnation: w.incarnation, Role: devplatform.RoleUpstream, State: devplatform.VMLive,
		Region: w.config.Region, Domain: w.config.Domain, Rack: w.config.Rack, Service: w.config.Service,
		Address: address, Capacity: w.config.Capacity,
	}
	if w.faults.Leaving {
		row.State = devplatform.VMLeaving
	}
	return row
}

func (w *Worker) routes() {
	w.route(devplatform.PathFence, wire.Handle(w.Fence))
	w.route(devplatform.PathStart, wire.Handle(w.Start))
	w.route(devplatform.PathSync, wire.Handle(w.Sync))
	w.route(devplatform.PathControl, wire.Handle(w.Control))
	w.route(devplatform.PathInspect, wire.Handle(w.Inspect))
	w.mux.HandleFunc("GET "+HistoryPath, func(rw http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(rw, http.StatusOK, w.History())
	})
	faults.Register(w.mux, w.Faults, w.SetFaults)
}

// route serves a call of the port behind the gate.
func (w *Worker) route(path string, call http.Handler) {
	w.mux.Handle("POST "+path, w.gate.Wrap(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.checkConnections()
		ctx := context.WithValue(r.Context(), traceParentKey{}, r.Header.Get("Traceparent"))
		call.ServeHTTP(rw, r.WithContext(ctx))
	})))
}

// boot starts an incarnation that knows of nothing.
func (w *Worker) boot() {
	w.incarnation = w.config.Incarnation
	if w.restarts > 0 {
		w.incarnation = fmt.Sprintf("%s.%d", w.config.Incarnation, w.restarts)
	}
	w.startedAt = time.Now()
	w.leaseUntil = 0
	w.epoch = devplatform.Epoch{}
	w.contactAt = 0
	w.tasks = map[string]*task{}
	w.running = map[string]*task{}
	w.ended = nil
	w.events = nil
	w.lastSequence = 0
	w.lost = make(chan struct{})
}

// restart loses all tasks and begins a new incarnation.
func (w *Worker) restart() {
	w.advance()
	now := w.clock()
	for _, t := range w.running {
		w.journal.end(t.run, endLost, w.wall(now))
	}
	close(w.lost)
	w.restarts++
	w.boot()
	w.wake()
}

// wake makes held Syncs look again.
func (w *Worker) wake() {
	close(w.news)
	w.news = make(chan struct{})
}
