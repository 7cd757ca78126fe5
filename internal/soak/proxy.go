// Package soak runs entries as separate processes against a fake of the users'
// platform and injects faults from outside these processes. It checks the guarantees
// to callers from what callers and upstreams observe. It stops every process that it
// starts.
package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/internal/testlink"
)

// proxyMode is what a proxy does with the data that it forwards.
type proxyMode uint8

const (
	// forwarding passes all data on unchanged.
	forwarding proxyMode = iota
	// delaying delays each chunk of data by proxyDelay.
	delaying
	// stalling forwards no data in either direction and keeps the connections open.
	stalling
	// stallingReplies forwards no data to the entry; its requests still reach the log.
	stallingReplies
	// resetting closes every connection immediately.
	resetting
)

// proxyDelay is about a tenth of the shortest timeout of an entry.
const proxyDelay = 40 * time.Millisecond

// proxy forwards the connections of one entry to the log.
type proxy struct {
	listener net.Listener
	target   string
	// narrow limits the replies of all connections together to testlink.NarrowBandwidth.
	narrow bool

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
	// changed is closed when the mode changes.
	changed chan struct{}
	// linkFreeAt is when a narrow link has delivered all replies that it has taken so far.
	linkFreeAt time.Time
}

// newProxy listens on a free loopback port and forwards connections to target, over a
// narrow link if narrow is set.
func newProxy(target string, narrow bool) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, narrow: narrow, conns: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode, also for data that is being held back.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == resetting {
		for conn := range p.conns {
			// The connection is closed on purpose; an error needs no handling.
			_ = conn.Close()
		}
	}
}

// currentMode returns the mode and a channel that is closed when it changes.
func (p *proxy) currentMode() (proxyMode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) close() error {
	err := p.listener.Close()
	p.setMode(resetting)
	return err
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward connects to the log and copies data in both directions until either side
// closes its connection.
func (p *proxy) forward(entry net.Conn) {
	defer p.closeConn(entry)
	if mode, _ := p.currentMode(); mode == resetting {
		return
	}
	log, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(log)
	p.mu.Lock()
	p.conns[entry], p.conns[log] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(log, entry, false) })
	group.Go(func() { p.copy(entry, log, true) })
	group.Wait()
}

func (p *proxy) closeConn(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close()
}

// copy copies data in one direction; toEntry is set for the direction from the log to
// the entry.
func (p *proxy) copy(to, from net.Conn, toEntry bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if toEntry && p.narrow {
			p.awaitLink(n)
		}
		if n > 0 && p.awaitForward(toEntry) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = errors.Join(err, writeErr)
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// awaitLink blocks until the narrow link has delivered n more bytes.
func (p *proxy) awaitLink(n int) {
	p.mu.Lock()
	if now := time.Now(); p.linkFreeAt.Before(now) {
		p.linkFreeAt = now
	}
	p.linkFreeAt = p.linkFreeAt.Add(time.Duration(n) * time.Second / testlink.NarrowBandwidth)
	until := p.linkFreeAt
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// awaitForward blocks while the mode holds data of this direction back. It reports
// whether the data may be forwarded.
func (p *proxy) awaitForward(toEntry bool) bool {
	for {
		mode, changed := p.currentMode()
		switch {
		case mode == resetting:
			return false
		case mode == stalling || (mode == stallingReplies && toEntry):
			<-changed
			continue
		case mode == delaying:
			time.Sleep(proxyDelay)
		}
		return true
	}
}
