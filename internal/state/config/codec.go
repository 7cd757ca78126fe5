package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

// FormatVersion is the version of the encoding of records and snapshots.
const FormatVersion = 1

// ErrMalformed is returned for data of the stream that is not a valid batch of
// records.
var ErrMalformed = errors.New("config: the data is not a valid batch of records; write to the stream only with samphirectl or an entry")

type wireRecord struct {
	ID   string          `json:"id"`
	Kind Kind            `json:"kind"`
	Base int64           `json:"base"`
	At   int64           `json:"at"`
	Body json.RawMessage `json:"body"`
}

type wireBatch struct {
	Format  int          `json:"v"`
	Records []wireRecord `json:"records"`
}

// Encode encodes records as the data of one record of the log stream. The
// records are folded in the given order, all at the offset of that log record.
func Encode(records []Record) ([]byte, error) {
	batch := wireBatch{Format: FormatVersion, Records: make([]wireRecord, 0, len(records))}
	for _, record := range records {
		body, err := json.Marshal(record.Body)
		if err != nil {
			return nil, fmt.Errorf("config: encode %s: %w", record.Body.Kind(), err)
		}
		batch.Records = append(batch.Records, wireRecord{
			ID: record.ID, Kind: record.Body.Kind(), Base: record.Base, At: record.At, Body: body,
		})
	}
	return json.Marshal(batch)
}

// Decode parses the data of one log record. A record whose kind or format is
// unknown to this release has a nil Body. Any error wraps ErrMalformed.
func Decode(data []byte) ([]Record, error) {
	var batch wireBatch
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if batch.Format < FormatVersion {
		return nil, fmt.Errorf("%w: format %d", ErrMalformed, batch.Format)
	}
	records := make([]Record, 0, len(batch.Records))
	for _, wire := range batch.Records {
		record := Record{ID: wire.ID, Base: wire.Base, At: wire.At}
		if batch.Format == FormatVersion {
			body, err := decodeBody(wire.Kind, wire.Body)
			if err != nil {
				return nil, fmt.Errorf("%w: %s: %w", ErrMalformed, wire.Kind, err)
			}
			record.Body = body
		}
		records = append(records, record)
	}
	return records, nil
}

func parse[T Body](data []byte) (Body, error) {
	var body T
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	return body, nil
}

// decodeBody returns a nil Body and no error for an unknown kind.
func decodeBody(kind Kind, data []byte) (Body, error) {
	switch kind {
	case KindPutContract:
		return parse[PutContract](data)
	case KindWithdrawContract:
		return parse[WithdrawContract](data)
	case KindGrantKey:
		return parse[GrantKey](data)
	case KindWithdrawKey:
		return parse[WithdrawKey](data)
	case KindOpenQueue:
		return parse[OpenQueue](data)
	case KindCloseQueue:
		return parse[CloseQueue](data)
	case KindPutDomains:
		return parse[PutDomains](data)
	case KindRegisterEntry:
		return parse[RegisterEntry](data)
	case KindUnregisterEntry:
		return parse[UnregisterEntry](data)
	case KindConfirm:
		return parse[Confirm](data)
	case KindMoveAllotment:
		return parse[MoveAllotment](data)
	case KindJoinUpstreams:
		return parse[JoinUpstreams](data)
	case KindDropUpstreams:
		return parse[DropUpstreams](data)
	case KindDrainUpstream:
		return parse[DrainUpstream](data)
	case KindUndrainUpstream:
		return parse[UndrainUpstream](data)
	case KindEvacuateDomain:
		return parse[EvacuateDomain](data)
	case KindRestoreDomain:
		return parse[RestoreDomain](data)
	case KindClaimShard:
		return parse[ClaimShard](data)
	case KindSnapshot:
		return parse[Snapshot](data)
	default:
		return nil, nil
	}
}
