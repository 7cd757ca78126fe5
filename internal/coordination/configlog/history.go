package configlog

import (
	"slices"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// history keeps the last records for peers. Its slice only grows at the end,
// so that readers may keep an older one.
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
	// Half is dropped at once, so that the copy is rare.
	h.records = slices.Clone(h.records[len(h.records)/2:])
	h.bytes = 0
	for _, kept := range h.records {
		h.bytes += len(kept.Data)
	}
}
