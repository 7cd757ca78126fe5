// Package callerlimit bounds what callers hold of a process: connections, the memory of requests
// that are being read or handled, and received bytes that were not read. When a bound is reached,
// connections that wait for their caller make room, so that a crowd that holds connections or
// requests open takes nothing from callers that send whole requests.
package callerlimit

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
)

const (
	// reserveTimeout bounds the wait for memory that evicted requests are about to give back.
	reserveTimeout = time.Second
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// unreadBodyTimeout bounds the wait for the rest of a body that the handler did not read.
	unreadBodyTimeout = time.Second
	// reportInterval is the shortest time between two log lines on closed connections.
	reportInterval = time.Second
)

// Limits bounds what callers hold together.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// RequestBytes is the memory for requests from the first byte to the answer.
	RequestBytes int64
	// Backlog is the number of connections that wait to be accepted.
	Backlog int
}

// RequestLimits bounds one request and the time between two.
type RequestLimits struct {
	// HeaderBytes is the largest header.
	HeaderBytes int
	// HeaderTimeout bounds the time to read a header, IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
	// BodyTimeout bounds the time to read a body that has no deadline of its own.
	BodyTimeout time.Duration
}

// Guard enforces limits on the connections of one listener. It is safe for concurrent use.
type Guard struct {
	limits  Limits
	request func() RequestLimits
	memory  *semaphore.Weighted
	logger  hclog.Logger

	mu   sync.Mutex
	open int
	// waiting holds the connections that wait for their caller, by the beginning of the wait.
	waiting list.List
	// evicted counts the connections closed to make room since the last log line at reportedAt.
	evicted, refused int
	reportedAt       time.Time

	connections                   metrics.Gauge
	evictedTotal, refusedTotal    metrics.Counter
	expiredTotal, fullMemoryTotal metrics.Counter
}

// New returns a Guard whose metrics begin with name. request returns the limits of a request that
// are in force.
func New(name string, limits Limits, request func() RequestLimits, logger hclog.Logger, registry metrics.Registry) *Guard {
	counter := func(what string) metrics.Counter {
		return metrics.GetOrRegisterCounter(name+"."+what, registry)
	}
	return &Guard{
		limits: limits, request: request, memory: semaphore.NewWeighted(limits.RequestBytes), logger: logger.With("listener", name),
		connections: metrics.GetOrRegisterGauge(name+".connections", registry), evictedTotal: counter("evicted"),
		refusedTotal: counter("refused"), expiredTotal: counter("expired"), fullMemoryTotal: counter("memory_full"),
	}
}

// Configure sets the hooks of a server that serves a listener of this guard. The guard keeps the
// times of headers and idle connections, so the server must not have any of its own.
func (g *Guard) Configure(server *http.Server) {
	server.MaxHeaderBytes = maxServerHeaderBytes
	server.ConnState = g.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if guarded, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, guarded)
		}
		return ctx
	}
	server.Handler = g.handler(server.Handler)
}

// Listen listens on a TCP address (IP:port) and accepts connections within the limits.
func (g *Guard) Listen(address string) (net.Listener, error) {
	inner, err := listen(address, g.limits.Backlog)
	if err != nil {
		return nil, err
	}
	return &listener{inner, g}, nil
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. If all connections are in use and none waits for its caller,
// further ones are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) && l.guard.evictOldest() {
				continue
			}
			return nil, err
		}
		if c := l.guard.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close() // the caller tries another entry
	}
}

// admit counts a connection, or returns nil if there is no room for it.
func (g *Guard) admit(inner net.Conn) *conn {
	g.mu.Lock()
	full := g.open >= g.limits.Connections
	g.mu.Unlock()
	if full && !g.evictOldest() {
		g.mu.Lock()
		g.refused++
		g.reportLocked()
		g.mu.Unlock()
		g.refusedTotal.Inc(1)
		return nil
	}
	c := &conn{Conn: inner, guard: g}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
	g.connections.Update(int64(g.open))
	c.timer = time.AfterFunc(time.Hour, c.expire)
	c.enterLocked(readingHeader)
	return c
}

// evictOldest closes the connection that has waited longest for its caller. It returns false if
// there is none.
func (g *Guard) evictOldest() bool {
	g.mu.Lock()
	front := g.waiting.Front()
	if front == nil {
		g.mu.Unlock()
		return false
	}
	victim := front.Value.(*conn)
	g.countEvictionLocked()
	g.forgetLocked(victim)
	g.mu.Unlock()
	_ = victim.Close()
	return true
}

