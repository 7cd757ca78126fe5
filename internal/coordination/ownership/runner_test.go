package ownership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const renewInterval = 500 * time.Millisecond

// testDomain runs entries, one worker and the log in memory.
type testDomain struct {
	coordination.Peers
	mu      sync.Mutex
	entries map[string]*testEntry
	// workerEpoch is the newest epoch that the worker has accepted, and
	// workerContact the time at which its owner last contacted the worker.
	workerEpoch   devplatform.Epoch
	workerContact time.Time
	log           []devplatform.StoredRecord
	logDown       bool
	partitioned   bool
}

// testEntry is one entry: its membership, its Runner, and the Shard that the
// Runner controls.
type testEntry struct {
	domain  *testDomain
	address string
	members *membership.Service
	runner  *Runner
	cancel  context.CancelFunc
	mu      sync.Mutex
	owned   []coordination.ShardLoad
	leaving bool
}

func (d *testDomain) withLock(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *testDomain) Heartbeat(ctx context.Context, address string, hb coordination.Heartbeat) (coordination.Heartbeat, error) {
	d.mu.Lock()
	peer, partitioned := d.entries[address], d.partitioned
	d.mu.Unlock()
	if peer == nil || partitioned {
		return coordination.Heartbeat{}, coordination.ErrNotSent
	}
	return peer.members.HandleHeartbeat(ctx, hb)
}

func (d *testDomain) List(context.Context, devplatform.ListRequest) (devplatform.VMListReply, error) {
	reply := devplatform.VMListReply{Version: 1}
	for i := range 3 {
		reply.VMs = append(reply.VMs, devplatform.VM{ID: fmt.Sprint("vm", i), Incarnation: "i1", Role: devplatform.RoleEntry, State: devplatform.VMLive, Domain: "a", Address: fmt.Sprint("10.0.0.", i, ":1")})
	}
	return reply, nil
}

func (d *testDomain) Append(_ context.Context, req devplatform.AppendRequest) (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.logDown {
		return 0, devplatform.ErrUnavailable
	}
	if req.ExpectedOffset != nil && *req.ExpectedOffset != int64(len(d.log)) {
		return 0, devplatform.ErrOffsetMismatch
	}
	d.log = append(d.log, devplatform.StoredRecord{Offset: int64(len(d.log)), Record: req.Record})
	return int64(len(d.log) - 1), nil
}

func (d *testDomain) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	for until := time.Now().Add(req.Wait); ; {
		d.mu.Lock()
		tail, down := int64(len(d.log)), d.logDown
		reply := devplatform.ReadReply{Tail: tail}
		if req.From < tail {
			reply.Records = append(reply.Records, d.log[req.From:]...)
		}
		d.mu.Unlock()
		if down {
			return devplatform.ReadReply{}, devplatform.ErrUnavailable
		}
		if len(reply.Records) > 0 || !time.Now().Before(until) {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return devplatform.ReadReply{}, devplatform.ErrUnavailable
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (d *testDomain) start(t *testing.T, i int) *testEntry {
	t.Helper()
	is := is.New(t)
	id := coordination.EntryID(fmt.Sprint("vm", i, "/i1"))
	p := &testEntry{domain: d, address: fmt.Sprint("10.0.0.", i, ":1")}
	logger := hclog.NewNullLogger()
	members, err := membership.New(membership.Config{Self: id, Domain: "a", Address: p.address}, p.status, d, d, logger, metrics.NewRegistry())
	is.NoErr(err)
	p.members = members
	p.runner = NewRunner(id, "a", testShard, Limits{}, members, d, p, logger)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	d.withLock(func() { d.entries[p.address] = p })
	go func() { _ = members.Run(ctx) }()
	go func() { _ = p.runner.Run(ctx) }()
	go p.renew(ctx)
	return p
}

func (p *testEntry) status() membership.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return membership.Status{Owned: p.owned, Leaving: p.leaving}
}

func (p *testEntry) Take(epoch devplatform.Epoch) {
	p.mu.Lock()
	p.owned = []coordination.ShardLoad{{Shard: testShard, Epoch: epoch, Ready: true}}
	p.mu.Unlock()
	p.contactWorker()
	p.members.Announce()
}

func (p *testEntry) Drop(devplatform.Epoch, Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned = nil
}

func (p *testEntry) Probe(context.Context) (devplatform.Epoch, time.Duration, bool) {
	p.domain.mu.Lock()
	defer p.domain.mu.Unlock()
	return p.domain.workerEpoch, time.Since(p.domain.workerContact), true
}

// contactWorker contacts the worker if the entry owns the shard.
func (p *testEntry) contactWorker() {
	epoch, owning := p.ownedEpoch()
	if !owning {
		return
	}
	d := p.domain
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workerEpoch.Compare(epoch) > 0 {
		p.runner.Fenced(&devplatform.FencedError{Current: d.workerEpoch, SinceContact: time.Since(d.workerContact)})
		return
	}
	d.workerEpoch = epoch
	d.workerContact = time.Now()
}

func (p *testEntry) ownedEpoch() (devplatform.Epoch, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.owned) == 0 {
		return devplatform.Epoch{}, false
	}
	return p.owned[0].Epoch, true
}

