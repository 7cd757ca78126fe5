package platformclient

import (
	"context"
	"errors"
	"net/http"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Log is the client of the log service.
type Log struct{ caller *caller }

var _ devplatform.Log = (*Log)(nil)

// NewLog returns a client of the log service behind the endpoints (IP:port).
func NewLog(endpoints []string, options Options) *Log {
	return &Log{caller: newCaller(endpoints, options)}
}

// Close drops the idle connections.
func (l *Log) Close() { l.caller.close() }

// Append implements devplatform.Log.
func (l *Log) Append(ctx context.Context, req devplatform.AppendRequest) (int64, error) {
	var offset int64
	_, err := l.caller.do(ctx, call{
		name: "log.append", method: http.MethodPost, path: devplatform.PathAppend,
		body: req, timeout: l.caller.options.Timeout,
	}, &offset)
	return offset, err
}

// Read implements devplatform.Log.
func (l *Log) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	var reply devplatform.ReadReply
	body, err := l.caller.do(ctx, call{
		name: "log.read", method: http.MethodPost, path: devplatform.PathRead,
		body: req, timeout: l.caller.options.Timeout + req.Wait,
	}, &reply)
	if errors.Is(err, devplatform.ErrForgotten) && body != nil && body.Retained != nil {
		return devplatform.ReadReply{Oldest: body.Retained.Oldest, Tail: body.Retained.Tail}, err
	}
	return reply, err
}
