package netcount

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
)

func TestCounter(t *testing.T) {
	registry := metrics.NewRegistry()
	tests := []struct {
		name    string
		counter *Counter
		want    int64
	}{
		{name: "bytes are counted in both directions", counter: New(registry, "a"), want: 5},
		{name: "a nil counter counts nothing", counter: New(nil, "b")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			local, remote := net.Pipe()
			dial := tt.counter.Dialer(func(context.Context, string, string) (net.Conn, error) { return local, nil })
			conn, err := dial(t.Context(), "tcp", "127.0.0.1:1")
			is.NoErr(err)
			go func() {
				_, _ = io.ReadFull(remote, make([]byte, 5))
				_, _ = remote.Write(make([]byte, 5))
			}()
			_, err = conn.Write(make([]byte, 5))
			is.NoErr(err)
			_, err = io.ReadFull(conn, make([]byte, 5))
			is.NoErr(err)
			if tt.counter == nil {
				is.Equal(conn, local)
				return
			}
			is.Equal(tt.counter.sent.Count(), tt.want)
			is.Equal(tt.counter.received.Count(), tt.want)
		})
	}
}
