package routing

import (
	"context"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// breach submits one job to owners that do not recognize a repeat, and reports
// whether it ran twice or was said not to have run though it did.
func breach(t *testing.T, idempotent bool, outcomes []result) bool {
	broken := false
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{submits: outcomes, gets: []result{{err: refusal(state.ReasonInvalid)}}}
		members := timeline([]stage{{snapshot: owner("x", 1)}})
		router := New("vm-self/i1", "a", members, &fakeLocal{}, peers, Config{})
		_, err := router.Submit(context.Background(), coordination.Submission{ID: homeA, Idempotent: idempotent})
		got, refused := asRefusal(err)
		broken = peers.runs > 1 || refused && got.Verdict == state.NotRun && peers.runs > 0
	})
	return broken
}

func drawOutcomes(t *rapid.T) []result {
	kinds := []result{
		{status: succeeded, runs: true},
		{err: errLost, runs: true},
		{err: errLost},
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
		if breach(t, false, drawOutcomes(rt)) {
			rt.Fatal("the job ran twice, or ran and was said not to have")
		}
	})
}

// TestResubmissionRunsTwice shows that the property rests on asking in place of
// sending again: a job marked idempotent is sent again.
func TestResubmissionRunsTwice(t *testing.T) {
	if !breach(t, true, []result{{err: errLost, runs: true}, {status: succeeded, runs: true}}) {
		t.Fatal("the job did not run twice")
	}
}
