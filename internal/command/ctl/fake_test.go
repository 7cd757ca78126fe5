package ctl

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/samphirerail/samphirerail/internal/coordination"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/httpapi"
)

const (
	operatorKey = "root.secret"
	callerKey   = "band.secret"
	jobID       = state.JobID("east.018f5b3e-7c00-7000-8000-000000000001")
)

// cluster is a small fake behind the real HTTP interface.
type cluster struct {
	mu        sync.Mutex
	version   int64
	written   map[string]v1.WriteResult
	contracts map[state.TeamID]v1.VersionedContract
	keys      map[string]v1.GrantKey
	queues    map[state.QueueID]v1.QueueStatus
	domains   v1.DomainList
	drained   map[state.VMID]bool
	submitted []coordination.Submission
	// end is the end of every job; missing are the entries that don't confirm.
	end     coordination.JobStatus
	missing []coordination.EntryID
	// race changes each contract once between its reading and its writing.
	race bool
	// lost is how many answers to writes and submissions are still to be lost.
	lost int
	// onRead, when not nil, is called by the second read of a job or version.
	onRead func()
	reads  int
}

// read counts the reads that a waiting command repeats.
func (c *cluster) read() {
	c.reads++
	if c.reads == 2 && c.onRead != nil {
		c.onRead()
	}
}

func newCluster() *cluster {
	return &cluster{
		version:   10,
		written:   make(map[string]v1.WriteResult),
		contracts: make(map[state.TeamID]v1.VersionedContract),
		keys:      make(map[string]v1.GrantKey),
		queues:    make(map[state.QueueID]v1.QueueStatus),
		domains:   v1.DomainList{Version: v1.NoVersion},
		drained:   make(map[state.VMID]bool),
		end:       coordination.JobStatus{State: state.JobSucceeded, Outputs: [][]byte{[]byte("size 52\n")}},
	}
}

