package configlog

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/config"
)

// queued is a record that waits for its append.
type queued struct {
	record config.Record
	bytes  int
}

// writeQueue holds records until their append, operators' before others.
type writeQueue struct {
	operators []queued
	others    []queued
}

// fromOperator reports whether a record changes what operators decide.
func fromOperator(kind config.Kind) bool {
	switch kind {
	case config.KindPutContract, config.KindWithdrawContract, config.KindGrantKey, config.KindWithdrawKey,
		config.KindOpenQueue, config.KindCloseQueue, config.KindPutDomains,
		config.KindDrainUpstream, config.KindUndrainUpstream:
		return true
	default:
		return false
	}
}

func (q *writeQueue) len() int { return len(q.operators) + len(q.others) }

func (q *writeQueue) push(record config.Record, bytes int) {
	row := queued{record: record, bytes: bytes}
	if fromOperator(record.Body.Kind()) {
		q.operators = append(q.operators, row)
		return
	}
	q.others = append(q.others, row)
}

// remove drops a record that was not handed out and reports whether it was
// there.
func (q *writeQueue) remove(id string) bool {
	before := q.len()
	matches := func(row queued) bool { return row.record.ID == id }
	q.operators = slices.DeleteFunc(q.operators, matches)
	q.others = slices.DeleteFunc(q.others, matches)
	return q.len() < before
}

// removeSnapshots drops the parts of snapshots that were not handed out.
func (q *writeQueue) removeSnapshots() {
	q.others = slices.DeleteFunc(q.others, func(row queued) bool {
		return row.record.Body.Kind() == config.KindSnapshot
	})
}

// pop removes and returns the records of the next append.
func (q *writeQueue) pop() []config.Record {
	var records []config.Record
	bytes := 0
	for _, list := range []*[]queued{&q.operators, &q.others} {
		for len(*list) > 0 {
			row := (*list)[0]
			full := len(records) >= maxBatchRecords || bytes+row.bytes > maxBatchBytes
			if len(records) > 0 && full {
				return records
			}
			records = append(records, row.record)
			bytes += row.bytes
			*list = (*list)[1:]
		}
	}
	return records
}
