package journal

import (
	"cmp"
	"context"
	"math"
	"sync"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// fakeLog is an in-memory log stream with fault injection.
type fakeLog struct {
	mu      sync.Mutex
	records []devplatform.StoredRecord
	tail    int64
	// loseResponses is the number of next appends that are stored but whose
	// responses are lost.
	loseResponses int
	// duplicate makes the log store every append twice.
	duplicate bool
	down      bool
	// limit is the largest record, in bytes; 0 for devplatform.MaxRecordBytes.
	limit int
	// appends and bytes count the successful appends and the size of their data.
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
	case len(req.Record.Data) > cmp.Or(l.limit, devplatform.MaxRecordBytes):
		return 0, devplatform.ErrTooLarge
	case req.ExpectedOffset != nil && *req.ExpectedOffset != l.tail:
		return 0, devplatform.ErrOffsetMismatch
	}
	l.appends++
	l.bytes += len(req.Record.Data)
	offset := l.store(req.Record)
	if l.duplicate {
		l.store(req.Record)
	}
	if l.loseResponses > 0 {
		l.loseResponses--
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
		return devplatform.ReadReply{}, devplatform.ErrOffsetExpired
	}
	reply := devplatform.ReadReply{Oldest: oldest, Tail: l.tail}
	if req.From < l.tail {
		from := l.records[req.From-oldest:]
		reply.Records = append(reply.Records, from[:min(len(from), 3)]...)
	}
	return reply, nil
}

// truncate removes all but the newest records.
func (l *fakeLog) truncate(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[max(len(l.records)-keep, 0):]
}

func (l *fakeLog) update(change func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *fakeLog) count() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// fakeConn is one owner's connection to a fakeLog. While it is paused, calls block
// until it is resumed.
type fakeConn struct {
	log *fakeLog

	mu sync.Mutex
	// paused is closed when the connection resumes; it is nil unless paused.
	paused chan struct{}
}

func (c *fakeConn) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused == nil {
		c.paused = make(chan struct{})
	}
}

func (c *fakeConn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused != nil {
		close(c.paused)
		c.paused = nil
	}
}

func (c *fakeConn) resumeSignal() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// waitIfPaused blocks while the connection is paused. A blocked call reaches the
// log after the resume, even if its caller has timed out.
func (c *fakeConn) waitIfPaused() {
	if resumed := c.resumeSignal(); resumed != nil {
		<-resumed
	}
}

func (c *fakeConn) Append(_ context.Context, req devplatform.AppendRequest) (int64, error) {
	if req.ExpectedOffset != nil {
		expected := *req.ExpectedOffset
		req.ExpectedOffset = &expected
	}
	c.waitIfPaused()
	return c.log.append(req)
}

func (c *fakeConn) Read(_ context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	c.waitIfPaused()
	if req.From == math.MaxInt64 {
		req.Limit = 1
	}
	return c.log.read(req)
}
