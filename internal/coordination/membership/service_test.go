package membership_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// network connects services in memory. Its latency is 1 ms each way.
type network struct {
	coordination.Peers
	mu          sync.Mutex
	nodes       map[string]*node
	partitioned func(from, to string) bool
	vms         devplatform.VMListReply
	listDown    bool
	meter       *meter
}

type node struct {
	service *membership.Service
	version atomic.Int64
	leaving atomic.Bool
	owned   atomic.Pointer[[]coordination.ShardLoad]
	cancel  context.CancelFunc
}

// endpoint is the network as used by the entry at one address.
type endpoint struct {
	*network
	address string
}

func (p endpoint) Heartbeat(ctx context.Context, address string, hb coordination.Heartbeat) (coordination.Heartbeat, error) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	n := p.nodes[address]
	partitioned := p.partitioned != nil && p.partitioned(p.address, address)
	p.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return coordination.Heartbeat{}, ctx.Err()
	}
	if n == nil {
		return coordination.Heartbeat{}, coordination.ErrNotSent
	}
	reply, err := n.service.HandleHeartbeat(ctx, hb)
	p.withLock(func() {
		if p.meter != nil {
			p.meter.count(hb)
			p.meter.count(reply)
		}
	})
	time.Sleep(time.Millisecond)
	return reply, err
}

func (n *network) List(context.Context, devplatform.ListRequest) (devplatform.VMListReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listDown {
		return devplatform.VMListReply{}, devplatform.ErrUnavailable
	}
	return n.vms, nil
}

func (n *network) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func newNetwork() *network { return &network{nodes: map[string]*node{}} }

// list sets the VM list.
func (n *network) list(vms ...devplatform.VM) {
	n.withLock(func() { n.vms = devplatform.VMListReply{Version: 1, VMs: vms} })
}

func entryVM(domain, id, address string) devplatform.VM {
	return devplatform.VM{ID: id, Incarnation: "i1", Role: devplatform.RoleEntry, State: devplatform.VMLive, Domain: domain, Address: address}
}

func (n *network) start(t *testing.T, id, domain, address string, seeds ...string) *node {
	t.Helper()
	started := &node{}
	cfg := membership.Config{Self: coordination.EntryID(id), Domain: state.DomainID(domain), Address: address, Seeds: seeds}
	status := func() membership.Status {
		status := membership.Status{ConfigVersion: started.version.Load(), Leaving: started.leaving.Load()}
		if owned := started.owned.Load(); owned != nil {
			status.Owned = *owned
		}
		return status
	}
	service, err := membership.New(cfg, status, endpoint{network: n, address: address}, n, hclog.NewNullLogger(), metrics.NewRegistry())
	is.New(t).NoErr(err)
	started.service = service
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	n.withLock(func() { n.nodes[address] = started })
	go func() { _ = service.Run(ctx) }()
	return started
}

func (n *network) kill(address string) {
	n.withLock(func() {
		n.nodes[address].cancel()
		delete(n.nodes, address)
	})
}

func (n *network) stop() {
	n.withLock(func() {
		for _, running := range n.nodes {
			running.cancel()
		}
	})
	advance(time.Second)
}

func live(n *node, id string) bool {
	e, ok := n.service.Snapshot().Entry(coordination.EntryID(id))
	return ok && e.Live()
}

// advance lets the virtual time pass and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestEntriesDiscoverEachOtherFromSeedsWithoutVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		net.listDown = true
		defer net.stop()
		a := net.start(t, "vm1/i1", "a", "10.0.0.1:1")
		b := net.start(t, "vm2/i1", "a", "10.0.0.2:1", "10.0.0.1:1")
		c := net.start(t, "vm3/i1", "a", "10.0.0.3:1", "10.0.0.1:1")
		advance(3 * time.Second)
		for _, n := range []*node{a, b, c} {
			is.True(!n.service.Stale())
			for _, id := range []string{"vm1/i1", "vm2/i1", "vm3/i1"} {
				is.True(live(n, id))
			}
		}
	})
}

func TestUnreachableEntryIsDeadUntilItResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		defer net.stop()
		net.list(entryVM("a", "vm1", "10.0.0.1:1"), entryVM("a", "vm2", "10.0.0.2:1"))
		a := net.start(t, "vm1/i1", "a", "10.0.0.1:1")
		b := net.start(t, "vm2/i1", "a", "10.0.0.2:1")
		advance(3 * time.Second)
		is.True(live(a, "vm2/i1"))
		net.withLock(func() { net.partitioned = func(string, string) bool { return true } })
		advance(3 * time.Second)
		is.True(!live(a, "vm2/i1"))
		is.True(!live(b, "vm1/i1"))
		net.withLock(func() { net.partitioned = nil })
		advance(4 * time.Second)
		is.True(live(a, "vm2/i1"))
		is.True(live(b, "vm1/i1"))
	})
}

func TestStaleListDoesNotReviveAReplacedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		defer net.stop()
		net.list(entryVM("a", "vm1", "10.0.0.1:1"), entryVM("a", "vm2", "10.0.0.2:1"))
		a := net.start(t, "vm1/i1", "a", "10.0.0.1:1")
		net.start(t, "vm2/i1", "a", "10.0.0.2:1")
		advance(3 * time.Second)
		net.kill("10.0.0.2:1")
		net.start(t, "vm2/i2", "a", "10.0.0.2:1")
		advance(3 * time.Second)
		is.True(live(a, "vm2/i2"))
		is.True(!live(a, "vm2/i1"))
		advance(time.Minute)
		is.True(!live(a, "vm2/i1"))
	})
}
