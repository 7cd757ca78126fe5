package faults

import (
	"context"
	"net"
	"sync"
)

// connection is one accepted TCP connection.
type connection struct {
	id     uint64
	used   bool
	closed bool
}

type connectionKey struct{}

// connections counts those that carry calls of the port. Connections that only
// read or set switches are not counted.
type connections struct {
	mu      sync.Mutex
	lastID  uint64
	all     map[net.Conn]*connection
	used    int
	largest int
}

func (c *connections) open(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	opened := &connection{id: c.lastID}
	c.all[conn] = opened
	return context.WithValue(ctx, connectionKey{}, opened)
}

func (c *connections) close(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed, ok := c.all[conn]
	if !ok {
		return
	}
	delete(c.all, conn)
	closed.closed = true
	if closed.used {
		c.used--
	}
}

// use counts the connection of a call.
func (c *connections) use(ctx context.Context) {
	conn, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.used || conn.closed {
		return
	}
	conn.used = true
	c.used++
	c.largest = max(c.largest, c.used)
}

// newest returns the number of the newest connection; 0 when there was none.
func (c *connections) newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastID
}

func (c *connections) counts() (open, largest int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.largest
}

// connectionID returns the number of the call's connection, counted from 1, or
// the largest number when the server does not mark its connections.
func connectionID(ctx context.Context) uint64 {
	conn, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return ^uint64(0)
	}
	return conn.id
}
