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

// oneDomain has two entries that can replace each other, and short leases, so
// that a pause outlasts them.
var oneDomain = shape{domains: []string{"north"}, entries: 2, upstreams: 3, settings: `
[upstream]
lease = "2s"
sync_wait = "500ms"
timeout = "1s"
`}

// slotsOfOneDomain is the team's upper limit in these tests, below what the
// upstreams hold.
const slotsOfOneDomain = 16

// verify ends the load and judges. Every caller must have had a whole answer.
func verify(t *testing.T, c *cluster, cs *callers) {
	t.Helper()
	is := is.New(t)
	c.settle()
	for _, told := range cs.all() {
		is.NoErr(told.err)
	}
	is.Equal(c.check(cs, slotsOfOneDomain), nil)
}

// waitNewOwner waits until an entry other than old owns the shard and serves.
func waitNewOwner(c *cluster, cs *callers, old *entryProcess) time.Duration {
	c.t.Helper()
	begin := time.Now()
	survivor := c.other(old)
	eventually(c.t, "a new owner serves", func() error {
		got := cs.submit(survivor, request(0, "probe", true))
		if got.job == nil || got.job.State != state.JobSucceeded {
			return fmt.Errorf("status %d", got.status)
		}
		return nil
	})
	return time.Since(begin)
}

func TestOwnerKilled(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
	}{
		{name: "idempotent requests", idempotent: true},
		{name: "requests that run at most once", idempotent: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := startCluster(t, oneDomain)
			cs := &callers{c: c}
			owner := c.owner()
			survivor := c.other(owner)
			l := startLoad(cs, 8, tt.idempotent, func(int64) *entryProcess { return survivor })
			cs.after(100)
			unready := c.watchReadiness(survivor)
			owner.kill()
			gap := waitNewOwner(c, cs, owner)
			is.New(t).Equal(unready(), 0)
			t.Logf("time without an owner: %s", gap.Round(time.Millisecond))
			cs.after(100)
			l.end()
			verify(t, c, cs)
		})
	}
}

// TestOwnerPausedPastItsLease stops the owner's process for longer than its
// leases and lets it go on with decisions in hand.
func TestOwnerPausedPastItsLease(t *testing.T) {
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	owner := c.owner()
	survivor := c.other(owner)
	l := startLoad(cs, 8, true, func(int64) *entryProcess { return survivor })
	cs.after(100)
	owner.signal(syscall.SIGSTOP)
	waitNewOwner(c, cs, owner)
	cs.after(200)
	time.Sleep(3 * time.Second)
	owner.signal(syscall.SIGCONT)
	eventually(t, "the old owner knows its successor", func() error {
		for _, shard := range c.status(owner).Shards {
			if string(shard.Owner.VM()) == survivor.vm && shard.Ready {
				return nil
			}
		}
		return errNotYet
	})
	cs.after(200)
	l.end()
	verify(t, c, cs)
}

// TestLogDown takes the log service away for the rest of the run and kills the
// owner.
func TestLogDown(t *testing.T) {
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	down := standin.Faults{Log: logservice.Faults{Switches: faults.Switches{Down: faults.Drop}}}
	down.VMs.Down = faults.Drop
	c.faults(c.platform, down)
	owner := c.owner()
	survivor := c.other(owner)
	l := startLoad(cs, 4, true, func(int64) *entryProcess { return survivor })
	cs.after(100)
	owner.kill()
	waitNewOwner(c, cs, owner)
	cs.after(100)
	l.end()
	base := v1.AnyVersion
	status, data, err := c.call(http.MethodPut, survivor.callers, "/v1/contracts/"+string(team), bootstrapKey,
		v1.PutContract{Write: v1.Write{BaseVersion: &base}, Contract: contract(8)})
	is := is.New(t)
	is.NoErr(err)
	if status != http.StatusServiceUnavailable {
		t.Errorf("a change without the log service got status %d: %s", status, data)
	}
	verify(t, c, cs)
}

