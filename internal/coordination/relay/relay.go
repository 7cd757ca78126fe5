// Package relay routes calls to the platform's log through another entry while the log
// does not respond to this one.
package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

const (
	// A direct append times out after appendTimeoutFactor times the usual latency of an
	// append, within minAppendTimeout and maxAppendTimeout. The latter leaves time for
	// a relay within a caller's deadline. An append without a response from a log that
	// still answers reads is retried once: the response was lost, or the log has become
	// slow.
	appendTimeoutFactor = 6
	minAppendTimeout    = 250 * time.Millisecond
	maxAppendTimeout    = 1500 * time.Millisecond
	// slowestLink is the bandwidth of the smallest entry VMs, 10 Mbit/s, in bytes per second.
	// The time that an append's records take on it is added to each of its timeouts.
	slowestLink = 10_000_000 / 8
	// latencyWeight is the weight of the newest append in the smoothed latency.
	latencyWeight = 0.2
	// directAttempts is how often an append is attempted directly.
	directAttempts = 2
	// recentReadAge is the maximum age of a successful read that shows that the log
	// responds.
	recentReadAge = time.Second
	// slowAppendLatency is the smoothed latency above which the log counts as slow; a
	// healthy one takes some 10 ms. After slowTTL without an append the log no longer
	// counts as slow, so that it is tried again.
	slowAppendLatency = 120 * time.Millisecond
	slowTTL           = 3 * time.Second
	// unreachableTTL is how long another entry's report that it cannot reach the log
	// remains valid.
	unreachableTTL = time.Second
	// relayAppendTimeout bounds an append through another entry.
	relayAppendTimeout = 900 * time.Millisecond
	// relayReadTimeout bounds a read through another entry, in addition to its wait. Only
	// within relayRetryWindow of the first attempt is a second entry asked, so that the
	// log itself is tried again soon.
	relayReadTimeout = 4 * time.Second
	relayRetryWindow = time.Second
	// After a failed read, and after a failed append, reads go through other entries for
	// readPause or appendPause; the next direct read then shows whether the log responds.
	readPause   = 1200 * time.Millisecond
	appendPause = 250 * time.Millisecond
	// maxRelays is the maximum number of entries through which one call is attempted.
	maxRelays = 2
)

// Peers makes calls to the log through other entries.
type Peers interface {
	Append(ctx context.Context, address string, a port.Append) (int64, error)
	Read(ctx context.Context, address string, q port.ReadQuery) (port.Batch, error)
}

// Log is a port.Log that falls back to other entries. It is safe for concurrent use.
type Log struct {
	direct port.Log
	peers  Peers
	logger hclog.Logger
	// addresses returns the addresses of the other entries.
	addresses func() []string
	relayed   metrics.Counter

	mu                sync.Mutex
	directPausedUntil time.Time
	directFailed      bool
	// appendLatency is the smoothed latency of a direct append.
	appendLatency   time.Duration
	appendLatencyAt time.Time
	// readAt is when the log last answered a direct read.
	readAt time.Time
	// preferred is the entry that last relayed a call successfully.
	preferred string
	// unreachableAt is when another entry last reported that it cannot reach the log.
	unreachableAt time.Time
	// relayFailed is set while the newest relayed read failed.
	relayFailed bool
}

// New returns a Log. addresses returns the addresses of the entries that may relay.
func New(direct port.Log, peers Peers, addresses func() []string, logger hclog.Logger, registry metrics.Registry) *Log {
	return &Log{direct: direct, peers: peers, addresses: addresses, logger: logger, relayed: metrics.GetOrRegisterCounter("relay.calls", registry)}
}

// transferTime returns the time that records take on the slowest link.
func transferTime(records []ledger.Record) time.Duration {
	bytes := 0
	for _, r := range records {
		bytes += len(r.Key) + len(r.Value)
	}
	return time.Duration(bytes) * time.Second / slowestLink
}

// isAnswer reports whether an error, or nil, is an answer of the log itself.
func isAnswer(err error) bool {
	var conflict *port.ConflictError
	var rejected *port.RejectedError
	return err == nil || errors.As(err, &rejected) || errors.Is(err, port.ErrFenced) || errors.Is(err, port.ErrExpired) || errors.As(err, &conflict)
}

// tryDirectRead reports whether a read is attempted directly.
func (l *Log) tryDirectRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().After(l.directPausedUntil)
}

// tryDirectAppend reports whether an append is attempted directly, and its timeout.
// Appends never probe a log that does not respond: one without a response may have been
// carried out, which leaves its caller with an unknown outcome.
func (l *Log) tryDirectAppend() (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.directFailed, min(max(appendTimeoutFactor*l.appendLatency, minAppendTimeout), maxAppendTimeout)
}

// recordDirectResult records the outcome of a direct call.
func (l *Log) recordDirectResult(err error, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isAnswer(err) {
		if l.directFailed {
			l.logger.Info("log reachable directly again")
		}
		l.directFailed, l.directPausedUntil = false, time.Time{}
		return
	}
	if !l.directFailed {
		l.logger.Warn("log not reachable directly", "error", err, "action", "ask other entries")
	}
	l.directFailed, l.directPausedUntil = true, time.Now().Add(pause)
}

// recordAppendLatency updates the smoothed latency. An append without a response takes at
// least as long as it was waited for.
func (l *Log) recordAppendLatency(d time.Duration, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendLatencyAt = time.Now()
	if !answered {
		l.appendLatency = max(l.appendLatency, d)
		return
	}
	l.appendLatency += time.Duration(latencyWeight * float64(d-l.appendLatency))
}

