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
	streamPrefix   = "ownership/"
	readLimit      = 100
	readWait       = 20 * time.Second
	readBackoffMin = 200 * time.Millisecond
	readBackoffMax = 5 * time.Second
)

// claimRecord is a record of the ownership stream of a domain.
type claimRecord struct {
	Shard coordination.ShardID `json:"shard"`
	Epoch devplatform.Epoch    `json:"epoch"`
}

// claimLog is the stream of the claims in a domain.
type claimLog struct {
	log    devplatform.Log
	stream string
}

func newClaimLog(log devplatform.Log, domain state.DomainID) claimLog {
	return claimLog{log: log, stream: streamPrefix + string(domain)}
}

// append writes a claim at the given offset. Errors are those of devplatform.Log.
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

// batch is what a read of the stream brought.
type batch struct {
	claims []claimRecord
	// next is the offset after the last record read.
	next int64
}

// follow reads the newest records and then every new one, and gives them to
// deliver, until ctx ends.
func (l claimLog) follow(ctx context.Context, deliver func(batch)) error {
	delay := &backoff.ExponentialBackOff{
		InitialInterval:     readBackoffMin,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         readBackoffMax,
	}
	from := int64(math.MaxInt64)
	for ctx.Err() == nil {
		reply, err := l.log.Read(ctx, devplatform.ReadRequest{Stream: l.stream, From: from, Limit: readLimit, Wait: waitFor(from)})
		switch {
		case errors.Is(err, devplatform.ErrForgotten):
			from = math.MaxInt64
		case err == nil && from == math.MaxInt64:
			from = max(reply.Oldest, reply.Tail-readLimit)
			delay.Reset()
			if from == reply.Tail {
				deliver(batch{next: from})
			}
			continue
		case err == nil:
			b := decodeBatch(reply, from)
			from = b.next
			deliver(b)
			delay.Reset()
			continue
		}
		_ = retry.Sleep(ctx, delay.NextBackOff())
	}
	return nil
}

// waitFor returns how long a read may be held: the first one is not.
func waitFor(from int64) time.Duration {
	if from == math.MaxInt64 {
		return 0
	}
	return readWait
}

// decodeBatch skips records that are not claims.
func decodeBatch(reply devplatform.ReadReply, from int64) batch {
	b := batch{next: from}
	for _, stored := range reply.Records {
		b.next = stored.Offset + 1
		var record claimRecord
		if json.Unmarshal(stored.Data, &record) == nil {
			b.claims = append(b.claims, record)
		}
	}
	return b
}
