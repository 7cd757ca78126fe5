package logservice

import (
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// timedRecord is a record with the time at which it was appended.
type timedRecord struct {
	devplatform.StoredRecord
	at time.Time
}

// stream is one log stream. Callers of its methods must hold the service's lock.
type stream struct {
	// oldest is the offset of the first record kept.
	oldest  int64
	records []timedRecord
	// appended is closed and replaced at each append.
	appended chan struct{}
}

func newStream() *stream { return &stream{appended: make(chan struct{})} }

func (s *stream) tail() int64 { return s.oldest + int64(len(s.records)) }

func (s *stream) append(record devplatform.Record, now time.Time) int64 {
	offset := s.tail()
	record.Data = slices.Clone(record.Data)
	s.records = append(s.records, timedRecord{devplatform.StoredRecord{Offset: offset, Record: record}, now})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// trim drops the records that are outside the retention.
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

// drop drops the n oldest records.
func (s *stream) drop(n int) {
	s.oldest += int64(n)
	s.records = slices.Delete(s.records, 0, n)
}

// readFrom returns records from an offset on, which must not be below oldest. A limit of 0
// means defaultReadRecords.
func (s *stream) readFrom(offset int64, limit int) []devplatform.StoredRecord {
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
