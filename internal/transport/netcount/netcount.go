// Package netcount counts the bytes that connections send and receive, by kind of
// connection.
package netcount

import (
	"context"
	"net"

	metrics "github.com/rcrowley/go-metrics"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Counter counts the bytes sent and received on all connections of one kind. A nil
// Counter counts nothing. Counter is safe for concurrent use.
type Counter struct {
	sent     metrics.Counter
	received metrics.Counter
}

// New returns the counter of a kind of connection. Its metrics are
// net.<kind>.sent_bytes and net.<kind>.received_bytes. If registry is nil, New returns
// nil.
func New(registry metrics.Registry, kind string) *Counter {
	if registry == nil {
		return nil
	}
	return &Counter{
		sent:     metrics.GetOrRegisterCounter("net."+kind+".sent_bytes", registry),
		received: metrics.GetOrRegisterCounter("net."+kind+".received_bytes", registry),
	}
}

// Conn returns a connection that wraps conn and counts its bytes.
func (c *Counter) Conn(conn net.Conn) net.Conn {
	if c == nil {
		return conn
	}
	return &countedConn{Conn: conn, counter: c}
}

// Dialer returns a dial function that wraps dial and counts the bytes of its
// connections.
func (c *Counter) Dialer(dial DialFunc) DialFunc {
	if c == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.Conn(conn), nil
	}
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Inc(int64(n))
	return n, err
}
