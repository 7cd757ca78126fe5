package command

import (
	"context"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/samphirerail/samphirerail/internal/replay"
	"github.com/samphirerail/samphirerail/internal/state/emulator"
	"github.com/samphirerail/samphirerail/internal/state/queue"
	"github.com/samphirerail/samphirerail/internal/state/trace"
)

// defaultTraceSeed is the seed of a generated trace unless --seed is given.
const defaultTraceSeed = 20261203

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:   "replay",
		Usage:  "replay a trace on virtual time and print what was measured",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "trace", Usage: "read the trace from `FILE`"},
			&cli.StringFlag{Name: "generate", Usage: "generate the trace of a `DEPLOYMENT`: coop or oyster"},
			&cli.Uint64Flag{Name: "seed", Value: defaultTraceSeed, Usage: "`SEED` of the generated trace"},
			&cli.IntFlag{Name: "jobs", Value: 20_000, Usage: "`NUMBER` of generated jobs"},
			&cli.IntFlag{Name: "load", Value: 110, Usage: "average demand for slots in `PERCENT` of all slots"},
			&cli.IntFlag{Name: "wave", Usage: "`NUMBER` of batch jobs submitted and cancelled at once"},
			&cli.StringFlag{Name: "save", Usage: "write the trace to `FILE`"},
			&cli.StringFlag{Name: "policy", Value: string(replay.Both), Usage: "`POLICY`: machine, first_fit or both"},
			&cli.StringFlag{Name: "objective", Usage: "`OBJECTIVE` of the machine: waiting or share (default: that of the deployment)"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "`FORMAT`: table or json"},
			&cli.StringFlag{Name: "plot", Usage: "write an SVG picture to `FILE`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error { return runReplay(cmd) },
	}
}

func runReplay(cmd *cli.Command) error {
	t, err := replayTrace(cmd)
	if err != nil {
		return err
	}
	if path := cmd.String("save"); path != "" {
		if err := writeFile(path, func(w io.Writer) error { return trace.Write(w, t) }); err != nil {
			return err
		}
	}
	objective := queue.Objective(cmd.String("objective"))
	if objective == "" {
		objective = replay.DefaultObjective(t.Header.Deployment)
	}
	reports, err := replay.Run(t, replay.Options{Policy: replay.Policy(cmd.String("policy")), Objective: objective})
	if err != nil {
		return err
	}
	if path := cmd.String("plot"); path != "" {
		if err := writeFile(path, func(w io.Writer) error { return replay.WritePlot(w, reports) }); err != nil {
			return err
		}
	}
	return printReports(cmd, reports)
}

func printReports(cmd *cli.Command, reports []*emulator.Report) error {
	switch format := cmd.String("output"); format {
	case "table":
		return replay.WriteTable(cmd.Root().Writer, reports)
	case "json":
		return replay.WriteJSON(cmd.Root().Writer, reports)
	default:
		return &replay.OptionError{Option: "output", Value: format, Remedy: "use table or json"}
	}
}

// replayTrace reads the trace of --trace or generates the one of --generate.
func replayTrace(cmd *cli.Command) (*trace.Trace, error) {
	path := cmd.String("trace")
	deployment := trace.Deployment(cmd.String("generate"))
	switch {
	case path != "" && deployment != "":
		return nil, &replay.OptionError{Option: "trace", Value: path, Remedy: "name either --trace or --generate"}
	case path != "":
		return readTrace(path)
	case !deployment.Valid():
		return nil, &replay.OptionError{Option: "generate", Value: string(deployment), Remedy: "use coop or oyster, or name a --trace"}
	}
	opts := trace.DefaultOptions(deployment, cmd.Uint64("seed"))
	opts.Submissions = cmd.Int("jobs")
	opts.Load = cmd.Int("load")
	opts.Burst = cmd.Int("wave")
	return trace.Generate(opts)
}

func readTrace(path string) (t *trace.Trace, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open the trace file")
	}
	t, err = trace.Read(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return t, err
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create the output file")
	}
	err = write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
