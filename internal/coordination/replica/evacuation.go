package replica

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/bootclock"
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// Option changes a Replica that New returns.
type Option func(*Replica)

// WithClock replaces the clock by which the age of reads of the operators' topic is measured.
func WithClock(clock bootclock.Clock) Option { return func(r *Replica) { r.evacuations.clock = clock } }

// WithEvacuationLimit sets within what time an evacuation must be in force. The owner then
// reads the operators' topic so often that the age of the newest read stays far below it.
func WithEvacuationLimit(limit time.Duration) Option {
	return func(r *Replica) { r.evacuations.limit = limit }
}

// ownerReadsPerLimit is how many reads of the operators' topic the owner makes within the
// evacuation limit at least. With 10 the newest read is at most a fifth of the limit old: one
// read without records lasts for its wait, and counts from its request until the next ends.
const ownerReadsPerLimit = 10

// operatorsWait returns how long the log may hold a read of the operators' topic open.
func (r *Replica) operatorsWait() time.Duration {
	if limit := r.evacuations.limit; limit > 0 && ReadMode(r.mode.Load()) != Following {
		return min(readWait, limit/ownerReadsPerLimit)
	}
	return readWait
}

// evacuations follows the operators' requests to evacuate failure domains.
type evacuations struct {
	clock bootclock.Clock
	limit time.Duration
	// fold is used only by the goroutine that follows the operators' topic.
	fold    evacuation.Fold
	changes metrics.Counter
}

// evacuationRead is what a read of the operators' topic showed. Every request that the log held
// when the read was sent is in set or was withdrawn.
type evacuationRead struct {
	set evacuation.Set
	// sentAt is when the read was sent, by the replica's bootclock.Clock. The time of the
	// response would be too late: it may have waited in a buffer while the process was
	// paused.
	sentAt time.Duration
}

// Evacuation returns the evacuated failure domains as of the newest complete read of the
// operators' topic, and the age of this read, which includes time in which the process or its
// VM was paused. Failed reads change neither the set nor the time of the read.
func (r *Replica) Evacuation() (evacuation.Set, time.Duration) {
	e := r.evacuation.Load()
	if e == nil {
		return evacuation.Set{}, neverRead
	}
	return e.set, r.evacuations.clock() - e.sentAt
}

// registerEvacuationMetrics registers the metrics of the evacuations.
func (r *Replica) registerEvacuationMetrics(registry metrics.Registry) {
	r.evacuations.changes = metrics.GetOrRegisterCounter("replica.evacuation_changes", registry)
	metrics.NewRegisteredFunctionalGauge("replica.evacuated_domains", registry, func() int64 {
		set, _ := r.Evacuation()
		return int64(set.Len())
	})
	metrics.NewRegisteredFunctionalGauge("replica.operators_age_ms", registry, func() int64 {
		_, age := r.Evacuation()
		return age.Milliseconds()
	})
}

// applyEvacuations folds the requests of a batch, which was requested at sentAt. full says
// that it holds the newest record of every key. A batch after which more records remain says
// nothing about those, so it does not count as a complete read.
func (r *Replica) applyEvacuations(batch port.Batch, full bool, sentAt time.Duration) {
	var requests []evacuation.Request
	for _, record := range batch.Records {
		request, ok, err := r.decoder.Evacuation(record)
		switch {
		case err != nil:
			r.logOnce(record, "invalid operators' record ignored", "error", err)
			continue
		case !ok:
			continue
		case request.Unexpected != "":
			r.logOnce(record, "evacuation request has an unexpected value; the domain is evacuated", "domain", request.Domain, "value", request.Unexpected)
		}
		requests = append(requests, request)
	}
	e := &r.evacuations
	if full {
		before := e.fold.Set()
		absent := e.fold.Reload(requests, batch.Next)
		r.logEvacuationChange(before, "read all", batch.Next)
		if len(absent) > 0 {
			r.logger.Info("evacuations withdrawn: absent from the operators' records", "domains", absent, "next", batch.Next)
		}
	} else {
		for _, request := range requests {
			before := e.fold.Set()
			if e.fold.Apply(request) {
				r.logEvacuationChange(before, "record", request.Offset)
			}
		}
	}
	next := &evacuationRead{set: e.fold.Set(), sentAt: sentAt}
	complete := full || batch.Next >= batch.End && (batch.End > 0 || len(batch.Records) == 0)
	if old := r.evacuation.Load(); !complete {
		if old == nil {
			return
		}
		next.sentAt = old.sentAt
	}
	r.evacuation.Store(next)
}

// logOnce logs that an operators' record is not as expected, once for each time that the record
// was written: it is read again with each read of the newest records.
func (r *Replica) logOnce(record ledger.Record, message string, args ...any) {
	if offset, known := r.unexpected[record.Key]; known && offset == record.Offset {
		return
	}
	r.unexpected[record.Key] = record.Offset
	r.logger.Warn(message, append([]any{"key", record.Key, "offset", record.Offset}, args...)...)
}

// logEvacuationChange logs how the set of evacuated domains differs from an earlier one.
func (r *Replica) logEvacuationChange(before evacuation.Set, source string, offset int64) {
	now := r.evacuations.fold.Set()
	for _, domain := range now.Without(before) {
		r.evacuations.changes.Inc(1)
		r.logger.Info("domain evacuated", "domain", domain, "source", source, "offset", offset)
	}
	for _, domain := range before.Without(now) {
		r.evacuations.changes.Inc(1)
		r.logger.Info("domain restored", "domain", domain, "source", source, "offset", offset)
	}
}
