package journal

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

// TestRejectedBatchDoesNotStopTheJournal guards against a batch that the log refuses for good and
// that is repeated for ever, while no other job is stored.
func TestRejectedBatchDoesNotStopTheJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := startOwner(&fakeLog{limit: 50_000}, 1, nil)
		quiesce()
		large := testJob(1)
		large.Payload = bytes.Repeat([]byte{'x'}, 100_000)
		is.True(!o.Accept(large).Wait(t.Context(), time.Minute))
		is.True(o.Accept(testJob(2)).Wait(t.Context(), quiesceTime))
		is.True(o.End(large.ID, state.JobCancelled).Stored()) // it needs no end, as it was not stored
		is.True(o.End(testJob(2).ID, state.JobCancelled).Wait(t.Context(), quiesceTime))
		o.kill()
	})
}

// TestSizeOfAJobIsAnUpperBound guards against batches that exceed a record because names take more
// bytes in JSON than they have.
func TestSizeOfAJobIsAnUpperBound(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"plain", "<>&", "\x00\x01", "\xff\xfe", "\u2028", "\"\\"} {
		long := strings.Repeat(name, 100)
		job := testJob(1)
		job.ID, job.Team, job.Queue, job.Service = state.JobID(long), state.TeamID(long), state.QueueID(long), state.Service(long)
		data, err := json.Marshal(event{Accepted: &job})
		is.NoErr(err)
		is.True(len(data) <= job.size())
		data, err = json.Marshal(event{Ended: &endEvent{ID: job.ID, State: state.JobCancelled}})
		is.NoErr(err)
		is.True(len(data) <= endEventSize+escapedBytes*len(job.ID))
	}
}
