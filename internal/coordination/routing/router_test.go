package routing

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

var errResponseLost = errors.New("connection closed")

// result is the response of a fake to one call.
type result struct {
	status coordination.JobStatus
	err    error
	// runs is set if the owner runs the job, whatever the response.
	runs bool
	// delay is the time until the response.
	delay time.Duration
}

// fakePeers responds to calls with its results in order; the last one repeats.
type fakePeers struct {
	coordination.Peers
	submits, gets []result
	submitted     []coordination.Submission
	addresses     []string
	getCalls      int
	runs          int
}

func (p *fakePeers) Submit(ctx context.Context, address string, _ coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error) {
	p.submitted = append(p.submitted, s)
	p.addresses = append(p.addresses, address)
	r := p.submits[min(len(p.submitted), len(p.submits))-1]
	if r.runs {
		p.runs++
	}
	return r.respond(ctx)
}

func (p *fakePeers) Get(ctx context.Context, _ string, _ state.TeamID, _ state.JobID, _ time.Duration) (coordination.JobStatus, error) {
	p.getCalls++
	return p.gets[min(p.getCalls, len(p.gets))-1].respond(ctx)
}

func (r result) respond(ctx context.Context) (coordination.JobStatus, error) {
	select {
	case <-time.After(r.delay):
		return r.status, r.err
	case <-ctx.Done():
		return coordination.JobStatus{}, ctx.Err()
	}
}

// fakeLocal is a LocalOwner that owns either all shards or none.
type fakeLocal struct {
	LocalOwner
	owns  bool
	calls int
}

func (l *fakeLocal) Owns(coordination.ShardID) bool { return l.owns }

func (l *fakeLocal) Submit(context.Context, coordination.ShardID, coordination.Submission) (coordination.JobStatus, error) {
	l.calls++
	return succeeded, nil
}

var succeeded = coordination.JobStatus{State: state.JobSucceeded}

func refusal(reason state.Reason) *state.Refusal {
	return &state.Refusal{Reason: reason, Verdict: state.NotRun, Remedy: "submit later"}
}

// owner returns a membership snapshot in which an entry owns shard 0 of domain a.
func owner(address string, number uint64) *membership.Snapshot {
	id := coordination.EntryID("vm-" + address + "/i1")
	return &membership.Snapshot{Entries: []membership.Entry{{
		ID: id, Domain: "a", Address: address, Liveness: membership.Alive,
		Owned: []coordination.ShardLoad{{
			Shard: coordination.DomainShard("a", 0),
			Epoch: devplatform.Epoch{Number: number, Owner: string(id)},
			Ready: true,
		}},
	}}}
}

// stage is the membership snapshot from a point in time on.
type stage struct {
	from     time.Duration
	snapshot *membership.Snapshot
}

func timeline(stages []stage) func() *membership.Snapshot {
	started := time.Now()
	return func() *membership.Snapshot {
		current := &membership.Snapshot{}
		for _, s := range stages {
			if time.Since(started) >= s.from {
				current = s.snapshot
			}
		}
		return current
	}
}

const jobHomeA = state.JobID("a.0194fdc2-fa2f-7cc0-81d3-ff12045b73c8")

const jobHomeB = state.JobID("b.0194fdc2-fa2f-7cc0-81d3-ff12045b73c8")

type submitCase struct {
	name        string
	submission  coordination.Submission
	local       bool
	stages      []stage
	submits     []result
	gets        []result
	wantReason  state.Reason
	wantVerdict state.Verdict
	wantSubmits int
	wantGets    int
	maxElapsed  time.Duration
}

