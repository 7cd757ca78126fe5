package devplatform

import (
	"context"
	"time"
)

// MaxRecordBytes is the largest Data of one Record, in bytes.
const MaxRecordBytes = 1 << 20

// Record is one entry of a log stream.
type Record struct {
	// ID identifies the write. A second append with the same ID to the same
	// stream is stored again; readers drop the repeat by ID.
	ID string `json:"id"`
	// Data is the opaque content, MaxRecordBytes at most.
	Data []byte `json:"data"`
}

// StoredRecord is a Record with the offset that the log service gave it.
type StoredRecord struct {
	Offset int64 `json:"offset"`
	Record
}

// AppendRequest asks for one record at the end of a stream.
type AppendRequest struct {
	Stream string `json:"stream"`
	Record Record `json:"record"`
	// ExpectedOffset, when not nil, makes the append conditional: it fails
	// with ErrOffsetMismatch unless the record would get this offset.
	ExpectedOffset *int64 `json:"expected_offset,omitempty"`
}

// ReadRequest asks for the records of a stream from an offset on.
type ReadRequest struct {
	Stream string `json:"stream"`
	// From is the first offset wanted. The first offset of a stream is 0.
	From int64 `json:"from"`
	// Limit is the most records to return; 0 means the service's own limit.
	Limit int `json:"limit"`
	// Wait is how long the service may hold the call when there is nothing
	// at From yet.
	Wait time.Duration `json:"wait"`
}

// ReadReply carries consecutive records of a stream.
type ReadReply struct {
	Records []StoredRecord `json:"records"`
	// Oldest is the first offset that the service still keeps.
	Oldest int64 `json:"oldest"`
	// Tail is the offset that the next append will get.
	Tail int64 `json:"tail"`
}

// Log is the port to the platform's append-only log service.
//
// Append returns the offset of the new record. Errors: ErrOffsetMismatch
// (nothing was written), ErrUnavailable (nothing is known: the write may have
// taken effect), ErrTooLarge (nothing was written).
//
// Read returns the records from an offset on, in order, without gaps. Errors:
// ErrForgotten (From is older than the retention; the reply has no records but
// Oldest and Tail are set, read from Oldest after finding a snapshot),
// ErrUnavailable. A From past Tail is not an error: the reply has no records.
//
// Both fail with ErrNotSent when the call never left the process.
type Log interface {
	Append(ctx context.Context, req AppendRequest) (int64, error)
	Read(ctx context.Context, req ReadRequest) (ReadReply, error)
}
