package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// oneDomain has two entries that can take over from each other, and short leases, so
// that a pause outlasts them.
var oneDomain = clusterSpec{domains: []string{"north"}, entries: 2, upstreams: 3, settings: `
[upstream]
lease = "2s"
sync_wait = "500ms"
timeout = "1s"
`}

// oneDomainSlotLimit is the team's upper limit with oneDomain. It is below the capacity
// of the upstreams.
const oneDomainSlotLimit = 16

// verify waits until work has ended and checks the recorded outcomes. Every caller must
// have received a complete response.
func verify(t *testing.T, c *cluster, client *recordingClient) {
	t.Helper()
	is := is.New(t)
	c.waitIdle()
	for _, got := range client.all() {
		is.NoErr(got.err)
	}
	is.Equal(c.check(client, oneDomainSlotLimit), nil)
}

// waitNewOwner waits until a request through another entry than old succeeds, which
// requires a new owner of the shard, and returns how long that took.
func waitNewOwner(c *cluster, client *recordingClient, old *entryProcess) time.Duration {
	c.t.Helper()
	begin := time.Now()
	survivor := c.otherEntry(old)
	eventually(c.t, "a new owner serves requests", func() error {
		got := client.submit(survivor, request(0, "probe", true))
		if got.job == nil || got.job.State != state.JobSucceeded {
			return fmt.Errorf("status %d", got.status)
		}
		return nil
	})
	return time.Since(begin)
}

// TestOwnerKilled kills the shard's owner under load: another entry takes over and stays
// ready throughout.
func TestOwnerKilled(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
	}{
		{name: "idempotent requests", idempotent: true},
		{name: "non-idempotent requests", idempotent: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := startCluster(t, oneDomain)
			client := &recordingClient{c: c}
			owner := c.owner()
			survivor := c.otherEntry(owner)
			l := startLoad(client, 8, tt.idempotent, func(int64) *entryProcess { return survivor })
			client.waitOutcomes(100)
			unready := c.watchReadiness(survivor)
			owner.kill()
			gap := waitNewOwner(c, client, owner)
			is.New(t).Equal(unready(), 0)
			t.Logf("time without an owner: %s", gap.Round(time.Millisecond))
			client.waitOutcomes(100)
			l.stopAndWait()
			verify(t, c, client)
		})
	}
}

// TestOwnerPausedPastItsLease stops the owner's process for longer than its leases and
// resumes it. The decisions that it had pending must not take effect.
func TestOwnerPausedPastItsLease(t *testing.T) {
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	owner := c.owner()
	survivor := c.otherEntry(owner)
	l := startLoad(client, 8, true, func(int64) *entryProcess { return survivor })
	client.waitOutcomes(100)
	owner.signal(syscall.SIGSTOP)
	waitNewOwner(c, client, owner)
	client.waitOutcomes(200)
	time.Sleep(3 * time.Second)
	owner.signal(syscall.SIGCONT)
	eventually(t, "the old owner reports its successor", func() error {
		for _, shard := range c.status(owner).Shards {
			if string(shard.Owner.VM()) == survivor.vm && shard.Ready {
				return nil
			}
		}
		return errNotYet
	})
	client.waitOutcomes(200)
	l.stopAndWait()
	verify(t, c, client)
}

// TestLogServiceDown makes the log service and the VM list unreachable for the rest of
// the test and kills the owner: another entry takes over and serves requests, and a
// contract change is refused.
func TestLogServiceDown(t *testing.T) {
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	down := standin.Faults{Log: logservice.Faults{Switches: faults.Switches{Down: faults.Drop}}}
	down.VMs.Down = faults.Drop
	c.setFaults(c.platform, down)
	owner := c.owner()
	survivor := c.otherEntry(owner)
	l := startLoad(client, 4, true, func(int64) *entryProcess { return survivor })
	client.waitOutcomes(100)
	owner.kill()
	waitNewOwner(c, client, owner)
	client.waitOutcomes(100)
	l.stopAndWait()
	base := v1.AnyVersion
	status, data, err := c.call(http.MethodPut, survivor.callerAddr, "/v1/contracts/"+string(team), bootstrapKey,
		v1.PutContract{Write: v1.Write{BaseVersion: &base}, Contract: contract(8)})
	is := is.New(t)
	is.NoErr(err)
	if status != http.StatusServiceUnavailable {
		t.Errorf("contract change without the log service: status %d, want 503: %s", status, data)
	}
	verify(t, c, client)
}

