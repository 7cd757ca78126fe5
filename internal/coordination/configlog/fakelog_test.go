package configlog

import (
	"context"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// fakeLog is an in-memory log stream with fault injection.
type fakeLog struct {
	mu       sync.Mutex
	records  []devplatform.StoredRecord
	tail     int64
	appended chan struct{}
	// loseResponses is the number of appends whose record is stored but which
	// return an error.
	loseResponses int
	// appendTwice stores the record of every append twice.
	appendTwice bool
	appends     int
}

func newFakeLog() *fakeLog { return &fakeLog{appended: make(chan struct{})} }

func (l *fakeLog) store(record devplatform.Record) int64 {
	offset := l.tail
	l.records = append(l.records, devplatform.StoredRecord{Offset: offset, Record: record})
	l.tail++
	close(l.appended)
	l.appended = make(chan struct{})
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
	if l.appendTwice {
		l.store(req.Record)
	}
	if l.loseResponses > 0 {
		l.loseResponses--
		return 0, devplatform.ErrUnavailable
	}
	return offset, nil
}

// expire drops the records below an offset, as the log's retention does.
func (l *fakeLog) expire(below int64) {
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
		return reply, nil, devplatform.ErrOffsetExpired
	}
	if req.From < l.tail {
		from := l.records[req.From-oldest:]
		reply.Records = append(reply.Records, from[:min(len(from), 3)]...)
	}
	return reply, l.appended, nil
}

func (l *fakeLog) count() (appends int, tail int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.tail
}

// fakeClient is the connection of one entry to a fakeLog.
type fakeClient struct {
	log *fakeLog
	mu  sync.Mutex
	// down fails every call; readsDown fails reads only.
	down, readsDown bool
	changed         chan struct{}
}

func (l *fakeLog) client() *fakeClient { return &fakeClient{log: l, changed: make(chan struct{})} }

func (p *fakeClient) set(down, readsDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.readsDown = down, readsDown
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakeClient) state() (down, readsDown bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down, p.down || p.readsDown, p.changed
}

func (p *fakeClient) Append(_ context.Context, req devplatform.AppendRequest) (int64, error) {
	if down, _, _ := p.state(); down {
		return 0, devplatform.ErrUnavailable
	}
	return p.log.append(req)
}

func (p *fakeClient) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	for {
		_, readsDown, changed := p.state()
		if readsDown {
			return devplatform.ReadReply{}, devplatform.ErrUnavailable
		}
		reply, appended, err := p.log.read(req)
		if err != nil || len(reply.Records) > 0 || req.Wait == 0 {
			return reply, err
		}
		select {
		case <-appended:
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return devplatform.ReadReply{}, ctx.Err()
		}
	}
}