func submitCases() []submitCase {
	one := []stage{{snapshot: owner("x", 1)}}
	takeover := []stage{{snapshot: owner("x", 1)}, {from: 2 * time.Second, snapshot: &membership.Snapshot{}}, {from: 4 * time.Second, snapshot: owner("y", 2)}}
	lost := result{err: errResponseLost, runs: true}
	ok := result{status: succeeded, runs: true}
	notSent := result{err: coordination.ErrNotSent}
	job := coordination.Submission{ID: jobHomeA}
	idempotent := coordination.Submission{ID: jobHomeA, Idempotent: true}
	return []submitCase{
		{name: "owner in this process", submission: job, local: true},
		{name: "owner in another entry", submission: job, stages: one, submits: []result{ok}, wantSubmits: 1},
		{name: "malformed job ID", submission: coordination.Submission{ID: "x"}, wantReason: state.ReasonInvalid, wantVerdict: state.NotRun},
		{name: "owner failed, new owner takes over after 4 s", submission: job, stages: takeover, submits: []result{notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, ok}, wantSubmits: -1, maxElapsed: 5 * time.Second},
		{name: "entry no longer owns the shard", submission: job, stages: one, submits: []result{{err: refusal(state.ReasonNoOwner)}, ok}, wantSubmits: 2},
		{name: "idempotent, response lost", submission: idempotent, stages: one, submits: []result{lost, ok}, wantSubmits: 2},
		{name: "not idempotent, response lost, owner knows the job", submission: job, stages: one, submits: []result{lost}, gets: []result{{status: succeeded}}, wantSubmits: 1, wantGets: 1},
		{name: "not idempotent, response lost, owner unreachable", submission: job, stages: one, submits: []result{lost}, gets: []result{{err: errResponseLost}}, wantReason: state.ReasonOutcomeUnknown, wantVerdict: state.Unknown, wantSubmits: 1, wantGets: 2},
		{name: "not idempotent, response lost, owner does not know the job", submission: job, stages: one, submits: []result{lost}, gets: []result{{err: refusal(state.ReasonInvalid)}}, wantReason: state.ReasonOutcomeUnknown, wantVerdict: state.Unknown, wantSubmits: 1, wantGets: 1},
		{name: "idempotent, all responses lost", submission: idempotent, stages: one, submits: []result{lost}, wantReason: state.ReasonOutcomeUnknown, wantVerdict: state.Unknown, wantSubmits: 2},
		{name: "response lost, then refused", submission: idempotent, stages: one, submits: []result{lost, {err: refusal(state.ReasonQueueFull)}}, wantReason: state.ReasonOutcomeUnknown, wantVerdict: state.Unknown, wantSubmits: 2},
		{name: "refused", submission: job, stages: one, submits: []result{{err: refusal(state.ReasonQueueFull)}}, wantReason: state.ReasonQueueFull, wantVerdict: state.NotRun, wantSubmits: 1},
		{name: "no owner in the own domain", submission: job, wantReason: state.ReasonNoOwner, wantVerdict: state.NotRun, maxElapsed: DefaultOwnerWait},
		{name: "home domain unreachable", submission: coordination.Submission{ID: jobHomeB}, wantReason: state.ReasonHomeUnreachable, wantVerdict: state.NotRun, maxElapsed: DefaultOwnerWait},
		{name: "deadline before the takeover", submission: coordination.Submission{ID: jobHomeA, DeadlineIn: time.Second}, wantReason: state.ReasonDeadline, wantVerdict: state.NotRun, maxElapsed: time.Second},
		{name: "too little time left for an attempt", submission: coordination.Submission{ID: jobHomeA, DeadlineIn: time.Millisecond}, stages: one, wantReason: state.ReasonDeadline, wantVerdict: state.NotRun},
		{name: "deadline before the next attempt", submission: coordination.Submission{ID: jobHomeA, DeadlineIn: 5 * time.Millisecond, Idempotent: true}, stages: one, submits: []result{lost}, wantReason: state.ReasonOutcomeUnknown, wantVerdict: state.Unknown, wantSubmits: -1, maxElapsed: 5 * time.Millisecond},
		{name: "owner not responding", submission: coordination.Submission{ID: jobHomeA, DeadlineIn: time.Second}, stages: one, submits: []result{{delay: time.Hour}}, gets: []result{{delay: time.Hour}}, wantReason: state.ReasonOutcomeUnknown, wantVerdict: state.Unknown, wantSubmits: 1, wantGets: -1, maxElapsed: 12 * time.Second},
	}
}

