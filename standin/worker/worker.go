// Package worker is a stand-in for the runner of an upstream VM. It follows the protocol
// of devplatform.Worker and simulates its tasks. It does not enforce its capacity but
// records violations, so that a test can check the decisions of the scheduler.
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

// defaultRecordTime is the time for which the record of an ended task is kept by default.
const defaultRecordTime = 10 * time.Minute

// Config describes a worker.
type Config struct {
	// VMID is required.
	VMID string
	// Incarnation is the first incarnation; if empty, it is random. Later incarnations
	// append the number of restarts to it.
	Incarnation string
	Region      string
	Domain      string
	Rack        string
	Service     string
	Capacity    devplatform.Capacity
	// RecordTime is the time for which the record of an ended or refused task is kept; 0
	// means 10 minutes.
	RecordTime time.Duration
	// UsageLag is the time from the start of a task until its usage is reported.
	UsageLag time.Duration
	// HistoryLimit is the maximum number of runs in History; 0 means no limit.
	HistoryLimit int
}

// Worker is one worker. All methods are safe for concurrent use. It must be closed when it
// is no longer needed.
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
	lastContact    devplatform.WorkerClock
	tasks          map[string]*task
	running        map[string]*task
	// ended holds the IDs of ended and refused tasks, in the order in which they ended.
	ended        []string
	events       []devplatform.TaskEvent
	lastSequence int64
	// changed is closed and replaced when waiting Sync calls have to check again.
	changed chan struct{}
	// restarted is closed and replaced at a restart.
	restarted chan struct{}
	timer     *time.Timer
	journal   journal
}

// New returns a worker without tasks.
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
		changed: make(chan struct{}),
		journal: journal{limit: config.HistoryLimit},
	}
	w.boot()
	w.timer = time.AfterFunc(time.Hour, w.onTimer)
	w.timer.Stop()
	w.routes()
	return w
}

// Close stops the timer of the worker. The ends of running tasks are no longer recorded.
func (w *Worker) Close() { w.timer.Stop() }

// ServeHTTP serves the platform protocol, the fault switches and the history.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// Gate returns the gate that applies the fault switches.
func (w *Worker) Gate() *faults.Gate { return w.gate }

// Row returns the row of the worker for the platform's VM list, with the given address.
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

// route serves a call of the platform protocol through the gate.
func (w *Worker) route(path string, call http.Handler) {
	w.mux.Handle("POST "+path, w.gate.Wrap(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.checkConnections()
		ctx := context.WithValue(r.Context(), traceParentKey{}, r.Header.Get("Traceparent"))
		call.ServeHTTP(rw, r.WithContext(ctx))
	})))
}

// boot resets the state for a new incarnation.
func (w *Worker) boot() {
	w.incarnation = w.config.Incarnation
	if w.restarts > 0 {
		w.incarnation = fmt.Sprintf("%s.%d", w.config.Incarnation, w.restarts)
	}
	w.startedAt = time.Now()
	w.leaseUntil = 0
	w.epoch = devplatform.Epoch{}
	w.lastContact = 0
	w.tasks = map[string]*task{}
	w.running = map[string]*task{}
	w.ended = nil
	w.events = nil
	w.lastSequence = 0
	w.restarted = make(chan struct{})
}

// restart loses all tasks and starts a new incarnation. The caller must hold mu.
func (w *Worker) restart() {
	w.advance()
	now := w.clock()
	for _, t := range w.running {
		w.journal.finish(t.run, endLost, w.unixNano(now))
	}
	close(w.restarted)
	w.restarts++
	w.boot()
	w.notifyWaiters()
}

// notifyWaiters makes waiting Sync calls check again. The caller must hold mu.
func (w *Worker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}
