package configlog

import (
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// event is something that the goroutine owning the fold must handle.
type event interface{ event() }

// recordsRead brings consecutive records. done is closed once they are folded.
type recordsRead struct {
	records []devplatform.StoredRecord
	// ready says that the follower is ready after these records.
	ready bool
	done  chan struct{}
}

// foldOffered brings a restored fold and the records that follow it. taken
// receives whether it moved the version.
type foldOffered struct {
	fold    *config.Fold
	records []devplatform.StoredRecord
	// ready says that the follower is ready once something was taken.
	ready bool
	taken chan bool
}

// writeAsked brings a record to append. done receives its outcome, once.
type writeAsked struct {
	record config.Record
	done   chan writeOutcome
}

// writeGivenUp says that nobody waits for a write any more. sent receives
// whether the record was handed to the log before.
type writeGivenUp struct {
	id   string
	sent chan bool
}

// batchWanted asks for records to append. batch receives them once there are
// some, and must have room for one.
type batchWanted struct {
	batch chan<- batch
}

// batchDone tells what became of a batch. err is nil when it was appended.
type batchDone struct {
	batch batch
	err   error
}

// writeOutcome is the end of a write.
type writeOutcome struct {
	result config.Result
	offset int64
	err    error
}

// batch is a set of records for one append.
type batch struct {
	// id identifies the append; it stays the same when it is repeated.
	id      string
	data    []byte
	records []config.Record
}

func (recordsRead) event()  {}
func (foldOffered) event()  {}
func (writeAsked) event()   {}
func (writeGivenUp) event() {}
func (batchWanted) event()  {}
func (batchDone) event()    {}
