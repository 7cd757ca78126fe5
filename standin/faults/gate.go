package faults

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/internal/wire"
)

// Gate applies fault switches to the calls of a stand-in and counts its connections. All
// methods are safe for concurrent use, except ShareConnections.
type Gate struct {
	defaultDropPath string
	connections     *connections

	mu       sync.Mutex
	switches Switches
	random   *rand.Rand
	// silencedUpTo is the ID of the newest silenced connection; 0 means none.
	silencedUpTo uint64
	// changed is closed and replaced when the switches change.
	changed chan struct{}
}

// NewGate returns a gate with all switches off. defaultDropPath is the path of the calls
// whose replies Switches.DropReplies drops unless it names another path.
func NewGate(defaultDropPath string) *Gate {
	return &Gate{
		defaultDropPath: defaultDropPath,
		connections:     &connections{all: map[net.Conn]*connection{}},
		changed:         make(chan struct{}),
	}
}

// ShareConnections makes g count the same connections as other, for two stand-ins on one
// listener. It must be called before either of them is served.
func (g *Gate) ShareConnections(other *Gate) { g.connections = other.connections }

// Switches returns the current switches.
func (g *Gate) Switches() Switches {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switches
}

// Set replaces the switches and restarts the random sequence of Switches.DropReplies.
func (g *Gate) Set(s Switches) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.SilenceOpen {
		g.silencedUpTo = g.connections.newestID()
		s.SilenceOpen = false
	}
	g.switches = s
	g.random = rand.New(rand.NewPCG(s.DropReplies.Seed, s.DropReplies.Seed))
	close(g.changed)
	g.changed = make(chan struct{})
}

// Wrap returns a handler that applies the switches to calls of next.
func (g *Gate) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		g.connections.use(r.Context())
		g.stallSilenced(r)
		if g.rejectIfDown(w) {
			return
		}
		g.delay(r)
		reply := newRecorder()
		next.ServeHTTP(reply, r)
		g.stallSilenced(r)
		if g.dropsReply(r.URL.Path) {
			panic(http.ErrAbortHandler)
		}
		g.writeReply(w, reply)
	})
}

// rejectIfDown ends a call if the stand-in is down, and reports whether it did.
func (g *Gate) rejectIfDown(w http.ResponseWriter) bool {
	switch g.Switches().Down {
	case Refuse:
		wire.WriteError(w, devplatform.ErrUnavailable)
		return true
	case Drop:
		panic(http.ErrAbortHandler)
	case Up:
	}
	return false
}

// delay delays a call. It continues when the client cancels the call, since a request that
// is delayed in the network still arrives.
func (g *Gate) delay(r *http.Request) {
	d := g.Switches().Delay
	if d.Milliseconds <= 0 || (d.Path != "" && d.Path != r.URL.Path) {
		return
	}
	time.Sleep(time.Duration(d.Milliseconds) * time.Millisecond)
}

// stallSilenced blocks a call on a silenced connection, or from an address in
// Switches.Partitioned, until the client closes the connection or the switches no longer
// apply.
func (g *Gate) stallSilenced(r *http.Request) {
	for {
		g.mu.Lock()
		changed := g.changed
		unreachable := matchesAny(g.switches.Partitioned, r.RemoteAddr)
		silenced := connectionID(r.Context()) <= g.silencedUpTo && g.silencedUpTo > 0
		g.mu.Unlock()
		if !unreachable && !silenced {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// matchesAny reports whether the address remote (IP:port) lies in one of the prefixes.
func matchesAny(prefixes []netip.Prefix, remote string) bool {
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	for _, prefix := range prefixes {
		if prefix.Contains(address.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// dropsReply decides whether the reply to a call is dropped.
func (g *Gate) dropsReply(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	drop := &g.switches.DropReplies
	dropPath := drop.Path
	if dropPath == "" {
		dropPath = g.defaultDropPath
	}
	if path != dropPath {
		return false
	}
	if drop.Next > 0 {
		drop.Next--
		return true
	}
	return drop.Probability > 0 && g.random.Float64() < drop.Probability
}

// writeReply sends a buffered reply, completely or truncated.
func (g *Gate) writeReply(w http.ResponseWriter, reply *recorder) {
	body := reply.body.Bytes()
	for name, values := range reply.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(reply.status)
	if !g.truncatesReply() {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// truncatesReply decides whether the next reply is truncated.
func (g *Gate) truncatesReply() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.switches.TruncateNext == 0 {
		return false
	}
	g.switches.TruncateNext--
	return true
}

// ConnContext is for http.Server.ConnContext. It registers a connection, so that its calls
// can be matched with it.
func (g *Gate) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return g.connections.open(ctx, conn)
}

// ConnState is for http.Server.ConnState. It unregisters connections when they end.
func (g *Gate) ConnState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		g.connections.close(conn)
	}
}

// Connections returns the number of open connections that have carried a call of the
// platform protocol, and the largest such number so far.
func (g *Gate) Connections() (open, largest int) { return g.connections.counts() }