// Slow reports whether recent appends took so long that more of them would delay the
// owner's: a partition serves its appends one after the other.
func (l *Log) Slow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendLatency > slowAppendLatency && time.Since(l.appendLatencyAt) < slowTTL
}

// hasReadAfter reports whether the log answered a direct read after t.
func (l *Log) hasReadAfter(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt.After(t)
}

// relays returns the entries to try, the one that last relayed successfully first.
func (l *Log) relays() []string {
	all := slices.Clone(l.addresses())
	l.mu.Lock()
	preferred := l.preferred
	l.mu.Unlock()
	if i := slices.Index(all, preferred); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	return all[:min(len(all), maxRelays)]
}

// recordRelayResult records the outcome of a call through another entry.
func (l *Log) recordRelayResult(address string, err error) {
	l.relayed.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case isAnswer(err):
		l.preferred, l.unreachableAt = address, time.Time{}
		return
	case l.preferred == address:
		l.preferred = ""
	}
	var relayed *port.RelayedError
	if errors.Is(err, port.ErrNotDone) || errors.As(err, &relayed) {
		l.unreachableAt = time.Now()
	}
}

// Unreachable reports whether other entries cannot reach the log either, so that a caller
// gains nothing by asking one of them.
func (l *Log) Unreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.unreachableAt) < unreachableTTL
}

// Append implements port.Log. Retrying an append through another entry is idempotent:
// plain records are identical, and fenced ones carry a sequence number.
func (l *Log) Append(ctx context.Context, a port.Append) (int64, error) {
	notDone := true
	var last, unconfirmed error
	transfer := transferTime(a.Records)
	attempt := func(timeout time.Duration, call func(ctx context.Context) (int64, error)) (int64, bool) {
		callCtx, cancel := context.WithTimeout(ctx, timeout+transfer)
		defer cancel()
		offset, err := call(callCtx)
		if !isAnswer(err) && !errors.Is(err, port.ErrNotDone) && !port.NotSent(err) {
			notDone, unconfirmed = false, err
		}
		last = err
		return offset, isAnswer(err)
	}
	for range directAttempts {
		direct, timeout := l.tryDirectAppend()
		if !direct || ctx.Err() != nil {
			break
		}
		began := time.Now()
		offset, ok := attempt(timeout, func(ctx context.Context) (int64, error) { return l.direct.Append(ctx, a) })
		l.recordAppendLatency(time.Since(began), ok)
		if ok {
			return offset, last
		}
		if errors.Is(last, port.ErrNotDone) || !l.hasReadAfter(began.Add(-recentReadAge)) {
			if ctx.Err() == nil {
				l.recordDirectResult(last, appendPause)
			}
			break
		}
	}
	for _, address := range l.relays() {
		if ctx.Err() != nil {
			break
		}
		offset, ok := attempt(relayAppendTimeout, func(ctx context.Context) (int64, error) { return l.peers.Append(ctx, address, a) })
		l.recordRelayResult(address, last)
		if ok {
			return offset, last
		}
	}
	if notDone {
		return 0, port.ErrNotDone
	}
	return 0, unconfirmed
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, topic port.Topic, from int64, wait time.Duration) (port.Batch, error) {
	return l.read(ctx, port.ReadQuery{Topic: topic, From: from, Wait: wait})
}

// NewestPage implements port.Log.
func (l *Log) NewestPage(ctx context.Context, topic port.Topic, after string) (port.Batch, error) {
	return l.read(ctx, port.ReadQuery{Topic: topic, Newest: true, After: after})
}

func (l *Log) read(ctx context.Context, q port.ReadQuery) (port.Batch, error) {
	var last error
	if l.tryDirectRead() {
		batch, err := l.readDirect(ctx, q)
		if isAnswer(err) {
			l.mu.Lock()
			l.readAt = time.Now()
			l.mu.Unlock()
		}
		if isAnswer(err) || ctx.Err() == nil {
			l.recordDirectResult(err, readPause)
		}
		if isAnswer(err) || ctx.Err() != nil {
			return batch, err
		}
		last = err
	}
	relaysSince := time.Now()
	for _, address := range l.relays() {
		began := time.Now()
		if began.Sub(relaysSince) > relayRetryWindow {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, q.Wait+relayReadTimeout)
		batch, err := l.peers.Read(callCtx, address, q)
		cancel()
		l.recordRelayResult(address, err)
		if ctx.Err() == nil {
			l.recordRelayedRead(address, q, time.Since(began), err)
		}
		if isAnswer(err) || ctx.Err() != nil {
			return batch, err
		}
		last = err
	}
	if last == nil {
		last = port.ErrNotDone
	}
	return port.Batch{}, last
}

// recordRelayedRead logs the first of a series of relayed reads that fail.
func (l *Log) recordRelayedRead(address string, q port.ReadQuery, took time.Duration, err error) {
	l.mu.Lock()
	failedBefore := l.relayFailed
	l.relayFailed = !isAnswer(err)
	l.mu.Unlock()
	if !isAnswer(err) && !failedBefore {
		l.logger.Warn("reading the log through another entry failed", "relay", address, "topic", q.Topic, "from", q.From, "took_ms", took.Milliseconds(), "error", err)
	}
}

func (l *Log) readDirect(ctx context.Context, q port.ReadQuery) (port.Batch, error) {
	if q.Newest {
		return l.direct.NewestPage(ctx, q.Topic, q.After)
	}
	return l.direct.Read(ctx, q.Topic, q.From, q.Wait)
}
