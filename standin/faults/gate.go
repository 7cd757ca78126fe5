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

// Gate applies switches to the calls of a stand-in and counts its connections.
// All methods are safe for concurrent use.
type Gate struct {
	losable     string
	connections *connections

	mu         sync.Mutex
	switches   Switches
	random     *rand.Rand
	silentUpTo uint64
	// changed is closed and replaced when the switches change.
	changed chan struct{}
}

// NewGate returns a gate with all switches off. Losable is the path of the
// calls whose answers are lost unless Lose names another.
func NewGate(losable string) *Gate {
	return &Gate{
		losable:     losable,
		connections: &connections{all: map[net.Conn]*connection{}},
		changed:     make(chan struct{}),
	}
}

// ShareConnections makes g count the same connections as other, for two
// stand-ins on one listener. It must be called before either is served.
func (g *Gate) ShareConnections(other *Gate) { g.connections = other.connections }

// Switches returns the switches as they are now.
func (g *Gate) Switches() Switches {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switches
}

// Set replaces the switches.
func (g *Gate) Set(s Switches) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.SilenceOpen {
		g.silentUpTo = g.connections.newest()
		s.SilenceOpen = false
	}
	g.switches = s
	g.random = rand.New(rand.NewPCG(s.Lose.Seed, s.Lose.Seed))
	close(g.changed)
	g.changed = make(chan struct{})
}

// Wrap returns a handler that applies the switches around next.
func (g *Gate) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		g.connections.use(r.Context())
		g.holdSilent(r)
		if g.refuse(w) {
			return
		}
		g.delay(r)
		answer := newRecorder()
		next.ServeHTTP(answer, r)
		g.holdSilent(r)
		if g.loses(r.URL.Path) {
			panic(http.ErrAbortHandler)
		}
		g.send(w, answer)
	})
}

// refuse answers a call while the stand-in is down.
func (g *Gate) refuse(w http.ResponseWriter) bool {
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

// delay holds a call. The caller's giving up does not shorten it, since a call
// that is slow to arrive still arrives.
func (g *Gate) delay(r *http.Request) {
	d := g.Switches().Delay
	if d.Milliseconds <= 0 || (d.Path != "" && d.Path != r.URL.Path) {
		return
	}
	time.Sleep(time.Duration(d.Milliseconds) * time.Millisecond)
}

// holdSilent never returns for a connection that is silent: it waits for the
// other side to close it.
func (g *Gate) holdSilent(r *http.Request) {
	for {
		g.mu.Lock()
		changed := g.changed
		cut := isCut(g.switches.Cut, r.RemoteAddr)
		silent := connectionID(r.Context()) <= g.silentUpTo && g.silentUpTo > 0
		g.mu.Unlock()
		if !cut && !silent {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func isCut(cut []netip.Prefix, remote string) bool {
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	for _, prefix := range cut {
		if prefix.Contains(address.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// loses decides whether the answer of a call is dropped.
func (g *Gate) loses(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lose := &g.switches.Lose
	wanted := lose.Path
	if wanted == "" {
		wanted = g.losable
	}
	if path != wanted {
		return false
	}
	if lose.Next > 0 {
		lose.Next--
		return true
	}
	return lose.Probability > 0 && g.random.Float64() < lose.Probability
}

// send passes an answer on, whole or cut short.
func (g *Gate) send(w http.ResponseWriter, answer *recorder) {
	body := answer.body.Bytes()
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.status)
	if !g.truncates() {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (g *Gate) truncates() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.switches.TruncateNext == 0 {
		return false
	}
	g.switches.TruncateNext--
	return true
}

// ConnContext is for http.Server: it marks the calls of a connection.
func (g *Gate) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return g.connections.open(ctx, conn)
}

// ConnState is for http.Server: it notes the end of connections.
func (g *Gate) ConnState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		g.connections.close(conn)
	}
}

// Connections returns the number of open connections that have carried a call
// of the port, and the largest number seen.
func (g *Gate) Connections() (open, largest int) { return g.connections.counts() }
