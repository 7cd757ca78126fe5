package routing

import (
	"context"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// violatesAtMostOnce submits one job to owners that don't deduplicate, and reports
// whether it ran more than once, or ran although the refusal states NotRun.
func violatesAtMostOnce(t *testing.T, idempotent bool, outcomes []result) bool {
	violated := false
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{submits: outcomes, gets: []result{{err: refusal(state.ReasonInvalid)}}}
		members := timeline([]stage{{snapshot: owner("x", 1)}})
		router := New("vm-self/i1", "a", members, &fakeLocal{}, peers, Config{})
		_, err := router.Submit(context.Background(), coordination.Submission{ID: jobHomeA, Idempotent: idempotent})
		got, refused := asRefusal(err)
		violated = peers.runs > 1 || refused && got.Verdict == state.NotRun && peers.runs > 0
	})
	return violated
}

func drawOutcomes(t *rapid.T) []result {
	kinds := []result{
		{status: succeeded, runs: true},
		{err: errResponseLost, runs: true},
		{err: errResponseLost},
		{err: coordination.ErrNotSent},
		{err: refusal(state.ReasonNoOwner)},
		{err: refusal(state.ReasonShuttingDown)},
		{err: refusal(state.ReasonQueueFull)},
	}
	outcomes := rapid.SliceOfN(rapid.IntRange(0, len(kinds)-1), 1, 8).Draw(t, "outcomes")
	results := make([]result, 0, len(outcomes))
	for _, kind := range outcomes {
		results = append(results, kinds[kind])
	}
	return results
}

func TestNonIdempotentJobRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violatesAtMostOnce(t, false, drawOutcomes(rt)) {
			rt.Fatal("the job ran more than once, or ran although it was refused as not run")
		}
	})
}

// TestResubmittedIdempotentJobRunsTwice shows that the property above depends on looking
// up the outcome instead of sending the job again: a job marked idempotent is sent again.
func TestResubmittedIdempotentJobRunsTwice(t *testing.T) {
	if !violatesAtMostOnce(t, true, []result{{err: errResponseLost, runs: true}, {status: succeeded, runs: true}}) {
		t.Fatal("the job did not run twice")
	}
}
