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

// separateDomains can be cut off from each other.
var separateDomains = shape{domains: []string{"north", "south"}, entries: 2, upstreams: 2, separate: true, settings: `
[upstream]
lease = "2s"
sync_wait = "500ms"
timeout = "1s"
`}

// heldTeam holds new work while its domain is cut off.
const heldTeam = state.TeamID("permits")

// cut cuts a domain off from the platform, from the other entries and from the
// workers of the other domains; with an empty domain it heals the cut.
func (c *cluster) cut(domain string) {
	c.t.Helper()
	var prefixes []netip.Prefix
	if domain != "" {
		prefixes = []netip.Prefix{c.subnets[domain]}
	}
	switches := faults.Switches{Cut: prefixes}
	c.partition.isolate(c.subnets[domain])
	c.faults(c.platform, standin.Faults{Log: logservice.Faults{Switches: switches}, VMs: vmlist.Faults{Switches: switches}})
	for vm, address := range c.upstreams {
		if c.history(vm).Domain != domain {
			c.faults(address, worker.Faults{Switches: switches})
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

// rate counts the requests that succeed in a second while during runs.
func (cs *callers) rate(during func()) float64 {
	begin, before := time.Now(), cs.succeeded()
	during()
	return float64(cs.succeeded()-before) / time.Since(begin).Seconds()
}

// submitAs submits with a key of its own and returns the status and refusal.
func (c *cluster) submitAs(e *entryProcess, key string, request v1.SubmitRequest) told {
	c.t.Helper()
	status, data, err := c.call(http.MethodPost, e.callers, "/v1/jobs", key, request)
	got := told{request: request, status: status, err: err}
	if err == nil {
		got.err = got.decode(data)
	}
	return got
}

// waitVersion waits until all entries have folded a version, and all the same.
func (c *cluster) waitVersion(version int64) {
	c.t.Helper()
	eventually(c.t, "all entries have the same version", func() error {
		versions := map[int64]bool{}
		lowest := c.status(c.entries[0]).Version
		for _, e := range c.entries {
			v := c.status(e).Version
			versions[v] = true
			lowest = min(lowest, v)
		}
		if len(versions) != 1 || lowest < version {
			return fmt.Errorf("versions %v, wanted %d", versions, version)
		}
		return nil
	})
}

// TestDomainCutAndHealed cuts a failure domain off from the other one and from
// the platform under load, changes the configuration meanwhile, and heals the
// cut.
func TestDomainCutAndHealed(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, separateDomains)
	north, south := c.entriesOf("north"), c.entriesOf("south")
	held := contract(4)
	held.PartitionPolicy = v1.PartitionHold
	c.putContractOf(south[0].callers, heldTeam, held)
	heldKey := c.grant(south[0].callers, "held-key", heldTeam)
	withdrawn := c.grant(south[0].callers, "withdrawn", team)
	for _, e := range c.entries {
		c.waitKey(e, heldKey, true)
		c.waitKey(e, withdrawn, true)
	}
	cut, rest := &callers{c: c}, &callers{c: c}
	loads := []*load{
		startLoadOf(cut, 18, 50*time.Millisecond, true, func(n int64) *entryProcess { return north[n%2] }),
		startLoadOf(rest, 18, 50*time.Millisecond, true, func(n int64) *entryProcess { return south[n%2] }),
	}
	cut.after(100)
	before := cut.rate(func() { cut.after(600) })

	c.cut("north")
	var version int64
	during := cut.rate(func() {
		version = changeDuringCut(c, south, withdrawn)
		refused := waitHeld(c, north[0], heldKey)
		is.Equal(refused.refusal.NotRun, state.NotRun)
		is.True(refused.refusal.RetryAfterMS > 0)
		cut.after(100)
	})
	restCount := len(rest.all())
	rest.after(100)
	t.Logf("goodput in the cut domain: before %.0f/s, during the cut %.0f/s (the other domain gave %d answers)", before, during, restCount)
	is.True(during > before/2)
	status, _, err := c.call(http.MethodGet, north[0].callers, "/v1/jobs/north.01980000-0000-7000-8000-000000000000", withdrawn, nil)
	is.NoErr(err)
	t.Logf("the withdrawn key in the cut domain during the cut: status %d", status)

	c.cut("")
	healed := time.Now()
	for _, e := range c.entries {
		c.waitKey(e, withdrawn, false)
	}
	t.Logf("withdrawn key refused everywhere %s after the heal", time.Since(healed).Round(time.Millisecond))
	c.waitVersion(version)
	t.Logf("same version everywhere %s after the heal", time.Since(healed).Round(time.Millisecond))
	c.waitInForce(c.entries[0], version)
	inForce := time.Now()
	t.Logf("the contract is in force everywhere %s after the heal", time.Since(healed).Round(time.Millisecond))
	cut.after(100)
	rest.after(100)
	for _, l := range loads {
		l.end()
	}
	c.settle()
	all := together(cut, rest)
	for _, told := range all.all() {
		is.NoErr(told.err)
	}
	is.Equal(c.check(all, 32), nil)
	is.Equal(checkLimit(since(runsOf(c.runs(), team), inForce), 24), nil)
	is.Equal(lostAndDoubled(c.runs(), all.all()), nil)
}

// changeDuringCut withdraws a key and lowers the team's limit on the side that
// is not cut off, and returns the version of the last change.
func changeDuringCut(c *cluster, entries []*entryProcess, key string) int64 {
	c.t.Helper()
	id := "withdrawn"
	begin := time.Now()
	c.must(http.MethodDelete, entries[0].callers, "/v1/keys/"+id, bootstrapKey, nil, nil)
	for _, e := range entries {
		c.waitKey(e, key, false)
	}
	c.t.Logf("withdrawn key refused outside the cut after %s", time.Since(begin).Round(time.Millisecond))
	return c.putContract(entries[0].callers, contract(24)).Version
}

// waitHeld waits until an entry refuses new work of a team whose contract holds
// it during a cut.
func waitHeld(c *cluster, e *entryProcess, key string) told {
	c.t.Helper()
	var got told
	eventually(c.t, "new work is held", func() error {
		got = c.submitAs(e, key, request(0, "held", true))
		if got.err != nil || got.refusal == nil || got.refusal.Reason != state.ReasonNoOwner {
			return fmt.Errorf("status %d", got.status)
		}
		return nil
	})
	return got
}

// waitInForce waits until an entry knows that a version is in force everywhere.
func (c *cluster) waitInForce(e *entryProcess, version int64) {
	c.t.Helper()
	eventually(c.t, "the version is in force everywhere", func() error {
		var status v1.VersionStatus
		c.must(http.MethodGet, e.callers, "/v1/versions/"+itoa(version), bootstrapKey, nil, &status)
		if !status.InForce {
			return errNotYet
		}
		return nil
	})
}

// lostAndDoubled finds jobs that were told to have succeeded and never ran, and
// jobs of which two attempts ran to their end.
func lostAndDoubled(runs []placed, all []told) []string {
	var faults []string
	done := map[string]int{}
	for _, r := range runs {
		if r.End == "succeeded" {
			done[r.JobID]++
		}
	}
	for _, t := range all {
		if t.job == nil || t.job.State != state.JobSucceeded || t.request.Class != state.ClassRequest {
			continue
		}
		if n := done[string(t.id)]; n != 1 {
			faults = append(faults, fmt.Sprintf("job %s succeeded and ran %d times to its end", t.id, n))
		}
	}
	return faults
}
