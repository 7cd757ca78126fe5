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

// domain runs entries, one worker and the log in memory.
type domain struct {
	coordination.Peers
	mu      sync.Mutex
	entries map[string]*process
	// workerEpoch and workerContact are the worker's state.
	workerEpoch   devplatform.Epoch
	workerContact time.Time
	log           []devplatform.StoredRecord
	logDown       bool
	cut           bool
}

// process is one entry: its membership, its Runner, and its part as owner.
type process struct {
	domain  *domain
	address string
	members *membership.Service
	runner  *Runner
	cancel  context.CancelFunc
	mu      sync.Mutex
	owned   []coordination.ShardLoad
	left    bool
}

func (d *domain) with(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *domain) Heartbeat(ctx context.Context, address string, hb coordination.Heartbeat) (coordination.Heartbeat, error) {
	d.mu.Lock()
	peer, cut := d.entries[address], d.cut
	d.mu.Unlock()
	if peer == nil || cut {
		return coordination.Heartbeat{}, coordination.ErrNotSent
	}
	return peer.members.HandleHeartbeat(ctx, hb)
}

func (d *domain) List(context.Context, devplatform.ListRequest) (devplatform.VMListReply, error) {
	reply := devplatform.VMListReply{Version: 1}
	for i := range 3 {
		reply.VMs = append(reply.VMs, devplatform.VM{ID: fmt.Sprint("vm", i), Incarnation: "i1", Role: devplatform.RoleEntry, State: devplatform.VMLive, Domain: "a", Address: fmt.Sprint("10.0.0.", i, ":1")})
	}
	return reply, nil
}

func (d *domain) Append(_ context.Context, req devplatform.AppendRequest) (int64, error) {
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

func (d *domain) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
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

func (d *domain) start(t *testing.T, i int) *process {
	t.Helper()
	is := is.New(t)
	id := coordination.EntryID(fmt.Sprint("vm", i, "/i1"))
	p := &process{domain: d, address: fmt.Sprint("10.0.0.", i, ":1")}
	logger := hclog.NewNullLogger()
	members, err := membership.New(membership.Config{Self: id, Domain: "a", Address: p.address}, p.status, d, d, logger, metrics.NewRegistry())
	is.NoErr(err)
	p.members = members
	p.runner = NewRunner(id, "a", testShard, Limits{}, members, d, p, logger)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	d.with(func() { d.entries[p.address] = p })
	go func() { _ = members.Run(ctx) }()
	go func() { _ = p.runner.Run(ctx) }()
	go p.renew(ctx)
	return p
}

func (p *process) status() membership.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return membership.Status{Owned: p.owned, Leaving: p.left}
}

func (p *process) Take(epoch devplatform.Epoch) {
	p.mu.Lock()
	p.owned = []coordination.ShardLoad{{Shard: testShard, Epoch: epoch, Ready: true}}
	p.mu.Unlock()
	p.contact()
	p.members.Announce()
}

func (p *process) Drop(devplatform.Epoch, Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned = nil
}

func (p *process) Probe(context.Context) (devplatform.Epoch, time.Duration, bool) {
	p.domain.mu.Lock()
	defer p.domain.mu.Unlock()
	return p.domain.workerEpoch, time.Since(p.domain.workerContact), true
}

// contact reaches the worker as the owner.
func (p *process) contact() {
	epoch, owning := p.held()
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

func (p *process) held() (devplatform.Epoch, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.owned) == 0 {
		return devplatform.Epoch{}, false
	}
	return p.owned[0].Epoch, true
}

func (p *process) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.contact()
		}
	}
}

// kill ends a process at once: it can't say anything any more.
func (d *domain) kill(p *process) {
	d.with(func() { delete(d.entries, p.address) })
	p.cancel()
}

func (d *domain) stop() {
	d.with(func() {
		for _, p := range d.entries {
			p.cancel()
		}
	})
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// owners returns the running processes that own the shard.
func (d *domain) owners() []*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	var owners []*process
	for _, p := range d.entries {
		if _, owning := p.runner.Current(); owning {
			owners = append(owners, p)
		}
	}
	return owners
}

// known reports whether every running entry knows the shard's owner.
func (d *domain) known(owner *process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.entries {
		if got, ok := p.members.Snapshot().Owner(testShard); !ok || !got.Ready || got.Address != owner.address {
			return false
		}
	}
	return true
}

func runDomain(t *testing.T, test func(t *testing.T, d *domain)) {
	synctest.Test(t, func(t *testing.T) {
		d := &domain{entries: map[string]*process{}}
		defer d.stop()
		for i := range 3 {
			d.start(t, i)
		}
		time.Sleep(10 * time.Second)
		test(t, d)
	})
}

func TestRunnerReplacesAKilledOwner(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		t.Run(fmt.Sprint("log down ", logDown), func(t *testing.T) {
			runDomain(t, func(t *testing.T, d *domain) {
				is := is.New(t)
				is.Equal(len(d.owners()), 1)
				d.with(func() { d.logDown = logDown })
				d.kill(d.owners()[0])
				killed := time.Now()
				for len(d.owners()) == 0 || !d.known(d.owners()[0]) {
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
	runDomain(t, func(t *testing.T, d *domain) {
		is := is.New(t)
		old := d.owners()[0]
		old.mu.Lock()
		old.left = true
		old.mu.Unlock()
		old.members.Announce()
		old.runner.Leave()
		begun := time.Now()
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
		t.Log("released after", time.Since(begun), "without an owner", gap)
		is.True(time.Since(begun) < DefaultHandoverBound)
		is.Equal(gap, time.Duration(0))
		is.Equal(len(d.owners()), 1)
		is.True(d.owners()[0] != old)
	})
}

func TestRunnersThatCannotSeeEachOtherKeepTheOwner(t *testing.T) {
	runDomain(t, func(t *testing.T, d *domain) {
		is := is.New(t)
		old := d.owners()[0]
		d.with(func() {
			d.cut = true
			d.logDown = true
		})
		time.Sleep(time.Minute)
		is.Equal(len(d.owners()), 1)
		is.True(d.owners()[0] == old)
	})
}
