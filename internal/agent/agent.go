// Package agent assembles the components of an entry process with fx and runs them.
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

// identity identifies this process: its entry ID, its domain and the domain's shard.
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

// Options holds the dependencies of an agent that are not part of its settings.
type Options struct {
	// LogOutput receives log lines. It defaults to standard error.
	LogOutput io.Writer
	// TraceOutput receives spans. It defaults to standard output.
	TraceOutput io.Writer
}

// Agent is one entry. Several agents can run in one operating system process;
// the development mode uses this.
type Agent struct {
	app   *fx.App
	entry *entry
}

// New assembles an agent without starting it. It returns an error if a component
// cannot be constructed.
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
			newStatusSource,
			newLogger,
			metrics.NewRegistry,
			newClients,
			newFollower,
			newMembership,
			newShardOwner,
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

// Start starts all components and returns once the listeners are open.
func (a *Agent) Start(ctx context.Context) error { return a.app.Start(ctx) }

// Stop shuts the agent down gracefully. It reports not ready at once, hands over
// its shard, and lets calls finish that complete within the shutdown timeout.
func (a *Agent) Stop(ctx context.Context) error { return a.app.Stop(ctx) }

// Ready returns nil when the entry accepts work, and otherwise an error that says
// why it does not.
func (a *Agent) Ready() error { return a.entry.ready() }

// Replaced returns a channel that is closed when another entry has replaced this one or
// has removed its registration. The caller must then stop the agent.
func (a *Agent) Replaced() <-chan struct{} { return a.entry.replaced }

// CallersAddress returns the IP:port of the listener for callers.
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

// within returns a child of ctx that ends after d at the latest.
func within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}
