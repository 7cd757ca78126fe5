package e2e

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/vmlist"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// separateDomains has two domains on subnets of their own, so that a network
// partition between them can be simulated.
var separateDomains = clusterSpec{domains: []string{"north", "south"}, entries: 2, upstreams: 2, separateSubnets: true, settings: `
[upstream]
lease = "2s"
sync_wait = "500ms"
timeout = "1s"
`}

// partitionHoldTeam is a team whose contract has the policy v1.PartitionHold: a domain
// refuses its new work while the domain is partitioned from the others.
const partitionHoldTeam = state.TeamID("permits")

// isolateDomain partitions a domain from the platform, from the entries of the other
// domains and from the workers of the other domains. An empty domain heals the
// partition.
func (c *cluster) isolateDomain(domain string) {
	c.t.Helper()
	var prefixes []netip.Prefix
	if domain != "" {
		prefixes = []netip.Prefix{c.subnets[domain]}
	}
	switches := faults.Switches{Partitioned: prefixes}
	c.partition.isolate(c.subnets[domain])
	c.setFaults(c.platform, standin.Faults{Log: logservice.Faults{Switches: switches}, VMs: vmlist.Faults{Switches: switches}})
	for vm, address := range c.upstreams {
		if c.history(vm).Domain != domain {
			c.setFaults(address, worker.Faults{Switches: switches})
		}
	}
}

// entriesOf returns the entries of a domain.
func (c *cluster) entriesOf(domain string) []*entryProcess {
	var list []*entryProcess
	for _, e := range c.entries {
		if e.domain == domain {
			list = append(list, e)
		}
	}
	return list
}

// successRate returns the number of successful requests per second while f runs.
func (client *recordingClient) successRate(f func()) float64 {
	begin, before := time.Now(), client.succeeded()
	f()
	return float64(client.succeeded()-before) / time.Since(begin).Seconds()
}

// submitAs submits with the given key and returns the outcome without recording it.
func (c *cluster) submitAs(e *entryProcess, key string, request v1.SubmitRequest) outcome {
	c.t.Helper()
	status, data, err := c.call(http.MethodPost, e.callerAddr, "/v1/jobs", key, request)
	got := outcome{request: request, status: status, err: err}
	if err == nil {
		got.err = got.decode(data)
	}
	return got
}

// waitVersion waits until all entries have folded the same configuration version and
// it is at least the given one.
func (c *cluster) waitVersion(version int64) {
	c.t.Helper()
	eventually(c.t, "all entries have the same configuration version", func() error {
		versions := map[int64]bool{}
		lowest := c.status(c.entries[0]).Version
		for _, e := range c.entries {
			v := c.status(e).Version
			versions[v] = true
			lowest = min(lowest, v)
		}
		if len(versions) != 1 || lowest < version {
			return fmt.Errorf("versions %v, want at least %d", versions, version)
		}
		return nil
	})
}

