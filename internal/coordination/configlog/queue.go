package configlog

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/config"
)

// queuedRecord is a record that is queued for an append.
type queuedRecord struct {
	record config.Record
	bytes  int
}

// writeQueue holds the records to append. Operators' writes go before those that the
// process originates itself.
type writeQueue struct {
	operatorWrites []queuedRecord
	ownWrites      []queuedRecord
}

// fromOperator reports whether records of a kind are written by operators.
func fromOperator(kind config.Kind) bool {
	switch kind {
	case config.KindPutContract, config.KindWithdrawContract, config.KindGrantKey, config.KindWithdrawKey,
		config.KindOpenQueue, config.KindCloseQueue, config.KindPutDomains,
		config.KindDrainUpstream, config.KindUndrainUpstream, config.KindEvacuateDomain, config.KindRestoreDomain:
		return true
	default:
		return false
	}
}

func (q *writeQueue) len() int { return len(q.operatorWrites) + len(q.ownWrites) }

func (q *writeQueue) push(record config.Record, bytes int) {
	item := queuedRecord{record: record, bytes: bytes}
	if fromOperator(record.Body.Kind()) {
		q.operatorWrites = append(q.operatorWrites, item)
		return
	}
	q.ownWrites = append(q.ownWrites, item)
}

// remove drops a record that is still queued and reports whether it was queued.
func (q *writeQueue) remove(id string) bool {
	before := q.len()
	matches := func(item queuedRecord) bool { return item.record.ID == id }
	q.operatorWrites = slices.DeleteFunc(q.operatorWrites, matches)
	q.ownWrites = slices.DeleteFunc(q.ownWrites, matches)
	return q.len() < before
}

// removeSnapshots drops the parts of snapshots that are still queued.
func (q *writeQueue) removeSnapshots() {
	q.ownWrites = slices.DeleteFunc(q.ownWrites, func(item queuedRecord) bool {
		return item.record.Body.Kind() == config.KindSnapshot
	})
}

// pop removes and returns the records of the next append, within the limits of a batch.
func (q *writeQueue) pop() []config.Record {
	var records []config.Record
	bytes := 0
	for _, list := range []*[]queuedRecord{&q.operatorWrites, &q.ownWrites} {
		for len(*list) > 0 {
			item := (*list)[0]
			full := len(records) >= maxBatchRecords || bytes+item.bytes > maxBatchBytes
			if len(records) > 0 && full {
				return records
			}
			records = append(records, item.record)
			bytes += item.bytes
			*list = (*list)[1:]
		}
	}
	return records
}
