// Package agent assembles an entry process from its parts with fx and runs it.
package agent

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/settings"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/telemetry"
)

// identity is who this process is.
type identity struct {
	entry  state.EntryID
	domain state.DomainID
	shard  state.ShardID
}

func newIdentity(s settings.Settings) identity {
	domain := state.DomainID(s.Entry.Domain)
	return identity{
		entry:  state.EntryID(s.Entry.VM + "/" + uuid.NewString()[:8]),
		domain: domain,
		shard:  coordination.DomainShard(domain, 0),
	}
}

// Options are what an agent needs besides its settings.
type Options struct {
	// LogOutput receives log lines; standard error when nil.
	LogOutput io.Writer
	// TraceOutput receives spans; standard output when nil.
	TraceOutput io.Writer
}

// Agent is one entry process. Several may run in one operating system process,
// as the development mode does.
type Agent struct {
	app   *fx.App
	entry *entry
}

// New assembles an agent.
func New(s settings.Settings, opts Options) (*Agent, error) {
	if opts.LogOutput == nil {
		opts.LogOutput = os.Stderr
	}
	if opts.TraceOutput == nil {
		opts.TraceOutput = os.Stdout
	}
	a := &Agent{}
	a.app = fx.New(
		fx.Supply(s, opts),
		fx.Provide(
			newIdentity,
			newStatusBoard,
			newLogger,
			metrics.NewRegistry,
			newClients,
			newFollower,
			newMembership,
			newOwner,
			newRouter,
			newListeners,
			newEntry,
		),
		fx.Invoke(startTracing, registerEntry),
		fx.Populate(&a.entry),
		fx.StartTimeout(s.Shutdown.Timeout.Std()),
		fx.StopTimeout(s.Shutdown.Timeout.Std()),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	return a, a.app.Err()
}

// Start starts every part and returns once the listeners are open.
func (a *Agent) Start(ctx context.Context) error { return a.app.Start(ctx) }

// Stop shuts the agent down gracefully: it is unready at once, hands its shard
// over, and cuts no call that ends within the shutdown timeout.
func (a *Agent) Stop(ctx context.Context) error { return a.app.Stop(ctx) }

// Ready returns nil when the entry takes work, otherwise why it does not.
func (a *Agent) Ready() error { return a.entry.ready() }

// Replaced is closed when another process has taken this entry's place and the
// agent must be stopped.
func (a *Agent) Replaced() <-chan struct{} { return a.entry.replaced }

// CallersAddress returns the IP:port of the callers' listener.
func (a *Agent) CallersAddress() string { return a.entry.listeners.callersAddress }

func newLogger(s settings.Settings, opts Options, id identity) hclog.Logger {
	return telemetry.NewLogger("samphirerail", s.Log.Level, opts.LogOutput).With("entry", string(id.entry))
}

func startTracing(lc fx.Lifecycle, s settings.Settings, opts Options, id identity) error {
	stop, err := telemetry.StartTracing(s.Trace.Exporter, s.Trace.SampleRatio, string(id.entry), opts.TraceOutput)
	if err != nil {
		return err
	}
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error { return stop(ctx) }})
	return nil
}

func registerEntry(lc fx.Lifecycle, e *entry) {
	lc.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
}

// within returns a context that ends after d at the latest.
func within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}