// TestDomainPartitionHeals partitions a failure domain from the other one and from
// the platform under load, changes the configuration in the meantime, and heals the
// partition. The isolated domain must keep serving at no less than half of its
// earlier rate, and refuse new work of a team with v1.PartitionHold.
func TestDomainPartitionHeals(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, separateDomains)
	north, south := c.entriesOf("north"), c.entriesOf("south")
	partitionHold := contract(4)
	partitionHold.PartitionPolicy = v1.PartitionHold
	c.putTeamContract(south[0].callerAddr, partitionHoldTeam, partitionHold)
	partitionHoldKey := c.grantKey(south[0].callerAddr, "held-key", partitionHoldTeam)
	withdrawnKey := c.grantKey(south[0].callerAddr, "withdrawn", team)
	for _, e := range c.entries {
		c.waitKey(e, partitionHoldKey, true)
		c.waitKey(e, withdrawnKey, true)
	}
	isolatedClient, connectedClient := &recordingClient{c: c}, &recordingClient{c: c}
	loads := []*load{
		startLoadWithRunTime(isolatedClient, 18, 50*time.Millisecond, true, func(n int64) *entryProcess { return north[n%2] }),
		startLoadWithRunTime(connectedClient, 18, 50*time.Millisecond, true, func(n int64) *entryProcess { return south[n%2] }),
	}
	isolatedClient.waitOutcomes(100)
	before := isolatedClient.successRate(func() { isolatedClient.waitOutcomes(600) })

	c.isolateDomain("north")
	var version int64
	during := isolatedClient.successRate(func() {
		version = changeConfigDuringPartition(c, south, withdrawnKey)
		refused := waitWorkRefused(c, north[0], partitionHoldKey)
		is.Equal(refused.refusal.NotRun, state.NotRun)
		is.True(refused.refusal.RetryAfterMS > 0)
		isolatedClient.waitOutcomes(100)
	})
	connectedCount := len(connectedClient.all())
	connectedClient.waitOutcomes(100)
	t.Logf("goodput in the isolated domain: %.0f/s before, %.0f/s during the partition (the other domain gave %d responses)", before, during, connectedCount)
	is.True(during > before/2)
	status, _, err := c.call(http.MethodGet, north[0].callerAddr, "/v1/jobs/north.01980000-0000-7000-8000-000000000000", withdrawnKey, nil)
	is.NoErr(err)
	t.Logf("withdrawn key in the isolated domain during the partition: status %d", status)

	c.isolateDomain("")
	healed := time.Now()
	for _, e := range c.entries {
		c.waitKey(e, withdrawnKey, false)
	}
	t.Logf("withdrawn key refused by all entries %s after the partition healed", time.Since(healed).Round(time.Millisecond))
	c.waitVersion(version)
	t.Logf("same configuration version on all entries %s after the partition healed", time.Since(healed).Round(time.Millisecond))
	c.waitInForce(c.entries[0], version)
	inForce := time.Now()
	t.Logf("contract in force on all entries %s after the partition healed", time.Since(healed).Round(time.Millisecond))
	isolatedClient.waitOutcomes(100)
	connectedClient.waitOutcomes(100)
	for _, l := range loads {
		l.stopAndWait()
	}
	c.waitIdle()
	allClients := mergeClients(isolatedClient, connectedClient)
	for _, got := range allClients.all() {
		is.NoErr(got.err)
	}
	is.Equal(c.check(allClients, 32), nil)
	is.Equal(checkLimit(runsAfter(runsOf(c.runs(), team), inForce), 24), nil)
	is.Equal(checkSucceededOnce(c.runs(), allClients.all()), nil)
}

// changeConfigDuringPartition withdraws a key and lowers the team's limit through the
// domain that is not isolated, and returns the version of the last change.
func changeConfigDuringPartition(c *cluster, entries []*entryProcess, key string) int64 {
	c.t.Helper()
	id := "withdrawn"
	begin := time.Now()
	c.mustCall(http.MethodDelete, entries[0].callerAddr, "/v1/keys/"+id, bootstrapKey, nil, nil)
	for _, e := range entries {
		c.waitKey(e, key, false)
	}
	c.t.Logf("withdrawn key refused outside the isolated domain after %s", time.Since(begin).Round(time.Millisecond))
	return c.putContract(entries[0].callerAddr, contract(24)).Version
}

// waitWorkRefused waits until an entry refuses new work because no shard owner is
// available, as a contract with v1.PartitionHold requires during a partition.
func waitWorkRefused(c *cluster, e *entryProcess, key string) outcome {
	c.t.Helper()
	var got outcome
	eventually(c.t, "new work is refused", func() error {
		got = c.submitAs(e, key, request(0, "held", true))
		if got.err != nil || got.refusal == nil || got.refusal.Reason != state.ReasonNoOwner {
			return fmt.Errorf("status %d", got.status)
		}
		return nil
	})
	return got
}

// waitInForce waits until an entry reports that a configuration version is in force
// on all entries.
func (c *cluster) waitInForce(e *entryProcess, version int64) {
	c.t.Helper()
	eventually(c.t, "the version is in force on all entries", func() error {
		var status v1.VersionStatus
		c.mustCall(http.MethodGet, e.callerAddr, "/v1/versions/"+itoa(version), bootstrapKey, nil, &status)
		if !status.InForce {
			return errNotYet
		}
		return nil
	})
}

// checkSucceededOnce finds jobs of the request class that were reported as succeeded
// and do not have exactly one completed run.
func checkSucceededOnce(runs []workerRun, all []outcome) []string {
	var faults []string
	done := map[string]int{}
	for _, r := range runs {
		if r.End == "succeeded" {
			done[r.JobID]++
		}
	}
	for _, o := range all {
		if o.job == nil || o.job.State != state.JobSucceeded || o.request.Class != state.ClassRequest {
			continue
		}
		if n := done[string(o.id)]; n != 1 {
			faults = append(faults, fmt.Sprintf("job %s was reported as succeeded and has %d completed runs, want 1", o.id, n))
		}
	}
	return faults
}
