package ledger

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const crashedJob = workload.JobID("00000000000000aa")

// TestCrashesOutliveTheOwnerInTheLedger guards against a count of crashes that begins anew with each owner.
func TestCrashesOutliveTheOwnerInTheLedger(t *testing.T) {
	is := is.New(t)
	state := JobState{Phase: Running, Steps: []StepState{{Tasks: []TaskState{{Index: 2, Run: 3, Upstream: "u"}}}}, Crashes: []TaskCrashes{
		{Step: 0, Index: 2, Certain: 1, Uncertain: 2, Shared: 1, BlamePercent: 80, Alone: true, AgeMS: 12},
	}}
	record, err := StateRecord(crashedJob, &state)
	is.NoErr(err)
	table := NewTable()
	_, err = table.Apply(record)
	is.NoErr(err)
	is.Equal(table.Row(crashedJob).State, state)
}

// TestCrashesDoNotStopFormerReleases guards against entries of a former release that reject the state of a job.
func TestCrashesDoNotStopFormerReleases(t *testing.T) {
	is := is.New(t)
	record, err := StateRecord(crashedJob, &JobState{Phase: Running, Crashes: []TaskCrashes{{Certain: 1}}})
	is.NoErr(err)
	var former struct { // as these releases decode it
		Phase       Phase
		FinalUnixMS int64
		Steps       []StepState
	}
	is.NoErr(msgpack.Unmarshal(record.Value, &former))
	is.Equal(former.Phase, Running)
	without, err := StateRecord(crashedJob, &JobState{Phase: Running})
	is.NoErr(err)
	table := NewTable()
	_, err = table.Apply(without)
	is.NoErr(err)
	is.Equal(len(table.Row(crashedJob).State.Crashes), 0)
}

// TestInvalidCrashesAreRejected guards against a record that names tasks which cannot exist.
func TestInvalidCrashesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, c := range []TaskCrashes{{Index: -1}, {Step: -1}, {Occurrence: -1}, {Certain: -1}, {Uncertain: -2}} {
		record, err := StateRecord(crashedJob, &JobState{Phase: Running, Crashes: []TaskCrashes{c}})
		is.NoErr(err)
		_, err = NewTable().Apply(record)
		is.True(err != nil)
	}
}
