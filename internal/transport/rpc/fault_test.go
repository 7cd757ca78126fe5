package rpc

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/testlink"
)

func TestNotSent(t *testing.T) {
	tests := []struct {
		name      string
		address   func(t *testing.T) string
		payload   int
		configure func(*ClientConfig)
		ctx       func(context.Context) context.Context
		check     func(*is.I, error)
	}{
		{name: "not an IP address", address: func(*testing.T) string { return "localhost:1" }},
		{name: "connection refused", address: closedPort},
		{
			name:      "handshake timeout",
			address:   func(t *testing.T) string { return rawPeer(t, discardAll) },
			configure: func(cfg *ClientConfig) { cfg.DialTimeout = 50 * time.Millisecond },
		},
		{
			name: "peer uses another protocol",
			address: func(t *testing.T) string {
				return rawPeer(t, func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 400\r\n\r\n")) })
			},
			check: func(is *is.I, err error) { is.True(errors.Is(err, errNotPeer)) },
		},
		{
			name:      "peer uses another protocol version",
			address:   serverAddress,
			configure: func(cfg *ClientConfig) { cfg.version = ProtocolVersion + 1 },
			check: func(is *is.I, err error) {
				var version *VersionError
				is.True(errors.As(err, &version))
				is.Equal(version.Remote, ProtocolVersion)
				is.Equal(version.Local, ProtocolVersion+1)
			},
		},
		{
			name:    "payload above the frame limit",
			address: serverAddress,
			payload: DefaultMaxFrameBytes,
			check:   func(is *is.I, err error) { is.True(errors.Is(err, ErrFrameTooLarge)) },
		},
		{
			name: "write timeout",
			address: func(t *testing.T) string {
				return rawPeer(t, func(conn net.Conn) { _ = serverHandshake(conn, ProtocolVersion, testTimeout) })
			},
			payload:   24 << 20,
			configure: func(cfg *ClientConfig) { cfg.WriteTimeout = 200 * time.Millisecond },
		},
		{
			name:    "context cancelled before the call",
			address: serverAddress,
			ctx: func(ctx context.Context) context.Context {
				ctx, cancel := context.WithCancel(ctx)
				cancel()
				return ctx
			},
			check: func(is *is.I, err error) { is.True(errors.Is(err, context.Canceled)) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx := testContext(t)
			if tt.ctx != nil {
				ctx = tt.ctx(ctx)
			}
			submission := coordination.Submission{ID: jobA, Payload: make([]byte, tt.payload)}
			_, err := testClient(t, tt.configure).Submit(ctx, tt.address(t), "north/0", submission)
			is.True(errors.Is(err, coordination.ErrNotSent))
			if tt.check != nil {
				tt.check(is, err)
			}
		})
	}
}

func closedPort(t *testing.T) string {
	listener, err := net.Listen("tcp", loopback)
	is.New(t).NoErr(err)
	defer listener.Close()
	return listener.Addr().String()
}

func serverAddress(t *testing.T) string {
	_, address := testServer(t, &fakePeer{}, nil)
	return address
}

// readFrame reads and discards one frame.
func readFrame(conn net.Conn) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(header[:])))
	return err
}

func TestUnknownOutcome(t *testing.T) {
	tests := []struct {
		name string
		// answer is called once the call has reached the peer.
		answer func(net.Conn)
		want   error
	}{
		{name: "connection closed", answer: func(conn net.Conn) { _ = conn.Close() }, want: ErrConnectionLost},
		{
			name: "reply truncated",
			answer: func(conn net.Conn) {
				_, _ = conn.Write([]byte{0, 0, 0, 9, 1, 2})
				_ = conn.Close()
			},
			want: ErrConnectionLost,
		},
		{
			name:   "reply not decodable",
			answer: func(conn net.Conn) { _, _ = conn.Write([]byte{0, 0, 0, 2, 1, 2}) },
			want:   ErrConnectionLost,
		},
		{
			name:   "reply above the frame limit",
			answer: func(conn net.Conn) { _, _ = conn.Write([]byte{0xff, 0, 0, 0}) },
			want:   ErrFrameTooLarge,
		},
		{name: "no reply and no response to probes", answer: discardAll, want: ErrProbeTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := rawPeer(t, func(conn net.Conn) {
				if serverHandshake(conn, ProtocolVersion, testTimeout) == nil && readFrame(conn) == nil {
					tt.answer(conn)
				}
			})
			c := testClient(t, func(cfg *ClientConfig) {
				cfg.HeartbeatInterval = 100 * time.Millisecond
				cfg.HeartbeatTimeout = 100 * time.Millisecond
			})
			_, err := c.Submit(testContext(t), address, "north/0", coordination.Submission{ID: jobA})
			is.True(errors.Is(err, tt.want))
			is.True(!errors.Is(err, coordination.ErrNotSent))
		})
	}
}

