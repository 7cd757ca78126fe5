package platformclient

import (
	"context"
	"errors"
	"net/http"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// Log is a client of the log service. It is safe for concurrent use.
type Log struct{ client *httpClient }

var _ devplatform.Log = (*Log)(nil)

// NewLog returns a client of the log service behind the endpoints (IP:port).
func NewLog(endpoints []string, options Options) *Log {
	return &Log{client: newHTTPClient(endpoints, options)}
}

// Close closes the idle connections.
func (l *Log) Close() { l.client.close() }

// Append implements devplatform.Log.
func (l *Log) Append(ctx context.Context, req devplatform.AppendRequest) (int64, error) {
	var offset int64
	_, err := l.client.do(ctx, call{
		name: "log.append", method: http.MethodPost, path: devplatform.PathAppend,
		body: req, timeout: l.client.options.Timeout,
	}, &offset)
	return offset, err
}

// Read implements devplatform.Log. With devplatform.ErrOffsetExpired it returns the
// offsets of the retained records, if the service sent them.
func (l *Log) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	var reply devplatform.ReadReply
	body, err := l.client.do(ctx, call{
		name: "log.read", method: http.MethodPost, path: devplatform.PathRead,
		body: req, timeout: l.client.options.Timeout + req.Wait,
	}, &reply)
	if errors.Is(err, devplatform.ErrOffsetExpired) && body != nil && body.Retained != nil {
		return devplatform.ReadReply{Oldest: body.Retained.Oldest, Tail: body.Retained.Tail}, err
	}
	return reply, err
}
