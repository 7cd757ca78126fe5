package port

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConnectionClosedTellsAnEndFromSilence guards against taking an upstream that is cut off for one that has ended.
func TestConnectionClosedTellsAnEndFromSilence(t *testing.T) {
	cases := []struct {
		name string
		// serve handles a connection that was accepted; nil closes the listener instead.
		serve func(c net.Conn)
		want  bool
	}{
		{name: "no process listens", want: true},
		{name: "closed without a response", serve: func(c net.Conn) { _ = c.Close() }, want: true},
		{name: "reset", serve: func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, want: true},
		{name: "closed within the response", serve: func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
			_ = c.Close()
		}, want: true},
		{name: "silent", serve: func(net.Conn) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			if c.serve == nil {
				is.NoErr(l.Close())
			} else {
				go func() {
					for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
						_, _ = conn.Read(make([]byte, 4096))
						c.serve(conn)
					}
				}()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), http.NoBody)
			is.NoErr(err)
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			is.True(err != nil)
			is.Equal(ConnectionClosed(err), c.want)
		})
	}
}
