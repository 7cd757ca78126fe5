package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirerail/samphirerail/internal/transport/platformclient"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// contactLog is a devplatform.Log that notes when the service last answered.
type contactLog struct {
	devplatform.Log
	start time.Time
	last  atomic.Int64
}

func newContactLog(log devplatform.Log) *contactLog {
	return &contactLog{Log: log, start: time.Now()}
}

// Append implements devplatform.Log.
func (l *contactLog) Append(ctx context.Context, req devplatform.AppendRequest) (int64, error) {
	offset, err := l.Log.Append(ctx, req)
	l.note(err)
	return offset, err
}

// Read implements devplatform.Log.
func (l *contactLog) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	reply, err := l.Log.Read(ctx, req)
	l.note(err)
	return reply, err
}

func (l *contactLog) note(err error) {
	if err == nil {
		l.last.Store(int64(time.Since(l.start)))
	}
}

// silentFor returns the time since the service last answered.
func (l *contactLog) silentFor() time.Duration {
	return time.Since(l.start) - time.Duration(l.last.Load())
}

// contactVMs is a devplatform.VMList that notes when its last successful read began.
type contactVMs struct {
	devplatform.VMList
	last atomic.Pointer[time.Time]
}

// List implements devplatform.VMList.
func (l *contactVMs) List(ctx context.Context, req devplatform.ListRequest) (devplatform.VMListReply, error) {
	begin := time.Now()
	reply, err := l.VMList.List(ctx, req)
	if err == nil {
		l.last.Store(&begin)
	}
	return reply, err
}

// lastRead returns when the last successful read began; zero before the first.
func (l *contactVMs) lastRead() time.Time {
	if t := l.last.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// workerPool keeps one client per worker address, so that all links of this
// process to a worker share one connection budget.
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