func TestSubmit(t *testing.T) {
	for _, tt := range submitCases() {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				peers := &fakePeers{submits: tt.submits, gets: tt.gets}
				local := &fakeLocal{owns: tt.local}
				router := New("vm-self/i1", "a", timeline(tt.stages), local, peers, Config{})
				started := time.Now()
				status, err := router.Submit(context.Background(), tt.submission)
				if tt.maxElapsed > 0 {
					is.True(time.Since(started) <= tt.maxElapsed)
				}
				if tt.wantSubmits >= 0 {
					is.Equal(len(peers.submitted), tt.wantSubmits)
				}
				if tt.wantGets >= 0 {
					is.Equal(peers.getCalls, tt.wantGets)
				}
				if tt.wantReason == "" {
					is.NoErr(err)
					is.Equal(status.State, state.JobSucceeded)
					return
				}
				got, ok := asRefusal(err)
				is.True(ok)
				is.Equal(got.Reason, tt.wantReason)
				is.Equal(got.Verdict, tt.wantVerdict)
				is.True(got.Remedy != "")
			})
		})
	}
}

func TestSubmitForwardsRemainingDeadlineAndRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &fakePeers{submits: []result{{err: errResponseLost, delay: 300 * time.Millisecond}, {status: succeeded}}}
		router := New("vm-self/i1", "a", timeline([]stage{{snapshot: owner("x", 1)}}), &fakeLocal{}, peers, Config{})
		_, err := router.Submit(context.Background(), coordination.Submission{ID: jobHomeA, Idempotent: true, DeadlineIn: time.Second})
		is.NoErr(err)
		is.Equal(peers.submitted[0].DeadlineIn, time.Second)
		is.True(peers.submitted[1].DeadlineIn <= 700*time.Millisecond)
		is.Equal(peers.submitted[0].RetriesLeft, 2)
		is.Equal(peers.submitted[1].RetriesLeft, 0)
		is.Equal(peers.submitted[1].ID, jobHomeA)
	})
}

func TestSubmitReturnsWhenCallerContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &fakePeers{submits: []result{{delay: time.Hour}}}
		router := New("vm-self/i1", "a", timeline([]stage{{snapshot: owner("x", 1)}}), &fakeLocal{}, peers, Config{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		started := time.Now()
		_, err := router.Submit(ctx, coordination.Submission{ID: jobHomeA, Wait: time.Hour})
		got, ok := asRefusal(err)
		is.True(ok)
		is.Equal(got.Verdict, state.Unknown)
		is.Equal(time.Since(started), time.Second)
	})
}

// TestLaterNotRunIsNotTrusted shows why a "not run" that follows a lost response is not
// passed on: the earlier attempt may have run the job.
func TestLaterNotRunIsNotTrusted(t *testing.T) {
	for _, trust := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			peers := &fakePeers{submits: []result{{err: errResponseLost, runs: true}, {err: refusal(state.ReasonQueueFull)}}}
			router := New("vm-self/i1", "a", timeline([]stage{{snapshot: owner("x", 1)}}), &fakeLocal{}, peers, Config{})
			router.trustLaterVerdicts = trust
			_, err := router.Submit(context.Background(), coordination.Submission{ID: jobHomeA, Idempotent: true})
			got, ok := asRefusal(err)
			is.True(ok)
			wrongVerdict := got.Verdict == state.NotRun && peers.runs > 0
			is.Equal(wrongVerdict, trust)
		})
	}
}

func TestGetAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &fakePeers{gets: []result{{err: errResponseLost}, {status: succeeded}}}
		router := New("vm-self/i1", "a", timeline([]stage{{snapshot: owner("x", 1)}}), &fakeLocal{}, peers, Config{})
		status, err := router.Get(context.Background(), "team", jobHomeA, 0)
		is.NoErr(err)
		is.Equal(status.State, state.JobSucceeded)
		_, err = router.Cancel(context.Background(), "team", jobHomeB)
		got, ok := asRefusal(err)
		is.True(ok)
		is.Equal(got.Reason, state.ReasonHomeUnreachable)
		is.Equal(got.Verdict, state.Unknown)
	})
}

func TestIssuedIDsHaveLocalHome(t *testing.T) {
	is := is.New(t)
	router := New("vm-self/i1", "a", nil, &fakeLocal{}, nil, Config{})
	ids := router.IssueIDs(2)
	is.True(ids[0] != ids[1])
	shard, err := router.homeShard(ids[0])
	is.NoErr(err)
	is.Equal(shard, coordination.DomainShard("a", 0))
}
