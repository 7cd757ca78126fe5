package dispatch

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
)

// TestNewIncarnationIsRegisteredAtOnce guards against acknowledgements of a former incarnation's ends to a new one.
func TestNewIncarnationIsRegisteredAtOnce(t *testing.T) {
	is := is.New(t)
	const incarnations = 20_000
	l := newLink()
	var group sync.WaitGroup
	stop := make(chan struct{})
	mixed := 0
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			l.mu.Lock()
			// The newest end that was recorded in each incarnation has its start as number.
			if l.recorded > 0 && l.recorded != l.startedUnixMS {
				mixed++
			}
			l.mu.Unlock()
		}
	})
	for started := int64(1); started <= incarnations; started++ {
		l.register(port.Target{ID: "u"}, started)
		l.acknowledge(l.incarnation, started)
	}
	close(stop)
	group.Wait()
	is.Equal(mixed, 0)
}
