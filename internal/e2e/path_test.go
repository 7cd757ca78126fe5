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

// TestWholePath submits each class through an entry that owns nothing, and
// judges the answers.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDomains)
	cs := &callers{c: c}
	entry := c.other(c.owner())
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
			got := cs.submit(entry, tt.request)
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
	c.settle()
	is.Equal(c.check(cs, 32), nil)
}

// TestKeyAndContractTakeHold grants and withdraws a key and applies a contract
// through one entry and looks at all others.
func TestKeyAndContractTakeHold(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDomains)
	for _, e := range c.entries {
		c.waitKey(e, c.teamKey, true)
	}
	begin := time.Now()
	c.must(http.MethodDelete, c.entries[0].callers, "/v1/keys/team-key", bootstrapKey, nil, nil)
	for _, e := range c.entries {
		c.waitKey(e, c.teamKey, false)
	}
	t.Logf("withdrawn key refused everywhere after %s", time.Since(begin).Round(time.Millisecond))
	begin = time.Now()
	result := c.putContract(c.entries[3].callers, contract(4))
	eventually(t, "the contract is in force everywhere", func() error {
		var status v1.VersionStatus
		c.must(http.MethodGet, c.entries[1].callers, "/v1/versions/"+itoa(result.Version), bootstrapKey, nil, &status)
		if !status.InForce {
			return errNotYet
		}
		return nil
	})
	t.Logf("contract in force everywhere after %s", time.Since(begin).Round(time.Millisecond))
	for _, e := range c.entries {
		var got v1.VersionedContract
		c.must(http.MethodGet, e.callers, "/v1/contracts/"+string(team), bootstrapKey, nil, &got)
		is.Equal(got.Limit.Slots, int64(4))
	}
}

// TestGracefulStopCutsNoRequest stops an entry, which owns a shard, while
// callers use it.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDomains)
	cs := &callers{c: c}
	owner := c.owner()
	other := c.other(owner)
	stopped := make(chan struct{})
	l := startLoad(cs, 4, false, func(n int64) *entryProcess {
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
	cs.after(50)
	owner.signal(syscall.SIGTERM)
	eventually(t, "the entry is unready", func() error {
		status, _, err := c.call(http.MethodGet, owner.operators, "/readyz", "", nil)
		if err == nil && status == http.StatusOK {
			return errNotYet
		}
		return nil
	})
	close(stopped)
	owner.signal(syscall.SIGTERM)
	is.Equal(owner.exitCode(), 0)
	cs.after(50)
	l.end()
	t.Logf("longest time without an answer around the handover: %s", cs.longestGap().Round(time.Millisecond))
	c.settle()
	is.Equal(lostAndDoubled(c.runs(), cs.all()), nil)
	for _, told := range cs.all() {
		is.NoErr(told.err)
		if told.refusal != nil {
			t.Errorf("refused: %s", told.refusal.Error())
		}
	}
	is.Equal(c.check(cs, 32), nil)
}
