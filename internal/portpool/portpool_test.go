package portpool

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Another run took the port of an entry that was restarting, and the entry never came back.
func TestPortsOfRestartingEntriesStayTaken(t *testing.T) {
	is := is.New(t)
	var one, other Pool
	defer func() {
		for _, l := range append(one.blocks, other.blocks...) {
			is.NoErr(l.Close())
		}
	}()
	taken := map[string]bool{}
	for range 2 * portsOfBlock {
		for _, p := range []*Pool{&one, &other} {
			addresses, err := p.Take(3)
			is.NoErr(err)
			for _, a := range addresses {
				is.True(!taken[a])
				taken[a] = true
				listener, err := net.Listen("tcp4", a)
				is.NoErr(err)
				is.NoErr(listener.Close())
			}
		}
	}
}

func TestReleasedPortsAreTakenAgain(t *testing.T) {
	is := is.New(t)
	var p Pool
	for range 10 * portsOfBlock {
		addresses, err := p.Take(3)
		is.NoErr(err)
		p.Release(addresses)
	}
	is.Equal(len(p.blocks), 1)
	is.NoErr(p.blocks[0].Close())
}
