// Package soak runs entries as separate processes against the fake of the
// users' platform, injects faults from outside them and checks, from what
// callers and upstreams see, that the promises hold. It starts only what it
// ends itself.
package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with the bytes that it carries.
type proxyMode uint8

const (
	passing proxyMode = iota
	// delaying holds each piece of data for proxyDelay.
	delaying
	// silent carries nothing in either direction and closes nothing.
	silent
	// oneWay carries nothing back to the entry.
	oneWay
	// resetting closes every connection at once.
	resetting
)

// proxyDelay is about a tenth of the shortest time-out of an entry.
const proxyDelay = 40 * time.Millisecond

// proxy carries connections from one entry to the log.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
	// changed is closed when the mode changes.
	changed chan struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == resetting {
		for conn := range p.conns {
			// The connection is cut on purpose; its error says nothing.
			_ = conn.Close()
		}
	}
}

func (p *proxy) state() (proxyMode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) close() error {
	err := p.listener.Close()
	p.set(resetting)
	return err
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(entry net.Conn) {
	defer p.drop(entry)
	if mode, _ := p.state(); mode == resetting {
		return
	}
	log, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer p.drop(log)
	p.mu.Lock()
	p.conns[entry], p.conns[log] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(log, entry, false) })
	group.Go(func() { p.copy(entry, log, true) })
	group.Wait()
}

func (p *proxy) drop(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close()
}

// copy carries bytes in one direction; back says that they go to the entry.
func (p *proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.hold(back) {
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

// hold waits as the mode asks and reports whether the bytes go on.
func (p *proxy) hold(back bool) bool {
	for {
		mode, changed := p.state()
		switch {
		case mode == resetting:
			return false
		case mode == silent || (mode == oneWay && back):
			<-changed
			continue
		case mode == delaying:
			time.Sleep(proxyDelay)
		}
		return true
	}
}
