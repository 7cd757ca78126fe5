package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestOwnerBoundsLargeJobsBeforeTheLogHoldsThem guards against large jobs that arrive faster than the
// owner reads the log.
func TestOwnerBoundsLargeJobsBeforeTheLogHoldsThem(t *testing.T) {
	is := is.New(t)
	config := &workload.Config{Version: 1, Services: []workload.Service{{Name: "s"}}, Queues: []workload.Queue{{Name: "q", Service: "s"}}}
	config.Index()
	log := &slowLog{}
	m := NewManager(Config{Log: log, Decoder: stubDecoder{}, Replica: loadedReplica(t, log), Name: "self", Lease: 5 * time.Second, Logger: hclog.NewNullLogger(), Registry: metrics.NewRegistry()})
	o := m.deps.newOwner(context.Background(), ledger.Claim{Epoch: 70_000, Entry: "self"})
	o.sched = scheduler.New(config, scheduler.Options{FirstRun: 1})
	const megabyte = 1 << 20
	submit := func(id, bytes int) error {
		job := &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", id)), Queue: "q", Steps: []workload.Step{{Count: 1, Image: strings.Repeat("i", bytes)}}}
		r := request{job: job, done: make(chan error, 1)}
		o.addRequest(r)
		select {
		case err := <-r.done:
			return err
		default:
			return nil // it waits for the append
		}
	}
	for i := range ledger.MaxLargeBytes / megabyte {
		is.NoErr(submit(i, megabyte))
	}
	var refused *port.RefusedError
	is.True(errors.As(submit(100, megabyte), &refused))
	is.Equal(refused.Cause, "large_jobs")
	is.True(refused.RetryAfter > 0)
	is.NoErr(submit(1, megabyte)) // an accepted one again
	is.NoErr(submit(101, 1000))
}
