package e2e

import (
	"net"
	"net/netip"
	"sync"
	"testing"
)

// partition simulates a network partition between subnets. Its forwarders are placed
// in front of the entries' internal listeners.
type partition struct {
	mu sync.Mutex
	// isolated is the subnet that can't reach the others; the zero value if there is none.
	isolated netip.Prefix
	// changed is closed and replaced whenever isolated is set.
	changed chan struct{}
}

func newPartition() *partition { return &partition{changed: make(chan struct{})} }

// isolate partitions a subnet from all others. The zero prefix heals the partition.
func (p *partition) isolate(subnet netip.Prefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = subnet
	close(p.changed)
	p.changed = make(chan struct{})
}

// waitReachable waits until source and target can reach each other. It returns false
// if closed is closed first.
func (p *partition) waitReachable(source, target netip.Addr, closed <-chan struct{}) bool {
	for {
		p.mu.Lock()
		changed := p.changed
		separated := p.isolated.IsValid() && p.isolated.Contains(source) != p.isolated.Contains(target)
		p.mu.Unlock()
		if !separated {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

// forward runs a TCP forwarder to an IP:port until the test ends, and returns the
// forwarder's address, which is on the same IP.
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
			go p.proxy(conn, to)
		}
	}()
	return listener.Addr().String()
}

// proxy copies data between a connection and the target in both directions. While the
// two ends are separated, it holds the data back.
func (p *partition) proxy(conn net.Conn, to netip.AddrPort) {
	defer conn.Close()
	source := netip.MustParseAddrPort(conn.RemoteAddr().String()).Addr()
	targetConn, err := net.Dial("tcp", to.String())
	if err != nil {
		return
	}
	defer targetConn.Close()
	closed := make(chan struct{})
	var once sync.Once
	var copies sync.WaitGroup
	copyData := func(out, in net.Conn) {
		defer copies.Done()
		defer once.Do(func() { close(closed) })
		buffer := make([]byte, 64<<10)
		for {
			n, err := in.Read(buffer)
			if !p.waitReachable(source, to.Addr(), closed) {
				return
			}
			if _, writeErr := out.Write(buffer[:n]); err != nil || writeErr != nil {
				_ = out.(interface{ CloseWrite() error }).CloseWrite()
				return
			}
		}
	}
	copies.Add(2)
	go copyData(targetConn, conn)
	go copyData(conn, targetConn)
	<-closed
	copies.Wait()
}
