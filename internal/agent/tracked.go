package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirerail/samphirerail/internal/transport/platformclient"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// trackedLog is a devplatform.Log that records when the log service last responded
// successfully.
type trackedLog struct {
	devplatform.Log
	start time.Time
	// lastResponse is when the last successful call returned, in nanoseconds of the
	// monotonic clock since start; 0 before the first.
	lastResponse atomic.Int64
}

func newTrackedLog(log devplatform.Log) *trackedLog {
	return &trackedLog{Log: log, start: time.Now()}
}

// Append implements devplatform.Log.
func (l *trackedLog) Append(ctx context.Context, req devplatform.AppendRequest) (int64, error) {
	offset, err := l.Log.Append(ctx, req)
	l.recordResponse(err)
	return offset, err
}

// Read implements devplatform.Log.
func (l *trackedLog) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	reply, err := l.Log.Read(ctx, req)
	l.recordResponse(err)
	return reply, err
}

func (l *trackedLog) recordResponse(err error) {
	if err == nil {
		l.lastResponse.Store(int64(time.Since(l.start)))
	}
}

// sinceLastResponse returns the time since the log service last responded
// successfully, or since l was created if it never did.
func (l *trackedLog) sinceLastResponse() time.Duration {
	return time.Since(l.start) - time.Duration(l.lastResponse.Load())
}

// trackedVMList is a devplatform.VMList that records when its last successful List
// call began.
type trackedVMList struct {
	devplatform.VMList
	lastListStart atomic.Pointer[time.Time]
}

// List implements devplatform.VMList.
func (l *trackedVMList) List(ctx context.Context, req devplatform.ListRequest) (devplatform.VMListReply, error) {
	begin := time.Now()
	reply, err := l.VMList.List(ctx, req)
	if err == nil {
		l.lastListStart.Store(&begin)
	}
	return reply, err
}

// lastRead returns the start time of the last successful List call, or the zero time
// before the first.
func (l *trackedVMList) lastRead() time.Time {
	if t := l.lastListStart.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// workerPool keeps one client per worker address, so that all connections of this
// process to a worker share one connection limit.
type workerPool struct {
	options platformclient.Options
	mu      sync.Mutex
	clients map[string]devplatform.Worker
}

func newWorkerPool(options platformclient.Options) *workerPool {
	return &workerPool{options: options, clients: map[string]devplatform.Worker{}}
}

func (p *workerPool) dial(address string) devplatform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[address]
	if !ok {
		client = platformclient.NewWorker(address, p.options)
		p.clients[address] = client
	}
	return client
}
