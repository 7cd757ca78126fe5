package devplatform

import (
	"context"
	"time"
)

// MaxRecordBytes is the largest Data of one Record, in bytes.
const MaxRecordBytes = 1 << 20

// Record is one entry of a log stream.
type Record struct {
	// ID identifies the write. The service does not deduplicate: a second append with the
	// same ID to the same stream is stored again, and readers drop the duplicate.
	ID string `json:"id"`
	// Data is the content, which the service does not interpret; at most MaxRecordBytes.
	Data []byte `json:"data"`
}

// StoredRecord is a Record with the offset that the log service assigned to it.
type StoredRecord struct {
	Offset int64 `json:"offset"`
	Record
}

// AppendRequest appends one record to a stream.
type AppendRequest struct {
	Stream string `json:"stream"`
	Record Record `json:"record"`
	// ExpectedOffset, if not nil, makes the append conditional: it fails with
	// ErrOffsetMismatch unless the record would get this offset.
	ExpectedOffset *int64 `json:"expected_offset,omitempty"`
}

// ReadRequest reads the records of a stream from an offset on.
type ReadRequest struct {
	Stream string `json:"stream"`
	// From is the first offset to return. The first offset of a stream is 0.
	From int64 `json:"from"`
	// Limit is the maximum number of records; 0 means the limit of the service.
	Limit int `json:"limit"`
	// Wait is how long the service may wait for a record at From before it replies
	// without records (long poll).
	Wait time.Duration `json:"wait"`
}

// ReadReply holds consecutive records of a stream.
type ReadReply struct {
	Records []StoredRecord `json:"records"`
	// Oldest is the first offset within the retention.
	Oldest int64 `json:"oldest"`
	// Tail is the offset of the next append.
	Tail int64 `json:"tail"`
}

// Log is the interface to the platform's append-only log service.
//
// Append returns the offset of the new record. Errors: ErrOffsetMismatch (nothing was
// written), ErrTooLarge (nothing was written), ErrUnavailable (the outcome is unknown: the
// record may have been written).
//
// Read returns the records from an offset on, in order and without gaps. Errors:
// ErrOffsetExpired (From is older than the retention; the reply has no records, but Oldest
// and Tail are set: find a snapshot and read from Oldest), ErrUnavailable. A From beyond
// Tail is not an error: the reply has no records.
//
// Both fail with ErrNotSent if the call never left the process.
type Log interface {
	Append(ctx context.Context, req AppendRequest) (int64, error)
	Read(ctx context.Context, req ReadRequest) (ReadReply, error)
}