// TestUnresponsiveConnectionIsReplaced guards against calls that hang on an open connection
// whose packets are lost while new connections to the same peer work. The probe before a
// call must replace the connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	tests := []struct {
		name     string
		noProbes bool
	}{
		{name: "with probes"},
		{name: "without probes", noProbes: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, address := testServer(t, &fakePeer{}, nil)
			proxy := newTCPProxy(t, address)
			c := testClient(t, func(cfg *ClientConfig) {
				cfg.ConnectionsPerPeer = 1
				cfg.HeartbeatInterval = 30 * time.Millisecond
				cfg.HeartbeatTimeout = 500 * time.Millisecond
				cfg.noProbes = tt.noProbes
			})
			_, err := c.Submit(testContext(t), proxy.address, "north/0", coordination.Submission{ID: jobA})
			is.NoErr(err)
			proxy.pause(true)
			eventually(t, func() bool { return c.needsProbe(proxy.address) })
			ctx, cancel := context.WithCancel(testContext(t))
			if tt.noProbes {
				ctx, cancel = context.WithTimeout(ctx, 2*time.Second)
			}
			defer cancel()
			_, err = c.Submit(ctx, proxy.address, "north/0", coordination.Submission{ID: jobB})
			if tt.noProbes {
				is.True(errors.Is(err, context.DeadlineExceeded))
				return
			}
			is.NoErr(err)
		})
	}
}

// TestLargeReplyIsNotCutByProbes gets a reply that takes a narrow link longer than a probe
// may take.
func TestLargeReplyIsNotCutByProbes(t *testing.T) {
	is := is.New(t)
	output := make([]byte, testlink.NarrowBandwidth)
	_, address := testServer(t, &fakePeer{get: func(_ context.Context, id state.JobID, _ time.Duration) (coordination.JobStatus, error) {
		return coordination.JobStatus{ID: id, Outputs: [][]byte{output}}, nil
	}}, nil)
	c := testClient(t, func(cfg *ClientConfig) {
		cfg.ConnectionsPerPeer = 1
		cfg.HeartbeatInterval = 100 * time.Millisecond
		cfg.HeartbeatTimeout = 300 * time.Millisecond
	})
	status, err := c.Get(testContext(t), narrowProxy(t, address), "team", jobA, 0)
	is.NoErr(err)
	is.Equal(len(status.Outputs[0]), len(output))
}

// needsProbe reports whether the next call to an address would probe its connection or
// open one.
func (c *Client) needsProbe(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := c.peers[address]
	return peer == nil || len(peer.conns) == 0 || !peer.conns[0].fresh()
}

func TestHeartbeatReplacesUnresponsiveConnection(t *testing.T) {
	is := is.New(t)
	_, address := testServer(t, &fakePeer{}, nil)
	proxy := newTCPProxy(t, address)
	c := testClient(t, nil)
	_, err := c.Heartbeat(testContext(t), proxy.address, coordination.Heartbeat{})
	is.NoErr(err)
	proxy.pause(true)
	short, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
	defer cancel()
	_, err = c.Heartbeat(short, proxy.address, coordination.Heartbeat{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = c.Heartbeat(testContext(t), proxy.address, coordination.Heartbeat{})
	is.NoErr(err)
}

func (sc *serverConn) isFinished() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.finished
}

// TestGoAway sends a call while the go-away frame of a stopping server is in transit. The
// server does not execute the call, and with the go-away frame the client knows this.
func TestGoAway(t *testing.T) {
	tests := []struct {
		name     string
		noGoAway bool
		notSent  bool
	}{
		{name: "with go-away frame", notSent: true},
		{name: "without go-away frame", noGoAway: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			peer := &fakePeer{}
			s, address := testServer(t, peer, func(cfg *ServerConfig) {
				cfg.noGoAway = tt.noGoAway
				cfg.LingerTimeout = testTimeout
			})
			proxy := newTCPProxy(t, address)
			c := testClient(t, func(cfg *ClientConfig) {
				cfg.ConnectionsPerPeer = 1
				cfg.HeartbeatInterval = time.Hour
			})
			_, err := c.Submit(testContext(t), proxy.address, "north/0", coordination.Submission{ID: jobA})
			is.NoErr(err)
			proxy.pause(false)
			for _, sc := range s.connections() {
				sc.closeWhenIdle()
				eventually(t, sc.isFinished)
			}
			before := proxy.sent.Load()
			result := make(chan error, 1)
			go func() {
				_, err := c.Submit(testContext(t), proxy.address, "north/0", coordination.Submission{ID: jobB})
				result <- err
			}()
			eventually(t, func() bool { return proxy.sent.Load() > before })
			proxy.resume()
			is.Equal(errors.Is(<-result, coordination.ErrNotSent), tt.notSent)
			is.Equal(peer.ran.Load(), int64(1))
		})
	}
}

func TestShutdownUnderLoadLeavesNoOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	peer := &fakePeer{}
	s, address := testServer(t, peer, nil)
	c := testClient(t, nil)
	ctx := testContext(t)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var succeeded int64
	var unknown []error
	for range 16 {
		wg.Go(func() {
			for {
				_, err := c.Submit(ctx, address, "north/0", coordination.Submission{ID: jobA})
				mu.Lock()
				if err == nil {
					succeeded++
				} else if !errors.Is(err, coordination.ErrNotSent) {
					unknown = append(unknown, err)
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	eventually(t, func() bool { return peer.ran.Load() > 500 })
	stopServer(t, s)
	wg.Wait()
	is.Equal(len(unknown), 0)
	is.Equal(peer.ran.Load(), succeeded)
}

func TestShutdownWaitsForCallsInFlight(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 1)
	release := make(chan struct{})
	peer := &fakePeer{
		submit: func(_ context.Context, s coordination.Submission) (coordination.JobStatus, error) {
			started <- struct{}{}
			<-release
			return echo(s), nil
		},
		get: func(ctx context.Context, _ state.JobID, _ time.Duration) (coordination.JobStatus, error) {
			started <- struct{}{}
			<-ctx.Done()
			return coordination.JobStatus{}, ctx.Err()
		},
	}
	s, address := testServer(t, peer, nil)
	c := testClient(t, nil)
	ctx := testContext(t)
	submitted := make(chan error, 1)
	go func() {
		_, err := c.Submit(ctx, address, "north/0", coordination.Submission{ID: jobA})
		submitted <- err
	}()
	<-started
	waited := make(chan error, 1)
	go func() {
		_, err := c.Get(ctx, address, "tide", jobA, time.Minute)
		waited <- err
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		stopServer(t, s)
		close(stopped)
	}()
	is.True(errors.Is(<-waited, coordination.ErrNotSent))
	_, err := c.Submit(ctx, address, "north/0", coordination.Submission{ID: jobB})
	is.True(errors.Is(err, coordination.ErrNotSent))
	close(release)
	is.NoErr(<-submitted)
	<-stopped
	stopServer(t, s)
	is.Equal(peer.ran.Load(), int64(1))
}

func TestShutdownCancelsCallsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	peer := &fakePeer{submit: func(ctx context.Context, _ coordination.Submission) (coordination.JobStatus, error) {
		close(started)
		<-ctx.Done()
		return coordination.JobStatus{}, ctx.Err()
	}}
	cfg := DefaultServerConfig(loopback)
	base, _ := testServer(t, peer, nil)
	cfg.Logger, cfg.Registry, cfg.Tracer = base.cfg.Logger, base.cfg.Registry, base.cfg.Tracer
	s := NewServer(cfg, peer)
	address, err := s.Start()
	is.NoErr(err)
	c := testClient(t, nil)
	result := make(chan error, 1)
	go func() {
		_, err := c.Submit(testContext(t), address.String(), "north/0", coordination.Submission{ID: jobA})
		result <- err
	}()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(s.Shutdown(ctx), context.Canceled))
	err = <-result
	is.True(err != nil)
	is.True(!errors.Is(err, coordination.ErrNotSent))
}
