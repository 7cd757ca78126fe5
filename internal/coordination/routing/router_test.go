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

var errLost = errors.New("connection closed")

// result is how a fake answers one call.
type result struct {
	status coordination.JobStatus
	err    error
	// runs says that the owner ran the job, whatever the answer.
	runs bool
	// after is how long the answer takes.
	after time.Duration
}

// fakePeers answers calls with results in order; the last one repeats.
type fakePeers struct {
	coordination.Peers
	submits, gets []result
	submitted     []coordination.Submission
	addresses     []string
	asked         int
	runs          int
}

func (p *fakePeers) Submit(ctx context.Context, address string, _ coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error) {
	p.submitted = append(p.submitted, s)
	p.addresses = append(p.addresses, address)
	r := p.submits[min(len(p.submitted), len(p.submits))-1]
	if r.runs {
		p.runs++
	}
	return r.answer(ctx)
}

func (p *fakePeers) Get(ctx context.Context, _ string, _ state.TeamID, _ state.JobID, _ time.Duration) (coordination.JobStatus, error) {
	p.asked++
	return p.gets[min(p.asked, len(p.gets))-1].answer(ctx)
}

func (r result) answer(ctx context.Context) (coordination.JobStatus, error) {
	select {
	case <-time.After(r.after):
		return r.status, r.err
	case <-ctx.Done():
		return coordination.JobStatus{}, ctx.Err()
	}
}

// fakeLocal owns what it is told to.
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

// owner is a snapshot in which an entry owns shard 0 of domain a.
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

// stage is what membership tells from a moment on.
type stage struct {
	from     time.Duration
	snapshot *membership.Snapshot
}

func timeline(stages []stage) func() *membership.Snapshot {
	begun := time.Now()
	return func() *membership.Snapshot {
		current := &membership.Snapshot{}
		for _, s := range stages {
			if time.Since(begun) >= s.from {
				current = s.snapshot
			}
		}
		return current
	}
}

const homeA = state.JobID("a.0194fdc2-fa2f-7cc0-81d3-ff12045b73c8")

const homeB = state.JobID("b.0194fdc2-fa2f-7cc0-81d3-ff12045b73c8")

type submitCase struct {
	name       string
	submission coordination.Submission
	local      bool
	stages     []stage
	submits    []result
	gets       []result
	wantReason state.Reason
	wantRun    state.Verdict
	wantSent   int
	wantAsked  int
	within     time.Duration
}

func submitCases() []submitCase {
	one := []stage{{snapshot: owner("x", 1)}}
	takeover := []stage{{snapshot: owner("x", 1)}, {from: 2 * time.Second, snapshot: &membership.Snapshot{}}, {from: 4 * time.Second, snapshot: owner("y", 2)}}
	lost := result{err: errLost, runs: true}
	ok := result{status: succeeded, runs: true}
	notSent := result{err: coordination.ErrNotSent}
	job := coordination.Submission{ID: homeA}
	idempotent := coordination.Submission{ID: homeA, Idempotent: true}
	return []submitCase{
		{name: "owner in this process", submission: job, local: true},
		{name: "owner elsewhere", submission: job, stages: one, submits: []result{ok}, wantSent: 1},
		{name: "not an ID", submission: coordination.Submission{ID: "x"}, wantReason: state.ReasonInvalid, wantRun: state.NotRun},
		{name: "owner died, the new one takes over after 4 s", submission: job, stages: takeover, submits: []result{notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, notSent, ok}, wantSent: -1, within: 5 * time.Second},
		{name: "entry is owner no more", submission: job, stages: one, submits: []result{{err: refusal(state.ReasonNoOwner)}, ok}, wantSent: 2},
		{name: "idempotent, answer lost", submission: idempotent, stages: one, submits: []result{lost, ok}, wantSent: 2},
		{name: "not idempotent, answer lost, owner knows", submission: job, stages: one, submits: []result{lost}, gets: []result{{status: succeeded}}, wantSent: 1, wantAsked: 1},
		{name: "not idempotent, answer lost, owner unreachable", submission: job, stages: one, submits: []result{lost}, gets: []result{{err: errLost}}, wantReason: state.ReasonOutcomeUnknown, wantRun: state.Unknown, wantSent: 1, wantAsked: 2},
		{name: "not idempotent, answer lost, owner does not know the job", submission: job, stages: one, submits: []result{lost}, gets: []result{{err: refusal(state.ReasonInvalid)}}, wantReason: state.ReasonOutcomeUnknown, wantRun: state.Unknown, wantSent: 1, wantAsked: 1},
		{name: "idempotent, answers lost", submission: idempotent, stages: one, submits: []result{lost}, wantReason: state.ReasonOutcomeUnknown, wantRun: state.Unknown, wantSent: 2},
		{name: "answer lost, then refused", submission: idempotent, stages: one, submits: []result{lost, {err: refusal(state.ReasonQueueFull)}}, wantReason: state.ReasonOutcomeUnknown, wantRun: state.Unknown, wantSent: 2},
		{name: "refused", submission: job, stages: one, submits: []result{{err: refusal(state.ReasonQueueFull)}}, wantReason: state.ReasonQueueFull, wantRun: state.NotRun, wantSent: 1},
		{name: "no owner in the own domain", submission: job, wantReason: state.ReasonNoOwner, wantRun: state.NotRun, within: DefaultOwnerWait},
		{name: "home domain out of reach", submission: coordination.Submission{ID: homeB}, wantReason: state.ReasonHomeUnreachable, wantRun: state.NotRun, within: DefaultOwnerWait},
		{name: "deadline before the takeover", submission: coordination.Submission{ID: homeA, DeadlineIn: time.Second}, wantReason: state.ReasonDeadline, wantRun: state.NotRun, within: time.Second},
		{name: "deadline too near for an attempt", submission: coordination.Submission{ID: homeA, DeadlineIn: time.Millisecond}, stages: one, wantReason: state.ReasonDeadline, wantRun: state.NotRun},
		{name: "deadline before the next attempt", submission: coordination.Submission{ID: homeA, DeadlineIn: 5 * time.Millisecond, Idempotent: true}, stages: one, submits: []result{lost}, wantReason: state.ReasonOutcomeUnknown, wantRun: state.Unknown, wantSent: -1, within: 5 * time.Millisecond},
		{name: "silent owner", submission: coordination.Submission{ID: homeA, DeadlineIn: time.Second}, stages: one, submits: []result{{after: time.Hour}}, gets: []result{{after: time.Hour}}, wantReason: state.ReasonOutcomeUnknown, wantRun: state.Unknown, wantSent: 1, wantAsked: -1, within: 12 * time.Second},
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
				begun := time.Now()
				status, err := router.Submit(context.Background(), tt.submission)
				if tt.within > 0 {
					is.True(time.Since(begun) <= tt.within)
				}
				if tt.wantSent >= 0 {
					is.Equal(len(peers.submitted), tt.wantSent)
				}
				if tt.wantAsked >= 0 {
					is.Equal(peers.asked, tt.wantAsked)
				}
				if tt.wantReason == "" {
					is.NoErr(err)
					is.Equal(status.State, state.JobSucceeded)
					return
				}
				got, ok := asRefusal(err)
				is.True(ok)
				is.Equal(got.Reason, tt.wantReason)
				is.Equal(got.Verdict, tt.wantRun)
				is.True(got.Remedy != "")
			})
		})
	}
}

func TestSubmitPassesOnWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &fakePeers{submits: []result{{err: errLost, after: 300 * time.Millisecond}, {status: succeeded}}}
		router := New("vm-self/i1", "a", timeline([]stage{{snapshot: owner("x", 1)}}), &fakeLocal{}, peers, Config{})
		_, err := router.Submit(context.Background(), coordination.Submission{ID: homeA, Idempotent: true, DeadlineIn: time.Second})
		is.NoErr(err)
		is.Equal(peers.submitted[0].DeadlineIn, time.Second)
		is.True(peers.submitted[1].DeadlineIn <= 700*time.Millisecond)
		is.Equal(peers.submitted[0].RetriesLeft, 2)
		is.Equal(peers.submitted[1].RetriesLeft, 0)
		is.Equal(peers.submitted[1].ID, homeA)
	})
}

func TestCallerThatGivesUpGetsAnAnswerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &fakePeers{submits: []result{{after: time.Hour}}}
		router := New("vm-self/i1", "a", timeline([]stage{{snapshot: owner("x", 1)}}), &fakeLocal{}, peers, Config{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		begun := time.Now()
		_, err := router.Submit(ctx, coordination.Submission{ID: homeA, Wait: time.Hour})
		got, ok := asRefusal(err)
		is.True(ok)
		is.Equal(got.Verdict, state.Unknown)
		is.Equal(time.Since(begun), time.Second)
	})
}

// TestLaterNotRunIsNoProof shows why a "not run" that follows a lost answer is
// not passed on.
func TestLaterNotRunIsNoProof(t *testing.T) {
	for _, trust := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			peers := &fakePeers{submits: []result{{err: errLost, runs: true}, {err: refusal(state.ReasonQueueFull)}}}
			router := New("vm-self/i1", "a", timeline([]stage{{snapshot: owner("x", 1)}}), &fakeLocal{}, peers, Config{})
			router.trustLaterVerdicts = trust
			_, err := router.Submit(context.Background(), coordination.Submission{ID: homeA, Idempotent: true})
			got, ok := asRefusal(err)
			is.True(ok)
			untrue := got.Verdict == state.NotRun && peers.runs > 0
			is.Equal(untrue, trust)
		})
	}
}

func TestGetAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &fakePeers{gets: []result{{err: errLost}, {status: succeeded}}}
		router := New("vm-self/i1", "a", timeline([]stage{{snapshot: owner("x", 1)}}), &fakeLocal{}, peers, Config{})
		status, err := router.Get(context.Background(), "team", homeA, 0)
		is.NoErr(err)
		is.Equal(status.State, state.JobSucceeded)
		_, err = router.Cancel(context.Background(), "team", homeB)
		got, ok := asRefusal(err)
		is.True(ok)
		is.Equal(got.Reason, state.ReasonHomeUnreachable)
		is.Equal(got.Verdict, state.Unknown)
	})
}

func TestIssuedIDsAreAtHomeHere(t *testing.T) {
	is := is.New(t)
	router := New("vm-self/i1", "a", nil, &fakeLocal{}, nil, Config{})
	ids := router.IssueIDs(2)
	is.True(ids[0] != ids[1])
	shard, err := router.home(ids[0])
	is.NoErr(err)
	is.Equal(shard, coordination.DomainShard("a", 0))
}
