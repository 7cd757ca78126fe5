package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestLargeJobsAreBoundedTogether guards against accepted jobs that fill the memory of all entries.
func TestLargeJobsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	const megabyte = 1 << 20
	table := NewTable()
	job := func(i, bytes int) *workload.Job {
		return &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", i)), Steps: []workload.Step{{Count: 1, Image: strings.Repeat("i", bytes)}}}
	}
	apply := func(r Record, err error) {
		t.Helper()
		is.NoErr(err)
		_, err = table.Apply(r)
		is.NoErr(err)
	}
	is.True(table.HasRoomFor(job(0, 2*MaxLargeBytes), 0)) // the only large one
	for i := range MaxLargeBytes / megabyte {
		apply(JobRecord(job(i, megabyte)))
	}
	is.True(!table.HasRoomFor(job(100, megabyte), 0))
	is.True(table.HasRoomFor(job(100, 1000), 0)) // an ordinary one
	apply(StateRecord(job(0, 0).ID, &JobState{Phase: Complete, FinalUnixMS: 1}))
	is.True(table.HasRoomFor(job(100, megabyte), 0))
	is.True(!table.HasRoomFor(job(100, megabyte), megabyte))
	is.Equal(table.Row(job(0, 0).ID).Job.Steps[0].Image, "")
	is.Equal(len(table.Row(job(1, 0).ID).Job.Steps[0].Image), megabyte)
	for i := range MaxLargeBytes / megabyte {
		for _, r := range DropRecords(job(i, 0).ID) {
			apply(r, nil)
		}
	}
	is.Equal(table.large, 0)
}
