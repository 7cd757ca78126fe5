package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// TestSubmitEachClass submits jobs of each class through an entry that owns no shard and
// checks the responses.
func TestSubmitEachClass(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDomains)
	client := &recordingClient{c: c}
	entry := c.otherEntry(c.owner())
	tests := []struct {
		name    string
		request v1.SubmitRequest
		status  int
		state   state.JobState
	}{
		{name: "request", request: request(5*time.Millisecond, "own answer", false), status: http.StatusOK, state: state.JobSucceeded},
		{name: "batch", request: v1.SubmitRequest{Class: state.ClassBatch, Service: "fitting", Tasks: 3, CPUMilli: 100, Payload: []byte("plain"), WaitMS: 20000}, status: http.StatusOK, state: state.JobSucceeded},
		{name: "gang", request: v1.SubmitRequest{Class: state.ClassGang, Service: "fitting", Tasks: 4, CPUMilli: 100, Payload: []byte(`{"run_ms":50,"output":"g"}`), WaitMS: 20000}, status: http.StatusOK, state: state.JobSucceeded},
		{name: "standing", request: v1.SubmitRequest{Class: state.ClassStanding, Service: "fitting", CPUMilli: 100}, status: http.StatusAccepted},
		{name: "never runnable", request: v1.SubmitRequest{Class: state.ClassBatch, Service: "fitting", CPUMilli: 900000}, status: http.StatusUnprocessableEntity},
		{name: "service outside the contract", request: v1.SubmitRequest{Class: state.ClassBatch, Service: "design", CPUMilli: 1}, status: http.StatusForbidden},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := client.submit(entry, tt.request)
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			if tt.state != "" {
				is.Equal(got.job.State, tt.state)
				is.Equal(len(got.job.Outputs), max(tt.request.Tasks, 1))
			}
			if got.refusal != nil {
				is.Equal(got.refusal.NotRun, state.NotRun)
				is.True(got.refusal.Remedy != "")
			}
		})
	}
	c.waitIdle()
	is.Equal(c.check(client, 32), nil)
}

// TestKeyAndContractPropagation withdraws a key and applies a contract, each through one
// entry, and checks that both take effect on all others.
func TestKeyAndContractPropagation(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDomains)
	for _, e := range c.entries {
		c.waitKey(e, c.teamKey, true)
	}
	begin := time.Now()
	c.mustCall(http.MethodDelete, c.entries[0].callerAddr, "/v1/keys/team-key", bootstrapKey, nil, nil)
	for _, e := range c.entries {
		c.waitKey(e, c.teamKey, false)
	}
	t.Logf("withdrawn key refused by all entries after %s", time.Since(begin).Round(time.Millisecond))
	begin = time.Now()
	result := c.putContract(c.entries[3].callerAddr, contract(4))
	eventually(t, "the contract is in force on all entries", func() error {
		var status v1.VersionStatus
		c.mustCall(http.MethodGet, c.entries[1].callerAddr, "/v1/versions/"+itoa(result.Version), bootstrapKey, nil, &status)
		if !status.InForce {
			return errNotYet
		}
		return nil
	})
	t.Logf("contract in force on all entries after %s", time.Since(begin).Round(time.Millisecond))
	for _, e := range c.entries {
		var got v1.VersionedContract
		c.mustCall(http.MethodGet, e.callerAddr, "/v1/contracts/"+string(team), bootstrapKey, nil, &got)
		is.Equal(got.Limit.Slots, int64(4))
	}
}

// TestGracefulStopFailsNoRequest stops an entry that owns a shard while callers submit
// requests through it: no request fails or is refused.
func TestGracefulStopFailsNoRequest(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDomains)
	client := &recordingClient{c: c}
	owner := c.owner()
	other := c.otherEntry(owner)
	stopped := make(chan struct{})
	l := startLoad(client, 4, false, func(n int64) *entryProcess {
		select {
		case <-stopped:
			return other
		default:
		}
		if n%2 == 0 {
			return other
		}
		return owner
	})
	client.waitOutcomes(50)
	owner.signal(syscall.SIGTERM)
	eventually(t, "the entry is not ready", func() error {
		status, _, err := c.call(http.MethodGet, owner.operatorAddr, "/readyz", "", nil)
		if err == nil && status == http.StatusOK {
			return errNotYet
		}
		return nil
	})
	close(stopped)
	owner.signal(syscall.SIGTERM)
	is.Equal(owner.exitCode(), 0)
	client.waitOutcomes(50)
	l.stopAndWait()
	t.Logf("longest time without a response around the handover: %s", client.longestGap().Round(time.Millisecond))
	c.waitIdle()
	is.Equal(checkSucceededOnce(c.runs(), client.all()), nil)
	for _, got := range client.all() {
		is.NoErr(got.err)
		if got.refusal != nil {
			t.Errorf("request refused: %s", got.refusal.Error())
		}
	}
	is.Equal(c.check(client, 32), nil)
}