// evictHolders ends requests that wait for their caller until they give back n bytes: those that
// hold most, and of equal ones the one that has waited longest. It returns false if they hold less,
// or if the request of c, which must end then, holds most.
func (g *Guard) evictHolders(c *conn, n int64) bool {
	var closing []*conn
	defer func() {
		for _, victim := range closing {
			_ = victim.Close()
		}
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		victim, freed := g.largestLocked(c)
		if freed >= n {
			return true
		}
		if victim == nil || victim.held < c.held {
			return false
		}
		victim.evicted = true
		victim.cancel()
		g.countEvictionLocked()
		if victim.phase == readingBody {
			_ = victim.SetReadDeadline(longAgo) // its handler answers and closes it
		} else {
			closing = append(closing, victim)
		}
	}
}

// largestLocked returns the waiting connection beside c that holds most memory, nil if none holds
// any, and what evicted ones are about to give back.
func (g *Guard) largestLocked(c *conn) (largest *conn, freed int64) {
	for e := g.waiting.Front(); e != nil; e = e.Next() {
		switch other := e.Value.(*conn); {
		case other == c || other.held == 0:
		case other.evicted:
			freed += other.held
		case largest == nil || other.held > largest.held:
			largest = other
		}
	}
	return largest, freed
}

func (g *Guard) countEvictionLocked() {
	g.evicted++
	g.evictedTotal.Inc(1)
	g.reportLocked()
}

// reportLocked logs the connections that were closed, unless it has just done so.
func (g *Guard) reportLocked() {
	if now := time.Now(); now.Sub(g.reportedAt) >= reportInterval {
		g.logger.Warn("callers hold all connections or request memory; connections that wait for their caller are closed",
			"evicted", g.evicted, "refused", g.refused, "connections", g.open, "max_connections", g.limits.Connections, "max_request_bytes", g.limits.RequestBytes)
		g.evicted, g.refused, g.reportedAt = 0, 0, now
	}
}

// forgetLocked stops counting a connection that is being closed.
func (g *Guard) forgetLocked(c *conn) {
	if c.forgotten {
		return
	}
	c.forgotten = true
	c.cancel()
	c.timer.Stop()
	if c.place != nil {
		g.waiting.Remove(c.place)
		c.place = nil
	}
	g.open--
	g.connections.Update(int64(g.open))
}

// connState follows the phases of a connection that the server knows of.
func (g *Guard) connState(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(handling)
	case http.StateIdle:
		c.release(0)
		if c.enter(idle) {
			_ = c.Close() // the request ended before its eviction took effect
		}
	case http.StateClosed, http.StateHijacked:
		c.release(0)
		g.mu.Lock()
		g.forgetLocked(c)
		g.mu.Unlock()
	case http.StateNew:
	}
}

// handler wraps the handler of a server. It counts the memory of the parsed header, and bounds the
// wait for what the handler leaves of a body.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if more := headerMemory(r) - c.heldBytes(); more > 0 && c.reserve(more) != nil {
			panic(http.ErrAbortHandler) // the request may repeat an accepted one, so it gets no refusal
		}
		c.body = bodyUnread
		next.ServeHTTP(&answer{ResponseWriter: w, conn: c, request: r}, r)
		if r.ContentLength != 0 && c.body != bodyRead {
			c.awaitRest(r)
		}
	})
}

// awaitRest bounds how long the server waits for what the handler has left of a body: a short rest
// is awaited, so that the connection can serve further requests.
func (c *conn) awaitRest(r *http.Request) {
	deadline := longAgo
	if c.body == bodyUnread && shortBody(r) {
		deadline = time.Now().Add(unreadBodyTimeout)
	}
	_ = c.awaitBody(deadline) // fails only on a closed connection
}

// answer closes the connection after an answer that does not need the body, unless the rest of the
// body is short. The server would hold the answer back until it has read the body otherwise.
type answer struct {
	http.ResponseWriter
	conn    *conn
	request *http.Request
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.start()
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.start()
	return a.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (a *answer) Flush() {
	a.start()
	_ = http.NewResponseController(a.ResponseWriter).Flush() // the next write reports a broken connection
}

// Unwrap serves http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *answer) start() {
	if !a.started && (a.conn.body == bodyFailed || a.conn.body == bodyUnread && !shortBody(a.request)) {
		a.Header().Set("Connection", "close")
	}
	a.started = true
}
