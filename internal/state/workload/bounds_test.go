package workload

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func manySteps(n, count int) []Step {
	steps := make([]Step, n)
	for i := range steps {
		steps[i].Count = count
	}
	return steps
}

// TestJobsThatCannotBeHeldAreRefused guards against jobs that are accepted and whose state then
// fits no record, or whose tasks can never all be at work.
func TestJobsThatCannotBeHeldAreRefused(t *testing.T) {
	for _, tt := range []struct {
		name       string
		job        Job
		ok, former bool // former: a former release may have accepted it, and it can be held
	}{
		{name: "a year of minutes", job: Job{Steps: manySteps(1, 2), Repeat: 525_600, PeriodMS: 60_000}, ok: true, former: true},
		{name: "the widest step", job: Job{Steps: manySteps(1, 20_000)}, ok: true, former: true},
		{name: "many wide steps", job: Job{Steps: manySteps(14, 20_000)}, ok: true, former: true},
		{name: "the most steps", job: Job{Steps: manySteps(256, 900)}, ok: true, former: true},
		{name: "too many bits", job: Job{Steps: manySteps(256, 20_000)}},
		{name: "the largest gang", job: Job{Steps: []Step{{Count: MaxTasksAtWork, Gang: true}}}, ok: true, former: true},
		{name: "a larger gang", job: Job{Steps: []Step{{Count: MaxTasksAtWork + 1, Gang: true}}}},
		{name: "a gang beside long-running tasks", job: Job{Steps: []Step{{Count: 2000, Gang: true}, {Count: 2000, LongRunning: true}}}, former: true},
		{name: "a long-running gang", job: Job{Steps: []Step{{Count: MaxTasksAtWork, Gang: true, LongRunning: true}}}, ok: true, former: true},
		{name: "long-running tasks in each occurrence", job: Job{Steps: []Step{{Count: 10, LongRunning: true}}, Repeat: 1000, PeriodMS: 1}, former: true},
		{name: "a task beside as many long-running ones as may be", job: Job{Steps: []Step{{Count: 1}, {Count: MaxTasksAtWork - 1, LongRunning: true}}}, ok: true, former: true},
		{name: "a task beside more long-running ones", job: Job{Steps: []Step{{Count: 1}, {Count: MaxTasksAtWork, LongRunning: true}}}, former: true},
		{name: "as many occurrences that last as can be open", job: Job{Steps: []Step{{Count: 1, LongRunning: true}}, Repeat: 1474, PeriodMS: 1}, ok: true, former: true},
		{name: "more occurrences that last", job: Job{Steps: []Step{{Count: 1, LongRunning: true}}, Repeat: 1475, PeriodMS: 1}, former: true},
		{name: "a step that waits for another one many times", job: Job{Steps: []Step{{Count: 1}, {Count: 1, After: make([]int, 1000)}}}, former: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var invalid *InvalidJobError
			err := tt.job.Validate()
			is.Equal(err == nil, tt.ok)
			is.True(err == nil || errors.As(err, &invalid))
			is.NoErr(tt.job.CheckForm()) // a former release has accepted it
			is.Equal(tt.job.CheckHeld() == nil, tt.former)
		})
	}
}
