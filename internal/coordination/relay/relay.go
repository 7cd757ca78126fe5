// Package relay reaches the platform's log through another entry while the log
// does not serve this one.
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
)

const (
	// A direct append is given up after appendPatience times the usual time of
	// an append, within minAppend and maxAppend. The latter leaves time for a
	// relay within a caller's deadline. One that got no answer from a log that
	// still answers reads is repeated once: the answer was lost, or the log has
	// become slow.
	appendPatience = 6
	minAppend      = 250 * time.Millisecond
	maxAppend      = 1500 * time.Millisecond
	// usualWeight is the share of the newest append in the usual time.
	usualWeight = 0.2
	// directAttempts is how often an append is made directly.
	directAttempts = 2
	// recentRead is how old an answered read may be to show that the log answers.
	recentRead = time.Second
	// slowAppend is the usual time from which the log counts as slow; a healthy
	// one takes some 10 ms. It is tried again after slowMemory.
	slowAppend = 120 * time.Millisecond
	slowMemory = 3 * time.Second
	// awayMemory is how long the word of another entry holds that it does not
	// reach the log.
	awayMemory = time.Second
	// relayAppend bounds an append through another entry.
	relayAppend = 900 * time.Millisecond
	// readMargin is added to the wait of a read.
	readMargin = 700 * time.Millisecond
	// After a failed read, and after a failed append, reads are made through
	// others for a while; the next direct read then shows how things are.
	readPause   = 1200 * time.Millisecond
	appendPause = 250 * time.Millisecond
	// maxRelays is the most entries that one call is tried through.
	maxRelays = 2
)

// Peers makes calls to the log at other entries.
type Peers interface {
	Append(ctx context.Context, address string, a port.Append) (int64, error)
	Read(ctx context.Context, address string, q port.ReadQuery) (port.Batch, error)
}

// Log is a port.Log that falls back to other entries.
type Log struct {
	direct port.Log
	peers  Peers
	logger hclog.Logger
	// addresses returns the other entries.
	addresses func() []string
	relayed   metrics.Counter

	mu       sync.Mutex
	badUntil time.Time
	bad      bool
	// usual is the smoothed time of a direct append.
	usual   time.Duration
	usualAt time.Time
	// readAt is when the log last answered a direct read.
	readAt time.Time
	// prefer is the entry that relayed last.
	prefer string
	// awayAt is when another entry last said that it does not reach the log.
	awayAt time.Time
}

// New returns a Log. addresses returns the other entries that may relay.
func New(direct port.Log, peers Peers, addresses func() []string, logger hclog.Logger, registry metrics.Registry) *Log {
	return &Log{direct: direct, peers: peers, addresses: addresses, logger: logger, relayed: metrics.GetOrRegisterCounter("relay.calls", registry)}
}

// final reports whether an error is the log's own answer.
func final(err error) bool {
	var conflict *port.ConflictError
	return err == nil || errors.Is(err, port.ErrFenced) || errors.Is(err, port.ErrExpired) || errors.As(err, &conflict)
}

// useDirect reports whether a read is tried directly.
func (l *Log) useDirect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().After(l.badUntil)
}

// appendDirect reports whether an append is tried directly, and for how long.
// Appends never probe a log that does not answer: one without an answer may
// have been carried out, which leaves its caller without a clear outcome.
func (l *Log) appendDirect() (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.bad, min(max(appendPatience*l.usual, minAppend), maxAppend)
}

// directResult takes in the outcome of a direct call.
func (l *Log) directResult(err error, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if final(err) {
		if l.bad {
			l.logger.Info("log reached directly again")
		}
		l.bad, l.badUntil = false, time.Time{}
		return
	}
	if !l.bad {
		l.logger.Warn("log not reached directly", "error", err, "action", "ask other entries")
	}
	l.bad, l.badUntil = true, time.Now().Add(pause)
}

// appendTook learns the usual time of an append. One without an answer takes
// at least as long as it was waited for.
func (l *Log) appendTook(d time.Duration, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usualAt = time.Now()
	if !answered {
		l.usual = max(l.usual, d)
		return
	}
	l.usual += time.Duration(usualWeight * float64(d-l.usual))
}

