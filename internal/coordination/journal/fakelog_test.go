package journal

import (
	"context"
	"math"
	"sync"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// fakeLog is a log stream in memory with switches to fail.
type fakeLog struct {
	mu      sync.Mutex
	records []devplatform.StoredRecord
	tail    int64
	// loseAnswers is how many appends take effect without an answer.
	loseAnswers int
	// twice stores every append two times.
	twice   bool
	down    bool
	appends int
	bytes   int
}

func (l *fakeLog) store(r devplatform.Record) int64 {
	l.records = append(l.records, devplatform.StoredRecord{Offset: l.tail, Record: r})
	l.tail++
	return l.tail - 1
}

func (l *fakeLog) append(req devplatform.AppendRequest) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.down:
		return 0, devplatform.ErrUnavailable
	case len(req.Record.Data) > devplatform.MaxRecordBytes:
		return 0, devplatform.ErrTooLarge
	case req.ExpectedOffset != nil && *req.ExpectedOffset != l.tail:
		return 0, devplatform.ErrOffsetMismatch
	}
	l.appends++
	l.bytes += len(req.Record.Data)
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

func (l *fakeLog) read(req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.tail - int64(len(l.records))
	switch {
	case l.down:
		return devplatform.ReadReply{}, devplatform.ErrUnavailable
	case req.From < oldest:
		return devplatform.ReadReply{}, devplatform.ErrForgotten
	}
	reply := devplatform.ReadReply{Oldest: oldest, Tail: l.tail}
	if req.From < l.tail {
		from := l.records[req.From-oldest:]
		reply.Records = append(reply.Records, from[:min(len(from), 3)]...)
	}
	return reply, nil
}

// forget drops all but the newest records.
func (l *fakeLog) forget(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[max(len(l.records)-keep, 0):]
}

func (l *fakeLog) set(change func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *fakeLog) count() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// fakePort is one owner's connection to a fakeLog; a paused one holds calls
// until it is resumed.
type fakePort struct {
	log *fakeLog

	mu     sync.Mutex
	paused chan struct{}
}

func (p *fakePort) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *fakePort) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

func (p *fakePort) held() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// pass waits while the port is paused. A call that was held reaches the log even
// when its caller has given up.
func (p *fakePort) pass() {
	if held := p.held(); held != nil {
		<-held
	}
}

func (p *fakePort) Append(_ context.Context, req devplatform.AppendRequest) (int64, error) {
	if req.ExpectedOffset != nil {
		expected := *req.ExpectedOffset
		req.ExpectedOffset = &expected
	}
	p.pass()
	return p.log.append(req)
}

func (p *fakePort) Read(_ context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	p.pass()
	if req.From == math.MaxInt64 {
		req.Limit = 1
	}
	return p.log.read(req)
}
