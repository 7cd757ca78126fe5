package membership_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// headerBytes is the estimated size of the net/rpc, TCP and IP headers of one message.
const headerBytes = 100

// byteCount counts the bytes written to it.
type byteCount struct{ n atomic.Int64 }

func (c *byteCount) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// meter counts the messages of a network and their size in the encoding of net/rpc.
type meter struct {
	bytes    byteCount
	messages int64
	encoder  *gob.Encoder
}

func (m *meter) count(hb coordination.Heartbeat) {
	m.messages++
	_ = m.encoder.Encode(hb)
}

// trafficPerEntry runs domains of three entries and measures for a minute. It returns
// the bytes per second that an entry sends and receives, the number of entries seen as
// dead, summed over one sample per second, and the time until every entry knows that
// one is leaving.
func trafficPerEntry(t *testing.T, domains int) (bytesPerSecond int64, falseDead int, propagation time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		m := &meter{}
		m.encoder = gob.NewEncoder(&m.bytes)
		defer net.stop()
		var vms []devplatform.VM
		for d := range domains {
			for e := range 3 {
				vms = append(vms, entryVM(fmt.Sprint("domain-", d), fmt.Sprintf("entry-%d-%d", d, e), fmt.Sprintf("10.0.%d.%d:7000", d, e)))
			}
		}
		net.list(vms...)
		var nodes []*node
		for _, vm := range vms {
			nodes = append(nodes, net.start(t, vm.ID+"/i1", vm.Domain, vm.Address))
		}
		for i := 0; i < len(nodes); i += 3 {
			shard := coordination.ShardID(vms[i].Domain + "/0")
			nodes[i].owned.Store(&[]coordination.ShardLoad{{
				Shard: shard, Ready: true, Queued: 100, Running: 1500, Upstreams: 2600, Fenced: 2600,
				Epoch: devplatform.Epoch{Number: 12, Owner: vms[i].ID + "/i1"},
			}})
		}
		advance(time.Minute)
		net.withLock(func() { net.meter = m })
		for range 60 {
			advance(time.Second)
			for _, n := range nodes {
				for _, e := range n.service.Snapshot().Entries {
					if !e.Live() {
						falseDead++
					}
				}
			}
		}
		net.withLock(func() { net.meter = nil })
		t.Log("messages sent and received by an entry in a minute:", 2*m.messages/int64(len(nodes)))
		propagation = leavingPropagationTime(nodes)
		bytesPerSecond = 2 * (m.bytes.n.Load() + headerBytes*m.messages) / 60 / int64(len(nodes))
	})
	return bytesPerSecond, falseDead, propagation
}

// leavingPropagationTime returns how long it takes until every entry knows that the
// first one is leaving, at most about a minute.
func leavingPropagationTime(nodes []*node) time.Duration {
	nodes[0].leaving.Store(true)
	nodes[0].service.Announce()
	begun := time.Now()
	for {
		unaware := 0
		for _, n := range nodes {
			e, ok := n.service.Snapshot().Entry("entry-0-0/i1")
			if !ok || !e.Leaving {
				unaware++
			}
		}
		if unaware == 0 || time.Since(begun) > time.Minute {
			return time.Since(begun)
		}
		advance(100 * time.Millisecond)
	}
}

func TestTrafficDoesNotGrowWithTheNumberOfDomains(t *testing.T) {
	is := is.New(t)
	var traffic []int64
	for _, domains := range []int{4, 14} {
		bytesPerSecond, falseDead, propagation := trafficPerEntry(t, domains)
		t.Log(domains, "domains:", bytesPerSecond, "bytes/s sent and received by an entry;", falseDead, "entries wrongly seen as dead; leaving state known to every entry after", propagation)
		is.Equal(falseDead, 0)
		traffic = append(traffic, bytesPerSecond)
	}
	is.True(traffic[1]*2 < traffic[0]*3)
	is.True(traffic[1] < 8*1024)
}

func TestPartitionedDomainKeepsItsOwnView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		defer net.stop()
		net.list(entryVM("a", "vm1", "10.0.0.1:1"), entryVM("a", "vm2", "10.0.0.2:1"), entryVM("b", "vm3", "10.0.1.1:1"))
		a := net.start(t, "vm1/i1", "a", "10.0.0.1:1")
		net.start(t, "vm2/i1", "a", "10.0.0.2:1")
		net.start(t, "vm3/i1", "b", "10.0.1.1:1")
		advance(10 * time.Second)
		is.True(live(a, "vm3/i1"))
		is.True(a.service.Snapshot().SinceRemoteContact <= 4*time.Second)
		net.withLock(func() {
			net.listDown = true
			net.partitioned = func(from, to string) bool { return from[:7] != to[:7] }
		})
		advance(10 * time.Second)
		is.True(a.service.Snapshot().SinceRemoteContact >= 10*time.Second)
		advance(50 * time.Second)
		is.True(live(a, "vm2/i1"))
		is.True(!live(a, "vm3/i1"))
		is.True(!a.service.Stale())
		is.Equal(len(a.service.Snapshot().ListedEntries), 3)
	})
}

func TestSubscribersAreNotifiedOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		defer net.stop()
		net.list(entryVM("a", "vm1", "10.0.0.1:1"), entryVM("a", "vm2", "10.0.0.2:1"))
		a := net.start(t, "vm1/i1", "a", "10.0.0.1:1")
		b := net.start(t, "vm2/i1", "a", "10.0.0.2:1")
		advance(5 * time.Second)
		changed, unsubscribe := a.service.Subscribe()
		defer unsubscribe()
		advance(5 * time.Second)
		is.Equal(len(changed), 0)
		b.version.Store(7)
		b.leaving.Store(true)
		b.service.Announce()
		advance(10 * time.Millisecond)
		is.Equal(len(changed), 1)
		e, _ := a.service.Snapshot().Entry("vm2/i1")
		is.True(e.Leaving)
		is.Equal(e.ConfigVersion, int64(7))
		_, err := b.service.HandleHeartbeat(context.Background(), coordination.Heartbeat{From: "vm1/i1", Address: "10.0.0.1:1"})
		is.NoErr(err)
	})
}
