package configlog

import (
	"context"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// fakeLog is a log stream in memory with switches to fail.
type fakeLog struct {
	mu      sync.Mutex
	records []devplatform.StoredRecord
	tail    int64
	grown   chan struct{}
	// loseAnswers is how many appends take effect without an answer.
	loseAnswers int
	// twice stores every append two times.
	twice   bool
	appends int
}

func newFakeLog() *fakeLog { return &fakeLog{grown: make(chan struct{})} }

func (l *fakeLog) store(record devplatform.Record) int64 {
	offset := l.tail
	l.records = append(l.records, devplatform.StoredRecord{Offset: offset, Record: record})
	l.tail++
	close(l.grown)
	l.grown = make(chan struct{})
	return offset
}

func (l *fakeLog) append(req devplatform.AppendRequest) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if len(req.Record.Data) > devplatform.MaxRecordBytes {
		return 0, devplatform.ErrTooLarge
	}
	if req.ExpectedOffset != nil && *req.ExpectedOffset != l.tail {
		return 0, devplatform.ErrOffsetMismatch
	}
	offset := l.store(req.Record)
	if l.twice {
		l.store(req.Record)
	}
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, devplatform.ErrUnavailable
	}
	return offset, nil
}

// forget drops the records below an offset.
func (l *fakeLog) forget(below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && l.records[0].Offset < below {
		l.records = l.records[1:]
	}
}

func (l *fakeLog) read(req devplatform.ReadRequest) (devplatform.ReadReply, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.tail - int64(len(l.records))
	reply := devplatform.ReadReply{Oldest: oldest, Tail: l.tail}
	if req.From < oldest {
		return reply, nil, devplatform.ErrForgotten
	}
	if req.From < l.tail {
		from := l.records[req.From-oldest:]
		reply.Records = append(reply.Records, from[:min(len(from), 3)]...)
	}
	return reply, l.grown, nil
}

func (l *fakeLog) count() (appends int, tail int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.tail
}

// fakePort is one entry's connection to a fakeLog.
type fakePort struct {
	log *fakeLog
	mu  sync.Mutex
	// down refuses every call; deaf refuses reads only.
	down, deaf bool
	changed    chan struct{}
}

func (l *fakeLog) port() *fakePort { return &fakePort{log: l, changed: make(chan struct{})} }

func (p *fakePort) set(down, deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.deaf = down, deaf
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePort) state() (down, deaf bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down, p.down || p.deaf, p.changed
}

func (p *fakePort) Append(_ context.Context, req devplatform.AppendRequest) (int64, error) {
	if down, _, _ := p.state(); down {
		return 0, devplatform.ErrUnavailable
	}
	return p.log.append(req)
}

func (p *fakePort) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	for {
		_, deaf, changed := p.state()
		if deaf {
			return devplatform.ReadReply{}, devplatform.ErrUnavailable
		}
		reply, grown, err := p.log.read(req)
		if err != nil || len(reply.Records) > 0 || req.Wait == 0 {
			return reply, err
		}
		select {
		case <-grown:
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return devplatform.ReadReply{}, ctx.Err()
		}
	}
}
