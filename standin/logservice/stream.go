package logservice

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// kept is a record with the time it was appended.
type kept struct {
	devplatform.StoredRecord
	at time.Time
}

// stream is one log stream. The caller holds the service's lock.
type stream struct {
	oldest  int64
	records []kept
	// grown is closed and replaced at each append.
	grown chan struct{}
}

func newStream() *stream { return &stream{grown: make(chan struct{})} }

func (s *stream) tail() int64 { return s.oldest + int64(len(s.records)) }

func (s *stream) append(record devplatform.Record, now time.Time) int64 {
	offset := s.tail()
	record.Data = slices.Clone(record.Data)
	s.records = append(s.records, kept{devplatform.StoredRecord{Offset: offset, Record: record}, now})
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// trim drops the records that the retention keeps no longer.
func (s *stream) trim(config Config, now time.Time) {
	n := 0
	if config.RetainRecords > 0 {
		n = max(0, len(s.records)-config.RetainRecords)
	}
	for config.RetainAge > 0 && n < len(s.records) && now.Sub(s.records[n].at) > config.RetainAge {
		n++
	}
	s.drop(n)
}

// drop forgets the n oldest records.
func (s *stream) drop(n int) {
	s.oldest += int64(n)
	s.records = slices.Delete(s.records, 0, n)
}

// from returns records from an offset that is not forgotten.
func (s *stream) from(offset int64, limit int) []devplatform.StoredRecord {
	if offset >= s.tail() {
		return nil
	}
	if limit == 0 || limit > defaultReadRecords {
		limit = defaultReadRecords
	}
	var found []devplatform.StoredRecord
	size := 0
	for _, record := range s.records[offset-s.oldest:] {
		if len(found) == limit || size > maxReadBytes {
			break
		}
		found = append(found, record.StoredRecord)
		size += len(record.Data)
	}
	return found
}
