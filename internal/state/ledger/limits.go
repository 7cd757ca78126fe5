package ledger

// Limits bound what the log takes in one append, in bytes.
type Limits struct {
	// RecordBytes bounds a record, RequestBytes the records of one append.
	RecordBytes, RequestBytes int
}

// Default limits of the log, in bytes.
const (
	DefaultRecordBytes  = 256 << 10
	DefaultRequestBytes = 2 << 20
)

// WithDefaults returns the limits with the defaults in place of those that are not set.
func (l Limits) WithDefaults() Limits {
	if l.RecordBytes <= 0 {
		l.RecordBytes = DefaultRecordBytes
	}
	if l.RequestBytes <= 0 {
		l.RequestBytes = DefaultRequestBytes
	}
	return l
}

// frameBytes is what a record takes besides its key and value: its length, and that of its key.
const frameBytes = 4 + 1

// Size returns the bytes that the record counts against the limits.
func (r *Record) Size() int { return frameBytes + len(r.Key) + len(r.Value) }

// Fit returns how many of the first records fit one append. It returns 0 if the first one is
// too large by itself.
func (l Limits) Fit(records []Record) (n int) {
	l = l.WithDefaults()
	total := 0
	for i := range records {
		size := records[i].Size()
		if total += size; size > l.RecordBytes || total > l.RequestBytes {
			return i
		}
	}
	return len(records)
}
