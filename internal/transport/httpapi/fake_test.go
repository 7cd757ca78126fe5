package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/goleak"

	"github.com/samphirerail/samphirerail/internal/coordination"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	testTimeout = 30 * time.Second
	jobA        = state.JobID("north.0190b6c4-7a00-7000-8000-00000000000a")
	issuedID    = state.JobID("north.0190b6c4-7a00-7000-8000-00000000000f")

	tideKey     = "k1.secret"
	braidKey    = "k2.secret"
	operatorKey = "op.secret"
	noOwnerKey  = "k3.secret"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeJobs is a coordination.JobService. It calls the functions that are set;
// otherwise it records submissions and returns fixed statuses.
type fakeJobs struct {
	submit    func(context.Context, coordination.Submission) (coordination.JobStatus, error)
	get       func(context.Context, state.TeamID, time.Duration) (coordination.JobStatus, error)
	submitted []coordination.Submission
	calls     atomic.Int64
}

func (j *fakeJobs) Submit(ctx context.Context, s coordination.Submission) (coordination.JobStatus, error) {
	j.calls.Add(1)
	if j.submit != nil {
		return j.submit(ctx, s)
	}
	j.submitted = append(j.submitted, s)
	return coordination.JobStatus{ID: s.ID, Team: s.Team, Class: s.Class, State: state.JobSucceeded, Outputs: [][]byte{s.Payload}}, nil
}

func (j *fakeJobs) Get(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	j.calls.Add(1)
	if j.get != nil {
		return j.get(ctx, team, wait)
	}
	if team != "tide" {
		return coordination.JobStatus{}, refusal(state.ReasonNotFound, state.Unknown)
	}
	return coordination.JobStatus{ID: id, Team: team, State: state.JobRunning}, nil
}

func (j *fakeJobs) Cancel(_ context.Context, team state.TeamID, id state.JobID) (coordination.JobStatus, error) {
	j.calls.Add(1)
	return coordination.JobStatus{ID: id, Team: team, State: state.JobCancelled, Refusal: refusal(state.ReasonCancelled, state.NotRun)}, nil
}

func (j *fakeJobs) IssueIDs(n int) []state.JobID {
	ids := make([]state.JobID, n)
	for i := range ids {
		ids[i] = issuedID
	}
	return ids
}

func refusal(reason state.Reason, verdict state.Verdict) *state.Refusal {
	return &state.Refusal{Reason: reason, Verdict: verdict, Detail: "detail", Remedy: "remedy"}
}

// fakeAuth accepts the keys of the teams tide and braid and of an operator, and
// refuses noOwnerKey as if no owner were available.
type fakeAuth struct{ quota Quota }

func (a *fakeAuth) Authenticate(bearer string) (Identity, error) {
	switch bearer {
	case tideKey:
		return Identity{Key: "k1", Team: "tide", Role: v1.RoleCaller}, nil
	case braidKey:
		return Identity{Key: "k2", Team: "braid", Role: v1.RoleCaller}, nil
	case operatorKey:
		return Identity{Key: "op", Role: v1.RoleOperator}, nil
	case noOwnerKey:
		return Identity{}, refusal(state.ReasonNoOwner, state.NotRun)
	}
	return Identity{}, ErrInvalidKey
}

func (a *fakeAuth) Queue(id state.QueueID) (Queue, bool) {
	switch id {
	case "walk-in":
		return Queue{Team: "tide", Open: true, DefaultClass: state.ClassBatch}, true
	case "tide-q":
		return Queue{Team: "tide", DefaultClass: state.ClassGang}, true
	case "no-default":
		return Queue{Team: "tide"}, true
	case "gone":
		return Queue{Team: "nobody", Open: true, DefaultClass: state.ClassBatch}, true
	}
	return Queue{}, false
}

func (a *fakeAuth) Quota(team state.TeamID) (Quota, bool) { return a.quota, team != "nobody" }

// fakeOperations records the writes it receives and returns minimal results to
// reads. All methods return err.
type fakeOperations struct {
	Operations
	contract v1.Contract
	write    v1.Write
	err      error
}