// TestLogAnswersLost loses answers of the log service after the writes took
// effect: each change is folded once and reported as accepted.
func TestLogAnswersLost(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	c.faults(c.platform, standin.Faults{Log: logservice.Faults{Switches: faults.Switches{Lose: faults.Lose{Next: 3}}}})
	base := v1.AnyVersion
	var granted v1.GrantedKey
	c.must(http.MethodPost, c.entries[0].callers, "/v1/keys", bootstrapKey, v1.GrantKey{ID: "second", Team: team, Role: v1.RoleCaller}, &granted)
	var first v1.WriteResult
	c.must(http.MethodPut, c.entries[0].callers, "/v1/contracts/"+string(team), bootstrapKey, v1.PutContract{Write: v1.Write{BaseVersion: &base, WriteID: "w-1"}, Contract: contract(6)}, &first)
	var again v1.WriteResult
	c.must(http.MethodPut, c.entries[1].callers, "/v1/contracts/"+string(team), bootstrapKey, v1.PutContract{Write: v1.Write{BaseVersion: &base, WriteID: "w-1"}, Contract: contract(6)}, &again)
	is.Equal(first.Version, again.Version)
	for _, e := range c.entries {
		c.waitKey(e, granted.Bearer, true)
	}
}

// TestOperatorsRace lets two operators change the same contract at once through
// different entries.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	for round := range 5 {
		var before v1.VersionedContract
		c.must(http.MethodGet, c.entries[0].callers, "/v1/contracts/"+string(team), bootstrapKey, nil, &before)
		statuses := make([]int, len(c.entries))
		var wg sync.WaitGroup
		for i, e := range c.entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				put := v1.PutContract{Write: v1.Write{BaseVersion: &before.Version}, Contract: contract(int64(10 + 2*round + i))}
				statuses[i], _, _ = c.call(http.MethodPut, e.callers, "/v1/contracts/"+string(team), bootstrapKey, put)
			}()
		}
		wg.Wait()
		is.Equal(statuses[0]+statuses[1], http.StatusOK+http.StatusConflict)
		eventually(t, "both entries agree", func() error {
			var a, b v1.VersionedContract
			c.must(http.MethodGet, c.entries[0].callers, "/v1/contracts/"+string(team), bootstrapKey, nil, &a)
			c.must(http.MethodGet, c.entries[1].callers, "/v1/contracts/"+string(team), bootstrapKey, nil, &b)
			if a.Version != b.Version || a.Version == before.Version {
				return errNotYet
			}
			return nil
		})
	}
}

// TestSilentConnections lets every open connection of a worker go silent for
// good, while new ones work.
func TestSilentConnections(t *testing.T) {
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	l := startLoad(cs, 8, false, func(n int64) *entryProcess { return c.entries[n%2] })
	cs.after(50)
	for range 2 {
		for _, address := range c.upstreams {
			c.faults(address, worker.Faults{Switches: faults.Switches{SilenceOpen: true}})
		}
		cs.after(50)
	}
	l.end()
	verify(t, c, cs)
}

// TestBlackHole makes one worker fail everything it starts at once: the others
// go on, and it does not draw all the work.
func TestBlackHole(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	c.faults(c.upstreams["north-up1"], worker.Faults{BlackHole: true})
	l := startLoad(cs, 8, true, func(n int64) *entryProcess { return c.entries[n%2] })
	cs.after(300)
	l.end()
	verify(t, c, cs)
	is.True(cs.succeeded() > 200)
}

// TestWorkerRestarted loses the tasks of a worker: work that may run again is
// run elsewhere, other work is answered as unknown.
func TestWorkerRestarted(t *testing.T) {
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	l := startLoad(cs, 8, false, func(n int64) *entryProcess { return c.entries[n%2] })
	cs.after(50)
	for range 3 {
		c.faults(c.upstreams["north-up1"], worker.Faults{Restart: true})
		cs.after(50)
	}
	l.end()
	verify(t, c, cs)
}
