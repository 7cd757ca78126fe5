package ctl

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/transport/apiclient"
)

const (
	flagEntry       = "entry"
	flagKey         = "key"
	flagKeyFile     = "key-file"
	flagOutput      = "output"
	flagTimeout     = "timeout"
	flagTraceparent = "traceparent"

	flagBaseVersion = "base-version"

	outputTable = "table"
	outputJSON  = "json"

	// defaultTimeout is the time limit of a whole command, including retries and waits.
	defaultTimeout = time.Minute

	tracerName = "github.com/samphirerail/samphirerail/internal/command/ctl"
)

// app builds the commands and holds the streams they share.
type app struct {
	streams Streams
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagEntry, Usage: "`IP:PORT` of an entry or of the balancer; repeat it for more, they are tried in order", Sources: cli.EnvVars("SAMPHIRECTL_ENTRY")},
		&cli.StringFlag{Name: flagKey, Usage: "`KEY` as <key id>.<secret>", Sources: cli.EnvVars("SAMPHIRECTL_KEY")},
		&cli.StringFlag{Name: flagKeyFile, Usage: "`FILE` that holds the key; takes precedence over --key", TakesFile: true},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT` of the output: table or json"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "`TIME` that the command may take"},
		&cli.StringFlag{Name: flagTraceparent, Usage: "W3C trace `CONTEXT` to continue", Sources: cli.EnvVars("TRACEPARENT")},
	}
}

func baseVersionFlag() cli.Flag {
	return &cli.Int64Flag{Name: flagBaseVersion, Usage: "`VERSION` that the write is based on; default: the current one; -1: must not exist"}
}

// session holds the client and the options of one command invocation.
type session struct {
	client  *apiclient.Client
	command *cli.Command
	streams Streams
	json    bool
}

// action adapts run to a cli action: it opens a session, applies the timeout and
// starts one trace for all calls of the command.
func (a *app) action(run func(context.Context, *session) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		s, err := a.newSession(command)
		if err != nil {
			return err
		}
		defer s.client.Close()
		timeout := command.Duration(flagTimeout)
		if timeout <= 0 {
			return &usageError{problem: "--timeout must be greater than 0", remedy: "give a time such as 30s"}
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return run(parentTrace(ctx, command), s)
	}
}

// newSession checks the global flags and creates the client.
func (a *app) newSession(command *cli.Command) (*session, error) {
	s := &session{command: command, streams: a.streams}
	switch format := command.String(flagOutput); format {
	case outputTable:
	case outputJSON:
		s.json = true
	default:
		return nil, &usageError{problem: "--output " + format + " is not a supported format", remedy: "use table or json"}
	}
	key, err := readKey(command)
	if err != nil {
		return nil, err
	}
	s.client, err = apiclient.New(apiclient.Config{
		Entries: command.StringSlice(flagEntry),
		Key:     key,
		Tracer:  sdktrace.NewTracerProvider(),
	})
	return s, err
}

// readKey returns the key of --key-file, or that of --key if no file is given.
func readKey(command *cli.Command) (string, error) {
	name := command.String(flagKeyFile)
	if name == "" {
		return strings.TrimSpace(command.String(flagKey)), nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return "", &usageError{problem: "can't read the key: " + err.Error(), remedy: "give a readable file with --key-file"}
	}
	return strings.TrimSpace(string(content)), nil
}

// parentTrace returns a context with the trace of --traceparent, or with a new trace,
// so that all calls of a command belong to the same trace.
func parentTrace(ctx context.Context, command *cli.Command) context.Context {
	carrier := propagation.MapCarrier{"traceparent": command.String(flagTraceparent)}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	ctx, span := sdktrace.NewTracerProvider().Tracer(tracerName).Start(ctx, command.FullName())
	span.End()
	return ctx
}

// arguments returns the positional arguments. It returns a *usageError unless there
// is exactly one for each name.
func (s *session) arguments(names ...string) ([]string, error) {
	args := s.command.Args().Slice()
	if len(args) == len(names) {
		return args, nil
	}
	usage := s.command.FullName()
	if len(names) > 0 {
		usage += " " + strings.Join(names, " ")
	}
	return nil, &usageError{problem: "wrong number of arguments", remedy: "run " + usage}
}

// argument returns the only positional argument.
func (s *session) argument(name string) (string, error) {
	args, err := s.arguments(name)
	if err != nil {
		return "", err
	}
	return args[0], nil
}

// newWrite returns a write with its base version: that of --base-version, or else the
// current version that read returns.
func (s *session) newWrite(read func() (int64, error)) (v1.Write, error) {
	if s.command.IsSet(flagBaseVersion) {
		version := s.command.Int64(flagBaseVersion)
		return v1.Write{BaseVersion: &version}, nil
	}
	version, err := read()
	return v1.Write{BaseVersion: &version}, err
}
