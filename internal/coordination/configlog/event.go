package configlog

import (
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// event is a message to the goroutine that owns the fold.
type event interface{ event() }

// recordsRead carries consecutive records read from the log. done is closed once they
// are folded.
type recordsRead struct {
	records []devplatform.StoredRecord
	// ready is set if the follower is ready once these records are folded.
	ready bool
	done  chan struct{}
}

// adoptRequest carries a restored fold, if any, and the records that follow it.
// adopted receives whether the request changed the fold.
type adoptRequest struct {
	fold    *config.Fold
	records []devplatform.StoredRecord
	// ready is set if the follower is ready once something was adopted.
	ready   bool
	adopted chan bool
}

// writeRequest carries a record to append. done receives its outcome, exactly once.
type writeRequest struct {
	record config.Record
	done   chan writeOutcome
}

// writeAbandoned reports that the caller that waits on done no longer waits for a write.
// sent receives whether the record has been or may still be sent to the log.
type writeAbandoned struct {
	id   string
	done chan writeOutcome
	sent chan bool
}

// batchRequest requests the next records to append. batch receives them once there
// are some; it must have a buffer of at least one batch.
type batchRequest struct {
	batch chan<- batch
}

// batchResult reports the outcome of an append. err is nil if the batch was appended.
type batchResult struct {
	batch batch
	err   error
}

// writeOutcome is the outcome of a write: the result and offset of its fold, or an
// error.
type writeOutcome struct {
	result config.Result
	offset int64
	err    error
}

// batch is a set of records for one append.
type batch struct {
	// id identifies the append; retries reuse it.
	id      string
	data    []byte
	records []config.Record
}

func (recordsRead) event()    {}
func (adoptRequest) event()   {}
func (writeRequest) event()   {}
func (writeAbandoned) event() {}
func (batchRequest) event()   {}
func (batchResult) event()    {}