// recordWrite records a write and returns the result of every write.
func (o *fakeOperations) recordWrite(write v1.Write) (v1.WriteResult, error) {
	o.write = write
	return v1.WriteResult{Version: 9}, o.err
}

func (o *fakeOperations) PutContract(_ context.Context, contract v1.Contract, w v1.Write) (v1.WriteResult, error) {
	o.contract = contract
	return o.recordWrite(w)
}

func (o *fakeOperations) Contract(_ context.Context, team state.TeamID) (v1.VersionedContract, error) {
	return v1.VersionedContract{Contract: v1.Contract{Team: team}, Version: 7}, o.err
}

func (o *fakeOperations) Contracts(context.Context) (v1.ContractList, error) {
	return v1.ContractList{}, o.err
}

func (o *fakeOperations) GrantKey(_ context.Context, key v1.GrantKey) (v1.GrantedKey, error) {
	return v1.GrantedKey{ID: key.ID, Bearer: key.ID + ".fresh"}, o.err
}

func (o *fakeOperations) Status(context.Context) (v1.Status, error) {
	return v1.Status{Entry: "vm1/1"}, o.err
}

func (o *fakeOperations) Version(_ context.Context, version int64) (v1.VersionStatus, error) {
	return v1.VersionStatus{Version: version}, o.err
}

func (o *fakeOperations) Explain(_ context.Context, id state.JobID) (v1.Explanation, error) {
	return v1.Explanation{Job: v1.JobStatus{ID: id}}, o.err
}

func (o *fakeOperations) WithdrawContract(_ context.Context, _ state.TeamID, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

func (o *fakeOperations) WithdrawKey(_ context.Context, _ string, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

func (o *fakeOperations) PutQueue(_ context.Context, _ v1.Queue, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

func (o *fakeOperations) CloseQueue(_ context.Context, _ state.QueueID, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

func (o *fakeOperations) PutDomains(_ context.Context, _ []v1.Domain, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

func (o *fakeOperations) Evacuate(_ context.Context, _ state.DomainID, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

func (o *fakeOperations) RestoreDomain(_ context.Context, _ state.DomainID, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

func (o *fakeOperations) Drain(_ context.Context, _ state.VMID, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

func (o *fakeOperations) Undrain(_ context.Context, _ state.VMID, w v1.Write) (v1.WriteResult, error) {
	return o.recordWrite(w)
}

// fixture is the API handler with fake dependencies.
type fixture struct {
	jobs       *fakeJobs
	operations *fakeOperations
	auth       *fakeAuth
	health     *Health
	handler    http.Handler
}

func newFixture() *fixture {
	f := &fixture{
		jobs:       &fakeJobs{},
		operations: &fakeOperations{},
		auth:       &fakeAuth{quota: Quota{SubmitRate: 1000, Burst: 1000}},
		health:     NewHealth(func() error { return nil }),
	}
	f.handler = newHandlerWith(f, f.auth)
	return f
}

// newHandlerWith returns a handler with the dependencies of a fixture but another authenticator.
func newHandlerWith(f *fixture, auth Authenticator) http.Handler {
	return NewHandler(Config{
		Jobs:       f.jobs,
		Operations: f.operations,
		Auth:       auth,
		Health:     f.health,
		Logger:     hclog.NewNullLogger(),
		Registry:   metrics.NewRegistry(),
		Tracer:     trace.NewTracerProvider(),
	})
}

// call describes one API call of a test.
type call struct {
	method string
	path   string
	key    string
	body   string
	header http.Header
}

func (f *fixture) do(c call) *httptest.ResponseRecorder {
	request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
	for name, values := range c.header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	return recorder
}

// decode decodes a response body that holds exactly one JSON value without
// unknown fields.
func decode[T any](t *testing.T, body io.Reader) T {
	t.Helper()
	var message T
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	is.New(t).NoErr(decoder.Decode(&message))
	_, err := decoder.Token()
	is.New(t).True(errors.Is(err, io.EOF))
	return message
}
