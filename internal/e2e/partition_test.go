package e2e

import (
	"net"
	"net/netip"
	"sync"
	"testing"
)

// partition decides which entries can reach each other. Its forwarders stand
// before the entries' internal listeners.
type partition struct {
	mu sync.Mutex
	// isolated is the subnet that is cut off; invalid when none is.
	isolated netip.Prefix
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newPartition() *partition { return &partition{changed: make(chan struct{})} }

// isolate cuts a subnet off from all others. The zero prefix heals the cut.
func (p *partition) isolate(subnet netip.Prefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = subnet
	close(p.changed)
	p.changed = make(chan struct{})
}

// pass waits until the two ends can reach each other. It reports false when
// closed is closed first.
func (p *partition) pass(source, target netip.Addr, closed <-chan struct{}) bool {
	for {
		p.mu.Lock()
		changed := p.changed
		apart := p.isolated.IsValid() && p.isolated.Contains(source) != p.isolated.Contains(target)
		p.mu.Unlock()
		if !apart {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

// forward serves a forwarder to an IP:port on the same IP until the test ends,
// and returns its address.
func (p *partition) forward(t *testing.T, target string) string {
	t.Helper()
	to := netip.MustParseAddrPort(target)
	listener, err := net.Listen("tcp", net.JoinHostPort(to.Addr().String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, to)
		}
	}()
	return listener.Addr().String()
}

// serve joins a connection to the target. While the two ends are apart nothing
// passes, in either direction.
func (p *partition) serve(conn net.Conn, to netip.AddrPort) {
	defer conn.Close()
	source := netip.MustParseAddrPort(conn.RemoteAddr().String()).Addr()
	back, err := net.Dial("tcp", to.String())
	if err != nil {
		return
	}
	defer back.Close()
	closed := make(chan struct{})
	var once sync.Once
	var pumps sync.WaitGroup
	pump := func(out, in net.Conn) {
		defer pumps.Done()
		defer once.Do(func() { close(closed) })
		buffer := make([]byte, 64<<10)
		for {
			n, err := in.Read(buffer)
			if !p.pass(source, to.Addr(), closed) {
				return
			}
			if _, writeErr := out.Write(buffer[:n]); err != nil || writeErr != nil {
				_ = out.(interface{ CloseWrite() error }).CloseWrite()
				return
			}
		}
	}
	pumps.Add(2)
	go pump(back, conn)
	go pump(conn, back)
	<-closed
	pumps.Wait()
}
