package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// Streams holds the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run executes the command line, whose first argument is the program name, and
// returns the exit code. Errors are printed to streams.Err, one on a line.
func Run(ctx context.Context, args []string, streams Streams) int {
	err := newRoot(streams).Run(ctx, args)
	for _, line := range errorLines(err) {
		_, _ = fmt.Fprintf(streams.Err, "samphirectl: %s\n", line)
	}
	return exitCode(err)
}

// errorLines returns the lines to print for an error: one for each fault of the
// input files, or a single line for any other error.
func errorLines(err error) []string {
	var faults *faultsError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &faults):
		return faults.lines()
	}
	return []string{oneLine(err.Error())}
}

// oneLine escapes line breaks.
func oneLine(text string) string {
	return strings.NewReplacer("\r", `\r`, "\n", `\n`).Replace(text)
}

func newRoot(streams Streams) *cli.Command {
	app := &app{streams: streams}
	root := &cli.Command{
		Name:                  "samphirectl",
		Usage:                 "drive the samphirerail cluster scheduler",
		Reader:                streams.In,
		Writer:                streams.Out,
		ErrWriter:             streams.Err,
		Flags:                 globalFlags(),
		EnableShellCompletion: true,
		HideVersion:           true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		ConfigureShellCompletionCommand: func(command *cli.Command) {
			command.Hidden = false
		},
		Commands: []*cli.Command{
			app.contractCommand(),
			app.keyCommand(),
			app.queueCommand(),
			app.domainCommand(),
			app.upstreamCommand(),
			app.statusCommand(),
			app.versionCommand(),
			app.explainCommand(),
			app.submitCommand(),
			app.waitCommand(),
			app.cancelCommand(),
		},
	}
	setUsageHandlers(root)
	return root
}

// setUsageHandlers makes a command and its subcommands report wrong usage with a
// *usageError, which prints one line, instead of the whole help text.
func setUsageHandlers(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, command *cli.Command, err error, _ bool) error {
		return &usageError{problem: err.Error(), remedy: "run " + command.FullName() + " --help"}
	}
	if command.Action == nil {
		command.Action = noSuchCommand
	}
	for _, subcommand := range command.Commands {
		setUsageHandlers(subcommand)
	}
}

// noSuchCommand is the action of command groups, which only have subcommands.
func noSuchCommand(_ context.Context, command *cli.Command) error {
	remedy := "run " + command.FullName() + " --help"
	if name := command.Args().First(); name != "" {
		return &usageError{problem: fmt.Sprintf("unknown command %q", command.FullName()+" "+name), remedy: remedy}
	}
	return &usageError{problem: command.FullName() + " requires a subcommand", remedy: remedy}
}
