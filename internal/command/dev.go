package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/samphirerail/samphirerail/internal/devmode"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a whole system in one process: a stand-in platform, two failure domains, upstreams and entries",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "log `LEVEL` of the entries"},
			&cli.StringFlag{Name: "trace", Value: "none", Usage: "trace `EXPORTER`: none or stdout"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runDev(ctx, cmd)
		},
		Commands: []*cli.Command{devPlatformCommand(), devUpstreamCommand(), devFleetCommand()},
	}
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	signals := notifyStop()
	system, err := devmode.Start(ctx, devmode.Options{
		LogLevel:  cmd.String("log-level"),
		Trace:     cmd.String("trace"),
		LogOutput: cmd.Root().ErrWriter,
	})
	if err != nil {
		return err
	}
	printQuickStart(cmd.Root().Writer, system)
	waitForStop(ctx, signals)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
	defer cancel()
	return system.Stop(stopCtx)
}

// printQuickStart prints the addresses, the keys and two example commands.
func printQuickStart(out io.Writer, s *devmode.System) {
	fmt.Fprintf(out, "callers:      http://%s\n", s.CallersAddress)
	fmt.Fprintf(out, "operator key: %s\n", s.OperatorKey)
	fmt.Fprintf(out, "team key:     %s\n\n", s.TeamKey)
	fmt.Fprintln(out, "Try in another shell:")
	fmt.Fprintf(out, "  go run ./cmd/samphirectl --entry %s --key %s submit --service fitting --class request --cpu 500m --memory 256MB --payload hello\n", s.CallersAddress, s.TeamKey)
	fmt.Fprintf(out, "  go run ./cmd/samphirectl --entry %s --key %s status\n", s.CallersAddress, s.OperatorKey)
}

func waitForStop(ctx context.Context, signals <-chan os.Signal) {
	select {
	case <-signals:
	case <-ctx.Done():
	}
}

func devPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:   "platform",
		Usage:  "run the stand-in log service and VM list",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on"},
			&cli.IntFlag{Name: "retain-records", Usage: "keep the newest `N` records of a stream; 0 keeps all"},
			&cli.IntFlag{Name: "appends-per-second", Usage: "accept at most `N` appends a second; 0 means no limit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			signals := notifyStop()
			server, err := devmode.ServePlatform(cmd.String("listen"), cmd.Int("retain-records"), cmd.Int("appends-per-second"))
			if err != nil {
				return err
			}
			return serveStandIn(ctx, cmd, server, signals)
		},
	}
}

func devUpstreamCommand() *cli.Command {
	return &cli.Command{
		Name:   "upstream",
		Usage:  "run a stand-in worker and put it on the stand-in VM list",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on"},
			&cli.StringFlag{Name: "platform", Usage: "`IP:PORT` of the stand-in platform; empty leaves the list alone"},
			&cli.StringFlag{Name: "vm", Required: true, Usage: "`ID` of the VM"},
			&cli.StringFlag{Name: "domain", Required: true, Usage: "failure `DOMAIN`"},
			&cli.StringFlag{Name: "rack", Value: "r1", Usage: "`RACK` in the domain"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "customer `SERVICE`"},
			&cli.Int64Flag{Name: "cpu", Value: 32000, Usage: "thousandths of a processor"},
			&cli.Int64Flag{Name: "memory", Value: 65536, Usage: "mebibytes"},
			&cli.Int64Flag{Name: "accelerators", Usage: "number of accelerators"},
			&cli.Int64Flag{Name: "slots", Value: 8, Usage: "tasks at once"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			signals := notifyStop()
			server, err := devmode.ServeUpstream(ctx, devmode.Upstream{
				Listen: cmd.String("listen"), Platform: cmd.String("platform"), VM: cmd.String("vm"),
				Domain: cmd.String("domain"), Rack: cmd.String("rack"), Service: cmd.String("service"),
				CPUMilli: cmd.Int64("cpu"), MemoryMB: cmd.Int64("memory"),
				Accelerators: cmd.Int64("accelerators"), Slots: cmd.Int64("slots"),
			})
			if err != nil {
				return err
			}
			return serveStandIn(ctx, cmd, server, signals)
		},
	}
}

func devFleetCommand() *cli.Command {
	return &cli.Command{
		Name:   "fleet",
		Usage:  "run many stand-in workers in one process and put them on the stand-in VM list",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`IP:PORT` of the stand-in platform"},
			&cli.IntFlag{Name: "count", Value: 100, Usage: "number of workers"},
			&cli.StringFlag{Name: "domain", Required: true, Usage: "failure `DOMAIN`"},
			&cli.StringFlag{Name: "service", Value: "fitting", Usage: "customer `SERVICE`"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			signals := notifyStop()
			fleet, err := devmode.ServeFleet(ctx, cmd.String("platform"), cmd.String("domain"), cmd.String("service"), cmd.Int("count"))
			if err != nil {
				return err
			}
			return serveStandIn(ctx, cmd, fleet, signals)
		},
	}
}

// serveStandIn prints the address of a running stand-in and stops it at the first
// stop signal or when ctx ends.
func serveStandIn(ctx context.Context, cmd *cli.Command, server devmode.Server, signals <-chan os.Signal) error {
	fmt.Fprintf(cmd.Root().Writer, "listening %s\n", server.Address())
	waitForStop(ctx, signals)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	return server.Stop(stopCtx)
}
