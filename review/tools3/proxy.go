//go:build review3

package main

import (
	"net"
	"sync"
)

// tunnel forwards the channels of one machine to one address. Channels that were open at a silence
// carry nothing any more and stay open; new ones work.
type tunnel struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	channels map[*channel]struct{}
}

type channel struct {
	a, b   net.Conn
	silent chan struct{}
}

func newTunnel(target string) (*tunnel, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &tunnel{listener: l, target: target, channels: map[*channel]struct{}{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.forward(conn)
		}
	}()
	return t, nil
}

func (t *tunnel) address() string { return t.listener.Addr().String() }

func (t *tunnel) forward(a net.Conn) {
	b, err := net.Dial("tcp4", t.target)
	if err != nil {
		_ = a.Close()
		return
	}
	c := &channel{a, b, make(chan struct{})}
	t.mu.Lock()
	t.channels[c] = struct{}{}
	t.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.copy(b, a) })
	group.Go(func() { c.copy(a, b) })
	group.Wait()
	t.mu.Lock()
	delete(t.channels, c)
	t.mu.Unlock()
}

// copy forwards one direction. What arrives during a silence is dropped.
func (c *channel) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			if err == nil {
				continue
			}
			_ = from.Close() // this end has given the channel up; the other one isn't told
			return
		default:
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes the open channels go silent, and returns their number.
func (t *tunnel) silence() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.channels {
		select {
		case <-c.silent:
		default:
			close(c.silent)
			n++
		}
	}
	return n
}

// close closes the listener and all channels.
func (t *tunnel) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.channels {
		_ = c.a.Close()
		_ = c.b.Close()
	}
}