// serve returns the IP:port of an entry of the cluster.
func (c *cluster) serve(t *testing.T) string {
	handler := httpapi.NewHandler(httpapi.Config{
		Jobs: c, Operations: c, Auth: c,
		Health:   httpapi.NewHealth(func() error { return nil }),
		Logger:   hclog.NewNullLogger(),
		Registry: metrics.NewRegistry(),
		Tracer:   noop.NewTracerProvider(),
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.loses(r) {
			handler.ServeHTTP(w, r)
			return
		}
		handler.ServeHTTP(httptest.NewRecorder(), r)
		connection, _, _ := w.(http.Hijacker).Hijack()
		_ = connection.Close()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (c *cluster) loses(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Method == http.MethodGet || r.URL.Path == "/v1/ids" || c.lost == 0 {
		return false
	}
	c.lost--
	return true
}

// write folds a write once and checks its base version.
func (c *cluster) write(object string, write v1.Write, current int64, apply func(version int64)) (v1.WriteResult, error) {
	if result, ok := c.written[write.WriteID]; ok {
		return result, nil
	}
	if write.Base() != v1.AnyVersion && write.Base() != current {
		return v1.WriteResult{}, &v1.ConflictError{Object: object, Current: current}
	}
	c.version++
	apply(c.version)
	result := v1.WriteResult{Version: c.version, WriteID: write.WriteID}
	c.written[write.WriteID] = result
	return result, nil
}

func notFound(what string) error {
	return &state.Refusal{Reason: state.ReasonNotFound, Verdict: state.NotRun, Detail: "there is no " + what, Remedy: "list what there is"}
}

func (c *cluster) Contracts(context.Context) (v1.ContractList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := v1.ContractList{Contracts: slices.Collect(maps.Values(c.contracts))}
	if c.race {
		for team, contract := range c.contracts {
			c.version++
			contract.Version = c.version
			c.contracts[team] = contract
		}
	}
	return list, nil
}

func (c *cluster) Contract(_ context.Context, team state.TeamID) (v1.VersionedContract, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contract, ok := c.contracts[team]
	if !ok {
		return contract, notFound("contract " + string(team))
	}
	return contract, nil
}

func (c *cluster) current(team state.TeamID) int64 {
	if contract, ok := c.contracts[team]; ok {
		return contract.Version
	}
	return v1.NoVersion
}

func (c *cluster) PutContract(_ context.Context, contract v1.Contract, write v1.Write) (v1.WriteResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write("contract "+string(contract.Team), write, c.current(contract.Team), func(version int64) {
		c.contracts[contract.Team] = v1.VersionedContract{Contract: contract, Version: version}
	})
}

func (c *cluster) WithdrawContract(_ context.Context, team state.TeamID, write v1.Write) (v1.WriteResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write("contract "+string(team), write, c.current(team), func(int64) { delete(c.contracts, team) })
}

func (c *cluster) GrantKey(_ context.Context, key v1.GrantKey) (v1.GrantedKey, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := v1.NoVersion
	if _, ok := c.keys[key.ID]; ok {
		current = c.version
	}
	result, err := c.write("key "+key.ID, key.Write, current, func(int64) { c.keys[key.ID] = key })
	return v1.GrantedKey{WriteResult: result, ID: key.ID}, err
}

func (c *cluster) WithdrawKey(_ context.Context, id string, write v1.Write) (v1.WriteResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write("key "+id, write, v1.AnyVersion, func(int64) { delete(c.keys, id) })
}

func (c *cluster) PutQueue(_ context.Context, queue v1.Queue, write v1.Write) (v1.WriteResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := v1.NoVersion
	if old, ok := c.queues[queue.ID]; ok {
		current = old.Version
	}
	return c.write("queue "+string(queue.ID), write, current, func(version int64) {
		c.queues[queue.ID] = v1.QueueStatus{Queue: queue, Version: version}
	})
}

func (c *cluster) CloseQueue(_ context.Context, id state.QueueID, write v1.Write) (v1.WriteResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.queues[id]
	if !ok {
		return v1.WriteResult{}, notFound("queue " + string(id))
	}
	return c.write("queue "+string(id), write, old.Version, func(int64) { delete(c.queues, id) })
}

func (c *cluster) PutDomains(_ context.Context, domains []v1.Domain, write v1.Write) (v1.WriteResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write("domains", write, c.domains.Version, func(version int64) {
		c.domains = v1.DomainList{Domains: domains, Version: version}
	})
}

func (c *cluster) Drain(_ context.Context, vm state.VMID, write v1.Write) (v1.WriteResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write("upstream", write, v1.AnyVersion, func(int64) { c.drained[vm] = true })
}

func (c *cluster) Undrain(_ context.Context, vm state.VMID, write v1.Write) (v1.WriteResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write("upstream", write, v1.AnyVersion, func(int64) { delete(c.drained, vm) })
}

func (c *cluster) Status(context.Context) (v1.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := v1.Status{
		Entry: "e1/1", Domain: "east", Version: c.version, Ready: true, Domains: c.domains,
		Entries: []v1.EntryStatus{{ID: "e1/1", Domain: "east", Address: "127.0.0.1:1", Alive: true, Version: c.version}},
		Shards:  []v1.ShardStatus{{Shard: "east/0", Owner: "e1/1", Epoch: 3, Ready: true, Upstreams: 2, Fenced: 2}},
		Teams:   []v1.TeamStatus{{Team: "band", Queued: 1, Used: v1.Limit{Slots: 1}, Allotment: v1.Limit{Slots: 8}}},
		Keys:    []v1.KeyStatus{{ID: "band", Team: "band", Role: v1.RoleCaller, Version: 4}},
	}
	for _, id := range slices.Sorted(maps.Keys(c.queues)) {
		status.Queues = append(status.Queues, c.queues[id])
	}
	return status, nil
}

func (c *cluster) Version(_ context.Context, version int64) (v1.VersionStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read()
	inForce := len(c.missing) == 0
	return v1.VersionStatus{Version: version, InForce: inForce, Domains: []v1.DomainVersion{
		{Domain: "east", InForce: true},
		{Domain: "west", InForce: inForce, Missing: c.missing},
	}}, nil
}

func (c *cluster) Explain(_ context.Context, id state.JobID) (v1.Explanation, error) {
	job := v1.JobStatus{ID: id, Team: "band", Class: state.ClassBatch, State: state.JobQueued, Waiting: "no free slots"}
	return v1.Explanation{Job: job, Home: "east", Shard: "east/0", Owner: "e1/1", Why: "the domain is full"}, nil
}

func (c *cluster) Submit(_ context.Context, s coordination.Submission) (coordination.JobStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.ContainsFunc(c.submitted, func(old coordination.Submission) bool { return old.ID == s.ID }) {
		c.submitted = append(c.submitted, s)
	}
	return c.statusOf(s.ID), nil
}

func (c *cluster) statusOf(id state.JobID) coordination.JobStatus {
	status := c.end
	status.ID, status.Team, status.Class = id, "band", state.ClassBatch
	return status
}

func (c *cluster) Get(_ context.Context, _ state.TeamID, id state.JobID, _ time.Duration) (coordination.JobStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read()
	return c.statusOf(id), nil
}

func (c *cluster) Cancel(_ context.Context, _ state.TeamID, id state.JobID) (coordination.JobStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statusOf(id), nil
}

func (c *cluster) IssueIDs(n int) []state.JobID {
	ids := make([]state.JobID, n)
	for i := range ids {
		ids[i] = jobID
	}
	return ids
}

func (c *cluster) Authenticate(bearer string) (httpapi.Identity, error) {
	switch bearer {
	case operatorKey:
		return httpapi.Identity{Key: "root", Role: v1.RoleOperator}, nil
	case callerKey:
		return httpapi.Identity{Key: "band", Team: "band", Role: v1.RoleCaller}, nil
	}
	return httpapi.Identity{}, errors.New("no such key")
}

func (c *cluster) Queue(state.QueueID) (httpapi.Queue, bool) { return httpapi.Queue{}, false }

func (c *cluster) Quota(state.TeamID) (httpapi.Quota, bool) {
	return httpapi.Quota{SubmitRate: 1000, Burst: 1000}, true
}

// put writes a contract behind the back of the commands.
func (c *cluster) put(team state.TeamID, weight int) {
	contract := validContract()
	contract.Team = team
	contract.Weight = weight
	c.contracts[team] = v1.VersionedContract{Contract: contract, Version: int64(weight)}
}

// contractText is the file of a contract that put would write.
func contractText(team string, weight int) string {
	return fmt.Sprintf(`team = %q
services = ["service"]
classes = ["batch"]
weight = %d
submit_rate = 1
submit_burst = 1
max_queued = 0
[limit]
cpu_milli = 0
memory_mb = 0
accelerators = 0
slots = 0
`, team, weight)
}
