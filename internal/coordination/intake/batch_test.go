package intake

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// TestBatchKeepsTheLimitsOfAnAppend guards against appends that the log refuses for good when many
// large jobs wait behind a slow one.
func TestBatchKeepsTheLimitsOfAnAppend(t *testing.T) {
	is := is.New(t)
	limits := ledger.Limits{RecordBytes: 4500, RequestBytes: 20_000}
	log := &memoryLog{delay: 20 * time.Millisecond, limits: limits}
	in := newIntake(t, log, &remoteOwner{err: notSentError{}})
	in.SetLimits(limits)
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			job := testJob()
			job.ID, job.Payload = workload.JobID(fmt.Sprintf("%016x", i)), strings.Repeat("x", 4000)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if err := in.Submit(ctx, job); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	is.Equal(log.rejected, 0)
	is.Equal(len(log.records), 41)
}

// TestRejectedRecordFailsItsCallerAlone guards against a record that the log refuses for good and
// that takes the records of other callers with it, or whose outcome is said to be unknown.
func TestRejectedRecordFailsItsCallerAlone(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{delay: 20 * time.Millisecond, limits: ledger.Limits{RecordBytes: 3000, RequestBytes: 1 << 20}}
	in := newIntake(t, log, &remoteOwner{err: notSentError{}})
	in.SetLimits(ledger.Limits{RecordBytes: 5000}) // more than the log takes
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			job := testJob()
			job.ID = workload.JobID(fmt.Sprintf("%016x", i))
			if i == 5 {
				job.Payload = strings.Repeat("x", 4000)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			err := in.Submit(ctx, job)
			var refused *NotAcceptedError
			if i == 5 && (!errors.As(err, &refused) || !refused.Refused) || i != 5 && err != nil {
				t.Errorf("job %d: %v", i, err)
			}
		})
	}
	group.Wait()
	is.Equal(len(log.records), 10)
}

// TestJobLargerThanARecordIsNotSent guards against an append that the log can only refuse, here or
// at the owner.
func TestJobLargerThanARecordIsNotSent(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	in := newIntake(t, log, &remoteOwner{}) // an owner that accepts it
	in.SetLimits(ledger.Limits{RecordBytes: 1000})
	job := testJob()
	job.Payload = strings.Repeat("x", 4000)
	var refused *NotAcceptedError
	is.True(errors.As(in.Submit(context.Background(), job), &refused))
	is.Equal(log.appends, 0)
}
