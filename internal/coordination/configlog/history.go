package configlog

import (
	"slices"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// history keeps the most recent records for peers. Elements of its slice are never
// overwritten, so that readers may keep an earlier slice.
type history struct {
	records []devplatform.StoredRecord
	bytes   int
}

func (h *history) add(stored devplatform.StoredRecord) {
	h.records = append(h.records, stored)
	h.bytes += len(stored.Data)
	if len(h.records) <= historyRecords && h.bytes <= historyBytes {
		return
	}
	// Drop half of the records at once, so that the slice is copied rarely.
	h.records = slices.Clone(h.records[len(h.records)/2:])
	h.bytes = 0
	for _, kept := range h.records {
		h.bytes += len(kept.Data)
	}
}
