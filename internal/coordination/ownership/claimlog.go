package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/retry"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const (
	streamPrefix = "ownership/"
	// readLimit is the largest number of records of one read.
	readLimit = 100
	// readWait is how long a read waits for new records.
	readWait       = 20 * time.Second
	readBackoffMin = 200 * time.Millisecond
	readBackoffMax = 5 * time.Second
)

// claimRecord is a record of the ownership stream of a domain: the claim of an
// epoch for a shard.
type claimRecord struct {
	Shard coordination.ShardID `json:"shard"`
	Epoch devplatform.Epoch    `json:"epoch"`
}

// claimLog is the log stream of the claims in a domain.
type claimLog struct {
	log    devplatform.Log
	stream string
}

func newClaimLog(log devplatform.Log, domain state.DomainID) claimLog {
	return claimLog{log: log, stream: streamPrefix + string(domain)}
}

// append writes a claim at the given offset. It returns the errors of
// devplatform.Log, such as ErrOffsetMismatch when the offset is taken.
func (l claimLog) append(ctx context.Context, record claimRecord, offset int64) error {
	data, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode claim")
	}
	_, err = l.log.Append(ctx, devplatform.AppendRequest{
		Stream:         l.stream,
		Record:         devplatform.Record{ID: uuid.NewString(), Data: data},
		ExpectedOffset: &offset,
	})
	return err
}

// claimBatch is the result of one read of the stream.
type claimBatch struct {
	claims []claimRecord
	// nextOffset is the offset after the last record read.
	nextOffset int64
}

// follow reads the newest records and then every new one until ctx ends, and
// passes them to deliver. It retries failed reads with backoff, and starts again
// from the newest records when the log no longer keeps the offset to read.
func (l claimLog) follow(ctx context.Context, deliver func(claimBatch)) error {
	delay := &backoff.ExponentialBackOff{
		InitialInterval:     readBackoffMin,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         readBackoffMax,
	}
	from := int64(math.MaxInt64)
	for ctx.Err() == nil {
		reply, err := l.log.Read(ctx, devplatform.ReadRequest{Stream: l.stream, From: from, Limit: readLimit, Wait: longPollWait(from)})
		switch {
		case errors.Is(err, devplatform.ErrOffsetExpired):
			from = math.MaxInt64
		case err == nil && from == math.MaxInt64:
			from = max(reply.Oldest, reply.Tail-readLimit)
			delay.Reset()
			if from == reply.Tail {
				deliver(claimBatch{nextOffset: from})
			}
			continue
		case err == nil:
			b := decodeClaims(reply, from)
			from = b.nextOffset
			deliver(b)
			delay.Reset()
			continue
		}
		_ = retry.Sleep(ctx, delay.NextBackOff())
	}
	return nil
}

// longPollWait returns how long a read may wait for records. The first read does
// not wait: it only looks up the tail.
func longPollWait(from int64) time.Duration {
	if from == math.MaxInt64 {
		return 0
	}
	return readWait
}

// decodeClaims returns the claims of a reply to a read from an offset. It skips
// records that are not claims.
func decodeClaims(reply devplatform.ReadReply, from int64) claimBatch {
	b := claimBatch{nextOffset: from}
	for _, stored := range reply.Records {
		b.nextOffset = stored.Offset + 1
		var record claimRecord
		if json.Unmarshal(stored.Data, &record) == nil {
			b.claims = append(b.claims, record)
		}
	}
	return b
}