func (p *testEntry) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.contactWorker()
		}
	}
}

// kill stops an entry at once, without a message to any other.
func (d *testDomain) kill(p *testEntry) {
	d.withLock(func() { delete(d.entries, p.address) })
	p.cancel()
}

func (d *testDomain) stop() {
	d.withLock(func() {
		for _, p := range d.entries {
			p.cancel()
		}
	})
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// owners returns the running entries that own the shard.
func (d *testDomain) owners() []*testEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var owners []*testEntry
	for _, p := range d.entries {
		if _, owning := p.runner.Current(); owning {
			owners = append(owners, p)
		}
	}
	return owners
}

// ownerKnownToAll reports whether every running entry knows that owner owns the
// shard and is ready.
func (d *testDomain) ownerKnownToAll(owner *testEntry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.entries {
		if got, ok := p.members.Snapshot().Owner(testShard); !ok || !got.Ready || got.Address != owner.address {
			return false
		}
	}
	return true
}

func runDomain(t *testing.T, test func(t *testing.T, d *testDomain)) {
	synctest.Test(t, func(t *testing.T) {
		d := &testDomain{entries: map[string]*testEntry{}}
		defer d.stop()
		for i := range 3 {
			d.start(t, i)
		}
		time.Sleep(10 * time.Second)
		test(t, d)
	})
}

func TestRunnerReplacesKilledOwner(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		t.Run(fmt.Sprint("log down ", logDown), func(t *testing.T) {
			runDomain(t, func(t *testing.T, d *testDomain) {
				is := is.New(t)
				is.Equal(len(d.owners()), 1)
				d.withLock(func() { d.logDown = logDown })
				d.kill(d.owners()[0])
				killed := time.Now()
				for len(d.owners()) == 0 || !d.ownerKnownToAll(d.owners()[0]) {
					time.Sleep(10 * time.Millisecond)
				}
				t.Log("known to every entry after", time.Since(killed))
				is.True(time.Since(killed) < 5*time.Second)
				time.Sleep(time.Minute)
				is.Equal(len(d.owners()), 1)
			})
		})
	}
}

func TestRunnerHandsOverWhenItLeaves(t *testing.T) {
	runDomain(t, func(t *testing.T, d *testDomain) {
		is := is.New(t)
		old := d.owners()[0]
		old.mu.Lock()
		old.leaving = true
		old.mu.Unlock()
		old.members.Announce()
		old.runner.Leave()
		started := time.Now()
		gap := time.Duration(0)
		for open := true; open; {
			select {
			case <-old.runner.Released():
				open = false
			default:
				time.Sleep(10 * time.Millisecond)
			}
			if len(d.owners()) == 0 {
				gap += 10 * time.Millisecond
			}
		}
		t.Log("released after", time.Since(started), "without an owner", gap)
		is.True(time.Since(started) < DefaultHandoverTimeout)
		is.Equal(gap, time.Duration(0))
		is.Equal(len(d.owners()), 1)
		is.True(d.owners()[0] != old)
	})
}

func TestPartitionedRunnersKeepOwner(t *testing.T) {
	runDomain(t, func(t *testing.T, d *testDomain) {
		is := is.New(t)
		old := d.owners()[0]
		d.withLock(func() {
			d.partitioned = true
			d.logDown = true
		})
		time.Sleep(time.Minute)
		is.Equal(len(d.owners()), 1)
		is.True(d.owners()[0] == old)
	})
}
