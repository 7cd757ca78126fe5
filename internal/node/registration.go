package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// registrationRetryInterval is the pause after a failed append of a registration to the
// ledger.
const registrationRetryInterval = 300 * time.Millisecond

// appender is the part of the log that registrations use.
type appender interface {
	Append(ctx context.Context, a port.Append) (int64, error)
}

// writeRegistration appends the registration of an entry to the ledger, or its removal if
// e.Gone is set. A registration is retried until it succeeds or ctx ends. A removal is
// attempted once, because a process that stops must not wait for the log; other entries
// notice a registration that stays behind when they can't reach the entry.
func writeRegistration(ctx context.Context, log appender, logger hclog.Logger, e *ledger.Entry) {
	record, err := ledger.EntryRecord(e)
	if err != nil {
		logger.Error("registration of the entry not encoded; it is not written", "entry", e.Name, "gone", e.Gone, "error", err)
		return
	}
	for ctx.Err() == nil {
		_, err = log.Append(ctx, port.Append{Topic: port.TopicJobs, Records: []ledger.Record{record}, At: port.AnyOffset})
		if err == nil {
			return
		}
		if e.Gone {
			logger.Warn("registration of the entry not removed", "entry", e.Name, "error", err)
			return
		}
		logger.Debug("registration of the entry not written; retrying", "entry", e.Name, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(registrationRetryInterval):
		}
	}
}
