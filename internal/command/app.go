// Package command implements the samphirerail command line. Commands only parse
// flags and run an agent, a node, a stand-in or a developer tool.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/samphirerail/samphirerail/internal/agent"
	"github.com/samphirerail/samphirerail/internal/settings"
)

// Exit codes of samphirerail.
const (
	ExitSuccess = 0
	// ExitSettings means that the settings file is invalid.
	ExitSettings = 1
	// ExitFailure means that the command failed: the process did not start, run or
	// stop cleanly, or its arguments are invalid.
	ExitFailure = 2
)

// Run executes the command line, whose first argument is the program name, and
// returns the exit code. Errors are printed to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := &cli.Command{
		Name:                  "samphirerail",
		Usage:                 "cluster scheduler for unlike workloads: the entry process",
		EnableShellCompletion: true,
		Writer:                out,
		ErrWriter:             errOut,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			runCommand(), nodeCommand(), checkCommand(), devCommand(), replayCommand(), loadCommand(), measureCommand(), soakCommand(),
		},
	}
	err := app.Run(ctx, args)
	if err == nil {
		return ExitSuccess
	}
	fmt.Fprintln(errOut, err)
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		return ExitSettings
	}
	return ExitFailure
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` (TOML)", Required: true}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run an entry process until it is told to stop",
		Flags: []cli.Flag{configFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := settings.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			a, err := agent.New(s, agent.Options{LogOutput: cmd.Root().ErrWriter, TraceOutput: cmd.Root().Writer})
			if err != nil {
				return err
			}
			return serve(ctx, a, s)
		},
	}
}

// serve runs an agent until the first stop signal, until another process replaces
// this entry, or until ctx ends. Later signals are ignored.
func serve(ctx context.Context, a *agent.Agent, s settings.Settings) error {
	signals := notifyStop()
	startCtx, cancel := context.WithTimeout(ctx, s.Shutdown.Timeout.Std())
	defer cancel()
	if err := a.Start(startCtx); err != nil {
		return err
	}
	var replaced error
	select {
	case <-signals:
	case <-a.Replaced():
		replaced = errReplaced
	case <-ctx.Done():
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), s.Shutdown.Timeout.Std())
	defer cancelStop()
	return errors.Join(replaced, a.Stop(stopCtx))
}

// errReplaced reports that the process must not continue as this entry.
var errReplaced = errors.New("command: another process registered for this VM, or the VM was removed from the platform's list; restart the entry if it is still needed")

// notifyStop returns a channel that receives SIGTERM and SIGINT. The handler stays
// installed until the process exits.
func notifyStop() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and print every fault",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if _, err := settings.Load(cmd.String("config")); err != nil {
				return err
			}
			fmt.Fprintf(cmd.Root().Writer, "%s: no faults\n", cmd.String("config"))
			return nil
		},
	}
}
