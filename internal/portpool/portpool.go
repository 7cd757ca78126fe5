// Package portpool gives out loopback ports for processes that tests and the soak start. A port stays
// taken while its process restarts, also for pools of other processes, and no outgoing connection
// takes it.
package portpool

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports lie below the range from which operating systems
// take the ports of outgoing connections.
const firstPort, lastPort = 20000, 30000

// portsOfBlock is the number of ports in a block, of which the first reserves the others.
const portsOfBlock = 64

// Pool gives out loopback ports. The zero value is ready to use. It is safe for concurrent use.
type Pool struct {
	mu sync.Mutex
	// blocks listen on the first port of each block that the pool has reserved.
	blocks []net.Listener
	free   []int
}

// Take returns n loopback addresses on which no process listens.
func (p *Pool) Take(n int) (addresses []string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(addresses) < n {
		if len(p.free) == 0 {
			if err := p.reserveBlock(); err != nil {
				return nil, err
			}
		}
		address := loopback(p.free[0])
		p.free = p.free[1:]
		if listener, err := net.Listen("tcp4", address); err == nil {
			addresses = append(addresses, address)
			_ = listener.Close()
		}
	}
	return addresses, nil
}

// Release gives back addresses on which no process of this pool listens any more.
func (p *Pool) Release(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if a, err := net.ResolveTCPAddr("tcp4", address); err == nil {
			p.free = append(p.free, a.Port)
		}
	}
}

// reserveBlock adds the ports of a block that no other process has reserved.
func (p *Pool) reserveBlock() error {
	const blocks = (lastPort - firstPort) / portsOfBlock
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*portsOfBlock
		listener, err := net.Listen("tcp4", loopback(first))
		if err != nil {
			continue
		}
		p.blocks = append(p.blocks, listener)
		for port := first + 1; port < first+portsOfBlock; port++ {
			p.free = append(p.free, port)
		}
		return nil
	}
	return fmt.Errorf("portpool: all %d blocks of ports from %d to %d are taken: %w", blocks, firstPort, lastPort, errPorts)
}

var errPorts = errors.New("stop other soak runs and tests")

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
