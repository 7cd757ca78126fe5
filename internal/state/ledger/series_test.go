package ledger

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// formerState is a JobState as entries know it that do not know series.
type formerState struct {
	Phase       Phase
	FinalUnixMS int64
	Steps       []StepState
}

func doneStep(occurrence int) StepState { return StepState{Occurrence: occurrence, Done: []byte{7}} }

// TestSeriesOutlivesTheOwnerInTheLedger guards against occurrences that a new owner runs again.
func TestSeriesOutlivesTheOwnerInTheLedger(t *testing.T) {
	is := is.New(t)
	state := JobState{
		Phase: Running, Steps: []StepState{doneStep(0), doneStep(1), {Occurrence: 2, Tasks: []TaskState{{Index: 1, Run: 5, Upstream: "u"}}}, doneStep(3)},
		Crashes: []TaskCrashes{{Occurrence: 2, Index: 1, Certain: 1}}, Series: &Series{Next: 4, Open: []int{2}},
	}
	record, err := StateRecord(crashedJob, &state)
	is.NoErr(err)
	table := NewTable()
	_, err = table.Apply(record)
	is.NoErr(err)
	got := table.Row(crashedJob).State
	is.Equal(got.Series, state.Series)
	is.Equal(got.Crashes, state.Crashes)
	is.Equal(got.Phase, Running)
	is.Equal(len(got.Steps), 1) // complete occurrences cost an entry nothing
	is.Equal(got.Steps[0].Occurrence, 2)
}

// TestFormerReleasesDoNotRepeatOccurrences guards against an entry of a former release that becomes
// the owner and runs the complete occurrences of a series again.
func TestFormerReleasesDoNotRepeatOccurrences(t *testing.T) {
	is := is.New(t)
	record, err := StateRecord(crashedJob, &JobState{Phase: Running, Steps: []StepState{doneStep(0), doneStep(1)}, Series: &Series{Next: 2}})
	is.NoErr(err)
	var former formerState
	is.NoErr(msgpack.Unmarshal(record.Value, &former))
	is.Equal(former.Phase, Running)
	is.Equal(len(former.Steps), 2)
	var crashes []TaskCrashes // they follow the state
	rest, err := decodePrefix(record, &formerState{})
	is.NoErr(err)
	is.NoErr(msgpack.Unmarshal(rest, &crashes))
	is.Equal(len(crashes), 0)

	record, err = StateRecord(crashedJob, &JobState{Phase: Running, Series: &Series{Next: 500_000, Unlisted: true}})
	is.NoErr(err)
	former = formerState{}
	is.NoErr(msgpack.Unmarshal(record.Value, &former))
	is.True(former.Phase.Final())          // it starts nothing
	is.Equal(former.FinalUnixMS, int64(0)) // and does not drop the record
	is.True(len(record.Value) < 64)        // the cost does not go with the occurrences
	table := fold(t, must(JobRecord(seriesJob())), must(StateRecord(id, &JobState{Series: &Series{Next: 7, Unlisted: true}})))
	is.Equal(table.Row(id).Phase(), Queued)
	is.Equal(table.Pending("q"), 1)
}

func seriesJob() *workload.Job {
	job := testJob()
	job.Repeat, job.PeriodMS = 10, 1000
	return job
}

// TestStateOfFormerReleaseHasNoSeries guards against a state of a former release that is misread.
func TestStateOfFormerReleaseHasNoSeries(t *testing.T) {
	is := is.New(t)
	former := must(encode("s"+string(id), &formerState{Phase: Running, Steps: []StepState{doneStep(0), doneStep(1)}}))
	table := fold(t, must(JobRecord(seriesJob())), former)
	is.True(table.Row(id).State.Series == nil)
	is.Equal(len(table.Row(id).State.Steps), 2)
}

// TestInvalidSeriesIsRejected guards against a series that names occurrences which have not begun.
func TestInvalidSeriesIsRejected(t *testing.T) {
	is := is.New(t)
	for _, s := range []Series{{Next: -1}, {Next: 2, Open: []int{2}}, {Next: 9, Open: []int{3, 3}}, {Next: 9, Open: []int{4, 3}}, {Next: 9, Open: []int{-1}}} {
		_, err := NewTable().Apply(must(StateRecord(id, &JobState{Phase: Running, Series: &s})))
		is.True(err != nil)
	}
}

// TestLaterAdditionsToAStateAreIgnored guards the next release, which may add a value.
func TestLaterAdditionsToAStateAreIgnored(t *testing.T) {
	is := is.New(t)
	record := must(StateRecord(id, &JobState{Phase: Running, Series: &Series{Next: 3, Open: []int{1}}}))
	record.Value = append(record.Value, 0x92, 1, 2)
	table := fold(t, record)
	is.Equal(table.Row(id).State.Series, &Series{Next: 3, Open: []int{1}})
}
