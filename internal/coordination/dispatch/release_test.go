package dispatch

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// slowLog delays each append and keeps the keys of the records in order.
type slowLog struct {
	port.Log
	delay time.Duration
	// newest holds the newest record of each key.
	newest []ledger.Record
	mu     sync.Mutex
	keys   []string
}

func (l *slowLog) Append(_ context.Context, a port.Append) (int64, error) {
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range a.Records {
		l.keys = append(l.keys, r.Key)
	}
	return int64(len(l.keys)), nil
}

func (l *slowLog) Read(ctx context.Context, _ port.Topic, from int64, _ time.Duration) (port.Batch, error) {
	<-ctx.Done()
	return port.Batch{Next: from}, ctx.Err()
}

func (l *slowLog) NewestPage(context.Context, port.Topic, string) (port.Batch, error) {
	return port.Batch{Records: append([]ledger.Record{{Key: "nobody"}}, l.newest...)}, nil
}

type stubDecoder struct{}

func (stubDecoder) Config(ledger.Record) (*workload.Config, error) {
	return &workload.Config{Version: 1}, nil
}

func (stubDecoder) Evacuation(ledger.Record) (request evacuation.Request, ok bool, err error) {
	return request, false, nil
}

func (stubDecoder) Upstream(ledger.Record) (workload.Upstream, error) {
	return workload.Upstream{}, errors.New("no registration")
}

// loadedReplica returns a replica that has loaded the log and follows it.
func loadedReplica(t *testing.T, log port.Log) *replica.Replica {
	r := replica.New(log, stubDecoder{}, hclog.NewNullLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	for !r.Health().Loaded {
		time.Sleep(time.Millisecond)
	}
	return r
}

// fencingLog rejects all appends, as after the claim of a newer owner.
type fencingLog struct{ slowLog }

func (l *fencingLog) Append(context.Context, port.Append) (int64, error) { return 0, port.ErrFenced }

// nominations counts the calls to a successor.
type nominations struct {
	Peers
	count atomic.Int64
}

func (n *nominations) Nominate(context.Context, string, ledger.Claim) error {
	n.count.Add(1)
	return nil
}

// TestFencedReleaseNominatesNobody checks that an owner whose release is not recorded
// neither reports a release nor nominates a successor.
func TestFencedReleaseNominatesNobody(t *testing.T) {
	is := is.New(t)
	entry, err := ledger.EntryRecord(&ledger.Entry{Name: "other", Address: "127.0.0.1:1", CPUShare: 0.8})
	is.NoErr(err)
	log := &fencingLog{slowLog{newest: []ledger.Record{entry}}}
	var out bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &out, Mutex: &sync.Mutex{}})
	r := loadedReplica(t, log)
	peers := &nominations{}
	m := NewManager(Config{Log: log, Decoder: stubDecoder{}, Replica: r, Peers: peers, Name: "self", Lease: 5 * time.Second, Logger: logger, Registry: metrics.NewRegistry()})
	o := m.deps.newOwner(context.Background(), ledger.Claim{Epoch: 70_000, Entry: "self"})
	released := make(chan struct{})
	o.release(released)
	<-released
	o.group.Wait()
	is.Equal(peers.count.Load(), int64(0))
	is.True(!strings.Contains(out.String(), "ownership released"))
	is.True(strings.Contains(out.String(), "release not recorded"))
}

// TestReleaseRecordsWaitingRequests checks that the requests passed to an owner that is
// stopped are recorded before the release, even while an append is in flight.
func TestReleaseRecordsWaitingRequests(t *testing.T) {
	is := is.New(t)
	log := &slowLog{delay: 60 * time.Millisecond}
	r := loadedReplica(t, log)
	m := NewManager(Config{Log: log, Decoder: stubDecoder{}, Replica: r, Name: "self", Lease: 5 * time.Second, Logger: hclog.NewNullLogger(), Registry: metrics.NewRegistry()})
	done := make(chan struct{})
	go func() {
		m.serve(context.Background(), ledger.Claim{Epoch: 70_000, Entry: "self"})
		close(done)
	}()
	for m.owner() == nil {
		time.Sleep(time.Millisecond)
	}
	var group sync.WaitGroup
	for _, id := range []workload.JobID{"00000000000000aa", "00000000000000bb", "00000000000000cc"} {
		record, err := ledger.JobRecord(&workload.Job{ID: id, Steps: []workload.Step{{Count: 1}}})
		is.NoErr(err)
		group.Go(func() {
			if err := m.Record(context.Background(), record); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(20 * time.Millisecond) // the later requests wait for the first append
	}
	close(m.done)
	began := time.Now()
	m.Stop(context.Background())
	group.Wait()
	<-done
	is.True(time.Since(began) < time.Second)
	is.Equal(log.keys[len(log.keys)-1], "owner") // the release is recorded last
}
