package faults

import (
	"context"
	"net"
	"sync"
)

// connection is one accepted TCP connection.
type connection struct {
	id uint64
	// used is set when the connection has carried a call of the platform protocol.
	used   bool
	closed bool
}

type connectionKey struct{}

// connections counts the connections that carry calls of the platform protocol.
// Connections that only read or set fault switches are not counted.
type connections struct {
	mu     sync.Mutex
	lastID uint64
	all    map[net.Conn]*connection
	used   int
	peak   int
}

// open registers a connection and returns a context that identifies it.
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

// use counts the connection of a call; ctx is the context of the call.
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
	c.peak = max(c.peak, c.used)
}

// newestID returns the ID of the newest connection, or 0 if there was none.
func (c *connections) newestID() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastID
}

func (c *connections) counts() (open, largest int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.peak
}

// connectionID returns the ID of the call's connection, counted from 1. It returns the
// largest ID if the server does not use Gate.ConnContext.
func connectionID(ctx context.Context) uint64 {
	conn, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return ^uint64(0)
	}
	return conn.id
}
