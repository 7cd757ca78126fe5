package configlog

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// published is the state that other goroutines read. It is immutable.
type published struct {
	view *config.View
	// history holds the most recent records, without gaps, up to the view's
	// version.
	history []devplatform.StoredRecord
	// superseded is closed when a newer state is published.
	superseded chan struct{}
}

// Follower keeps the configuration of one entry up to date with the log. Its methods
// are safe for concurrent use.
type Follower struct {
	opts Options
	log  hclog.Logger
	// limiter limits the rate of all appends, ownLimiter that of appends without an
	// operator's write.
	limiter    *rate.Limiter
	ownLimiter *rate.Limiter
	meters     meters

	current   atomic.Pointer[published]
	ready     chan struct{}
	readyOnce sync.Once
	running   atomic.Bool
	stopped   chan struct{}

	// events are handled by the goroutine that owns the fold.
	events chan event

	// adoptOlder lets the version decrease. Only tests set it.
	adoptOlder bool

	snapshotMu    sync.Mutex
	snapshotView  *config.View
	snapshotBytes []byte
}

// New returns a follower with an empty configuration; Run starts it. It fails if Log,
// Entry or Domain is not set.
func New(opts Options) (*Follower, error) {
	if opts.Log == nil || opts.Entry == "" || opts.Domain == "" {
		return nil, errors.New("configlog: options must set Log, Entry and Domain; set all three")
	}
	opts = opts.withDefaults()
	f := &Follower{
		opts:       opts,
		log:        opts.Logger.Named("configlog"),
		limiter:    rate.NewLimiter(rate.Limit(opts.MaxAppendsPerSecond), appendBurst),
		ownLimiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), ownAppendBurst),
		meters:     newMeters(opts.Metrics),
		ready:      make(chan struct{}),
		stopped:    make(chan struct{}),
		events:     make(chan event),
	}
	f.current.Store(&published{view: config.NewFold().View(), superseded: make(chan struct{})})
	return f, nil
}

// Run follows the stream until ctx ends, and then returns nil. It must be called only
// once; further calls return an error.
func (f *Follower) Run(ctx context.Context) error {
	if !f.running.CompareAndSwap(false, true) {
		return errors.New("configlog: the follower is already running; call Run only once")
	}
	defer close(f.stopped)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return newControl(f).run(ctx) })
	group.Go(func() error { return f.read(ctx) })
	group.Go(func() error { return f.write(ctx) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// View returns the newest view. It is never nil and its version never decreases.
func (f *Follower) View() *config.View { return f.current.Load().view }

// Version returns the version of the newest view.
func (f *Follower) Version() int64 { return f.View().Version() }

// Changed returns a channel that is closed when a view newer than the current one is
// published. To miss no change, get the channel before the view.
func (f *Follower) Changed() <-chan struct{} { return f.current.Load().superseded }

// Ready returns a channel that is closed once the follower has folded the log up to
// the tail that its first read reported, or has adopted the configuration of a peer.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// IsReady reports whether Ready is closed.
func (f *Follower) IsReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// WaitVersion returns nil once the follower has folded the given version, or the error
// of ctx if ctx ends first.
func (f *Follower) WaitVersion(ctx context.Context, version int64) error {
	for {
		changed := f.Changed()
		if f.Version() >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Follower) markReady() {
	f.readyOnce.Do(func() {
		f.log.Info("configuration ready", "version", f.Version())
		close(f.ready)
	})
}

// send passes an event to the goroutine that owns the fold. It returns ErrStopped or
// the error of ctx if the event was not received.
func (f *Follower) send(ctx context.Context, e event) error {
	select {
	case f.events <- e:
		return nil
	case <-f.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