// Slow reports whether recent appends took so long that more of them would
// delay the owner's: a partition serves its appends one after the other.
func (l *Log) Slow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usual > slowAppend && time.Since(l.usualAt) < slowMemory
}

// readSince reports whether the log answered a direct read after a time.
func (l *Log) readSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt.After(t)
}

// relays returns the entries to try, the one that last worked first.
func (l *Log) relays() []string {
	all := slices.Clone(l.addresses())
	l.mu.Lock()
	prefer := l.prefer
	l.mu.Unlock()
	if i := slices.Index(all, prefer); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	return all[:min(len(all), maxRelays)]
}

func (l *Log) relayResult(address string, err error) {
	l.relayed.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case final(err):
		l.prefer, l.awayAt = address, time.Time{}
		return
	case l.prefer == address:
		l.prefer = ""
	}
	var relayed *port.RelayedError
	if errors.Is(err, port.ErrNotDone) || errors.As(err, &relayed) {
		l.awayAt = time.Now()
	}
}

// Away reports whether other entries do not reach the log either, so that a
// caller gains nothing by asking one of them.
func (l *Log) Away() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.awayAt) < awayMemory
}

// Append implements port.Log. Repeating an append through another entry is
// safe: plain records are the same, and fenced ones carry a sequence number.
func (l *Log) Append(ctx context.Context, a port.Append) (int64, error) {
	notDone := true
	var last, unanswered error
	attempt := func(limit time.Duration, call func(ctx context.Context) (int64, error)) (int64, bool) {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		offset, err := call(callCtx)
		if !final(err) && !errors.Is(err, port.ErrNotDone) && !port.NotSent(err) {
			notDone, unanswered = false, err
		}
		last = err
		return offset, final(err)
	}
	for range directAttempts {
		direct, patience := l.appendDirect()
		if !direct || ctx.Err() != nil {
			break
		}
		began := time.Now()
		offset, ok := attempt(patience, func(ctx context.Context) (int64, error) { return l.direct.Append(ctx, a) })
		l.appendTook(time.Since(began), ok)
		if ok {
			return offset, last
		}
		if errors.Is(last, port.ErrNotDone) || !l.readSince(began.Add(-recentRead)) {
			if ctx.Err() == nil {
				l.directResult(last, appendPause)
			}
			break
		}
	}
	for _, address := range l.relays() {
		if ctx.Err() != nil {
			break
		}
		offset, ok := attempt(relayAppend, func(ctx context.Context) (int64, error) { return l.peers.Append(ctx, address, a) })
		l.relayResult(address, last)
		if ok {
			return offset, last
		}
	}
	if notDone {
		return 0, port.ErrNotDone
	}
	return 0, unanswered
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, topic port.Topic, from int64, wait time.Duration) (port.Batch, error) {
	return l.read(ctx, port.ReadQuery{Topic: topic, From: from, Wait: wait}, wait+readMargin)
}

// Newest implements port.Log.
func (l *Log) Newest(ctx context.Context, topic port.Topic) (port.Batch, error) {
	return l.read(ctx, port.ReadQuery{Topic: topic, Newest: true}, newestTimeout)
}

// newestTimeout bounds the load of a topic.
const newestTimeout = 4 * time.Second

func (l *Log) read(ctx context.Context, q port.ReadQuery, limit time.Duration) (port.Batch, error) {
	var last error
	if l.useDirect() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		batch, err := l.readDirect(callCtx, q)
		cancel()
		if final(err) {
			l.mu.Lock()
			l.readAt = time.Now()
			l.mu.Unlock()
		}
		if final(err) || ctx.Err() == nil {
			l.directResult(err, readPause)
		}
		if final(err) || ctx.Err() != nil {
			return batch, err
		}
		last = err
	}
	for _, address := range l.relays() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		batch, err := l.peers.Read(callCtx, address, q)
		cancel()
		l.relayResult(address, err)
		if final(err) || ctx.Err() != nil {
			return batch, err
		}
		last = err
	}
	if last == nil {
		last = port.ErrNotDone
	}
	return port.Batch{}, last
}

func (l *Log) readDirect(ctx context.Context, q port.ReadQuery) (port.Batch, error) {
	if q.Newest {
		return l.direct.Newest(ctx, q.Topic)
	}
	return l.direct.Read(ctx, q.Topic, q.From, q.Wait)
}