// TestLogResponsesLost loses responses of the log service after the writes took effect:
// each change is folded once and reported as accepted.
func TestLogResponsesLost(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	c.setFaults(c.platform, standin.Faults{Log: logservice.Faults{Switches: faults.Switches{DropReplies: faults.DropReplies{Next: 3}}}})
	base := v1.AnyVersion
	var granted v1.GrantedKey
	c.mustCall(http.MethodPost, c.entries[0].callerAddr, "/v1/keys", bootstrapKey, v1.GrantKey{ID: "second", Team: team, Role: v1.RoleCaller}, &granted)
	var first v1.WriteResult
	c.mustCall(http.MethodPut, c.entries[0].callerAddr, "/v1/contracts/"+string(team), bootstrapKey, v1.PutContract{Write: v1.Write{BaseVersion: &base, WriteID: "w-1"}, Contract: contract(6)}, &first)
	var again v1.WriteResult
	c.mustCall(http.MethodPut, c.entries[1].callerAddr, "/v1/contracts/"+string(team), bootstrapKey, v1.PutContract{Write: v1.Write{BaseVersion: &base, WriteID: "w-1"}, Contract: contract(6)}, &again)
	is.Equal(first.Version, again.Version)
	for _, e := range c.entries {
		c.waitKey(e, granted.Bearer, true)
	}
}

// TestConcurrentContractChanges lets two operators change the same contract at the same
// time through different entries: one change is accepted, the other gets a conflict.
func TestConcurrentContractChanges(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	for round := range 5 {
		var before v1.VersionedContract
		c.mustCall(http.MethodGet, c.entries[0].callerAddr, "/v1/contracts/"+string(team), bootstrapKey, nil, &before)
		statuses := make([]int, len(c.entries))
		var wg sync.WaitGroup
		for i, e := range c.entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				put := v1.PutContract{Write: v1.Write{BaseVersion: &before.Version}, Contract: contract(int64(10 + 2*round + i))}
				statuses[i], _, _ = c.call(http.MethodPut, e.callerAddr, "/v1/contracts/"+string(team), bootstrapKey, put)
			}()
		}
		wg.Wait()
		is.Equal(statuses[0]+statuses[1], http.StatusOK+http.StatusConflict)
		eventually(t, "both entries report the same new version", func() error {
			var a, b v1.VersionedContract
			c.mustCall(http.MethodGet, c.entries[0].callerAddr, "/v1/contracts/"+string(team), bootstrapKey, nil, &a)
			c.mustCall(http.MethodGet, c.entries[1].callerAddr, "/v1/contracts/"+string(team), bootstrapKey, nil, &b)
			if a.Version != b.Version || a.Version == before.Version {
				return errNotYet
			}
			return nil
		})
	}
}

// TestUnresponsiveConnections permanently stalls every open connection to the workers,
// while new connections work.
func TestUnresponsiveConnections(t *testing.T) {
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	l := startLoad(client, 8, false, func(n int64) *entryProcess { return c.entries[n%2] })
	client.waitOutcomes(50)
	for range 2 {
		for _, address := range c.upstreams {
			c.setFaults(address, worker.Faults{Switches: faults.Switches{SilenceOpen: true}})
		}
		client.waitOutcomes(50)
	}
	l.stopAndWait()
	verify(t, c, client)
}

// TestBlackHole makes one worker fail every task immediately after its start: the other
// workers keep serving, and the failing worker does not attract all the work.
func TestBlackHole(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	c.setFaults(c.upstreams["north-up1"], worker.Faults{BlackHole: true})
	l := startLoad(client, 8, true, func(n int64) *entryProcess { return c.entries[n%2] })
	client.waitOutcomes(300)
	l.stopAndWait()
	verify(t, c, client)
	is.True(client.succeeded() > 200)
}

// TestWorkerRestarted restarts a worker, which loses its tasks: idempotent work runs
// again elsewhere, other work is reported as unknown.
func TestWorkerRestarted(t *testing.T) {
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	l := startLoad(client, 8, false, func(n int64) *entryProcess { return c.entries[n%2] })
	client.waitOutcomes(50)
	for range 3 {
		c.setFaults(c.upstreams["north-up1"], worker.Faults{Restart: true})
		client.waitOutcomes(50)
	}
	l.stopAndWait()
	verify(t, c, client)
}
