package configlog

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// NewWriteID returns a new unique ID for a write.
func NewWriteID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// Write appends a record and waits until this entry has folded it. It returns the
// result of the fold and the version (log offset) at which the record was folded. A
// record without an ID gets a new one. Repeat a write whose outcome is unknown with
// the same ID: the fold deduplicates the IDs of its most recent writes.
//
// The error is an *UnavailableError if the record was not read back from the stream
// within the write timeout, devplatform.ErrTooLarge, ErrQueueFull or ErrStopped (the
// last as the cause of an *UnavailableError). A record that was folded but rejected
// is not an error: see config.Result.Err.
func (f *Follower) Write(ctx context.Context, record config.Record) (config.Result, int64, error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "config.write")
	defer span.End()
	if record.Body == nil {
		return config.Result{}, 0, eris.New("configlog: the record has no body; set one")
	}
	if record.ID == "" {
		record.ID = NewWriteID()
	}
	if record.At == 0 {
		record.At = time.Now().UnixMilli()
	}
	span.SetAttributes(attribute.String("kind", string(record.Body.Kind())), attribute.String("write", record.ID))
	ctx, cancel := context.WithTimeout(ctx, f.opts.WriteTimeout)
	defer cancel()
	request := writeRequest{record: record, done: make(chan writeOutcome, 1)}
	if err := f.send(ctx, request); err != nil {
		return config.Result{}, 0, notWritten(record.ID, err)
	}
	select {
	case outcome := <-request.done:
		return outcome.result, outcome.offset, outcome.err
	case <-f.stopped:
		return config.Result{}, 0, outcomeUnknown(record.ID, ErrStopped)
	case <-ctx.Done():
		return f.abandonWrite(record.ID, request.done, ctx.Err())
	}
}

// abandonWrite ends the wait for a write. It returns the outcome if there is one by
// now, and otherwise an error that states whether the record was ever sent.
func (f *Follower) abandonWrite(id string, done chan writeOutcome, cause error) (config.Result, int64, error) {
	abandoned := writeAbandoned{id: id, done: done, sent: make(chan bool, 1)}
	if err := f.send(context.Background(), abandoned); err != nil {
		return config.Result{}, 0, outcomeUnknown(id, cause)
	}
	select {
	case outcome := <-done:
		return outcome.result, outcome.offset, outcome.err
	case sent := <-abandoned.sent:
		if sent {
			return config.Result{}, 0, outcomeUnknown(id, cause)
		}
		return config.Result{}, 0, notWritten(id, cause)
	case <-f.stopped:
		return config.Result{}, 0, outcomeUnknown(id, cause)
	}
}

func notWritten(id string, cause error) error {
	return &UnavailableError{WriteID: id, Written: state.NotRun, RetryAfter: unavailableRetryAfter, Cause: cause}
}

func outcomeUnknown(id string, cause error) error {
	return &UnavailableError{WriteID: id, Written: state.Unknown, RetryAfter: unavailableRetryAfter, Cause: cause}
}

// Register adds this entry to those that must confirm changes in its domain, and
// replaces an earlier incarnation on the same VM. The entry must not own upstreams
// until Register has returned nil. It waits until the follower is ready. It returns
// the errors of Write, of config.Result.Err and of ctx, and ErrStopped.
func (f *Follower) Register(ctx context.Context) error {
	select {
	case <-f.ready:
	case <-f.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		view := f.View()
		if _, ok := view.Entry(f.opts.Entry); ok {
			return nil
		}
		base := config.NoVersion
		if earlier, ok := view.EntryOn(f.opts.Entry.VM()); ok {
			base = earlier.Registered
		}
		body := config.RegisterEntry{Entry: f.opts.Entry, Domain: f.opts.Domain}
		result, _, err := f.Write(ctx, config.Record{Base: base, Body: body})
		if err != nil {
			return eris.Wrap(err, "register the entry")
		}
		if _, ok := f.View().Entry(f.opts.Entry); ok {
			return nil
		}
		if result.Outcome != config.Conflict {
			return eris.Wrap(result.Err(), "register the entry")
		}
	}
}

// Unregister removes the registration of this entry. The caller must have released
// everything that the entry owns. It returns the errors of Write and of
// config.Result.Err.
func (f *Follower) Unregister(ctx context.Context) error {
	body := config.UnregisterEntry{Entry: f.opts.Entry}
	result, _, err := f.Write(ctx, config.Record{Base: config.AnyVersion, Body: body})
	if err != nil {
		return eris.Wrap(err, "unregister the entry")
	}
	return eris.Wrap(result.Err(), "unregister the entry")
}

// encodeOne checks that a record fits into one append and returns its encoded size in
// bytes.
func encodeOne(record config.Record) (int, error) {
	data, err := config.Encode([]config.Record{record})
	if err != nil {
		return 0, err
	}
	if len(data) > devplatform.MaxRecordBytes {
		return 0, devplatform.ErrTooLarge
	}
	return len(data), nil
}
