// Package jobid creates and parses job IDs of the form "<home domain>.<UUIDv7>". The
// home domain is where a job is deduplicated; the UUID contains the time of issue.
package jobid

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	separator      = '.'
	uuidVersion    = 7
	timeBits       = 48
	versionNibble  = uuidVersion << 4
	variantRFC9562 = 0x80
)

// ErrInvalid is returned by Parse for a string that is not a job ID.
var ErrInvalid = errors.New(`jobid: not "<home domain>.<UUIDv7>"; use an ID that an entry issued`)

// Parts holds the components of a job ID.
type Parts struct {
	// Home is the failure domain where the job is deduplicated.
	Home state.DomainID
	// Issued is the issuer's wall-clock time of issue, with millisecond precision.
	Issued time.Time
}

// New returns an ID with the given home domain and wall-clock time of issue. It reads
// 16 bytes from random and returns an error if that fails.
func New(home state.DomainID, issued time.Time, random io.Reader) (state.JobID, error) {
	var id uuid.UUID
	if _, err := io.ReadFull(random, id[:]); err != nil {
		return "", fmt.Errorf("jobid: no random bytes; check the random source: %w", err)
	}
	tail := binary.BigEndian.Uint16(id[6:8])
	binary.BigEndian.PutUint64(id[:8], uint64(issued.UnixMilli())<<(64-timeBits))
	binary.BigEndian.PutUint16(id[6:8], tail)
	id[6] = id[6]&0x0f | versionNibble
	id[8] = id[8]&0x3f | variantRFC9562
	return state.JobID(string(home) + string(separator) + id.String()), nil
}

// Parse splits an ID into its parts. It returns ErrInvalid if id is not a job ID.
func Parse(id state.JobID) (Parts, error) {
	at := strings.LastIndexByte(string(id), separator)
	if at <= 0 {
		return Parts{}, ErrInvalid
	}
	text := string(id[at+1:])
	parsed, err := uuid.Parse(text)
	if err != nil || parsed.Version() != uuidVersion || parsed.String() != text {
		return Parts{}, ErrInvalid
	}
	millis := binary.BigEndian.Uint64(parsed[:8]) >> (64 - timeBits)
	return Parts{Home: state.DomainID(id[:at]), Issued: time.UnixMilli(int64(millis))}, nil
}
