package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/samphirerail/samphirerail/internal/loadtool"
	"github.com/samphirerail/samphirerail/internal/state"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:   "load",
		Usage:  "send jobs to entries at a fixed rate and print the outcomes and latencies that callers see",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "callers' `IP:PORT` of an entry; repeat for more"},
			&cli.StringSliceFlag{Name: "key", Usage: "`KEY` of a team; repeat for more"},
			&cli.StringFlag{Name: "direct", Usage: "call the upstream at `IP:PORT` directly, not through an entry; it must have no owner; measured before --entry if both are given"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "jobs a `SECOND`"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how `LONG` to send"},
			&cli.IntFlag{Name: "callers", Value: 64, Usage: "at most `N` calls in flight"},
			&cli.StringFlag{Name: "mix", Value: "request=100", Usage: "`PARTS` of the classes, such as request=90,batch=8,gang=2"},
			&cli.Uint64Flag{Name: "seed", Value: defaultTraceSeed, Usage: "`SEED` of the schedule"},
			&cli.StringFlag{Name: "service", Value: "fitting", Usage: "customer `SERVICE`"},
			&cli.Int64Flag{Name: "cpu", Value: 100, Usage: "thousandths of a processor per task"},
			&cli.Int64Flag{Name: "memory", Value: 64, Usage: "mebibytes per task"},
			&cli.DurationFlag{Name: "run", Usage: "run `TIME` of a task"},
			&cli.BoolFlag{Name: "idempotent", Usage: "mark the jobs as idempotent"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "`FORMAT`: table or json"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	opts, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	var reports []*loadtool.Report
	if address := cmd.String("direct"); address != "" {
		r, err := loadDirect(ctx, address, opts)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	if entries := cmd.StringSlice("entry"); len(entries) > 0 || len(reports) == 0 {
		r, err := loadEntries(ctx, entries, cmd.StringSlice("key"), opts)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	switch format := cmd.String("output"); format {
	case "table":
		return loadtool.WriteTable(cmd.Root().Writer, reports)
	case "json":
		return loadtool.WriteJSON(cmd.Root().Writer, reports)
	default:
		return &loadtool.OptionError{Option: "output", Value: format, Remedy: "use table or json"}
	}
}

func loadOptions(cmd *cli.Command) (loadtool.Options, error) {
	mix, err := loadtool.ParseMix(cmd.String("mix"))
	if err != nil {
		return loadtool.Options{}, err
	}
	opts := loadtool.Options{
		Rate: cmd.Float("rate"), Duration: cmd.Duration("duration"), Callers: cmd.Int("callers"),
		Seed: cmd.Uint64("seed"), Mix: mix,
		Job: loadtool.Job{
			Service: state.Service(cmd.String("service")), CPUMilli: cmd.Int64("cpu"), MemoryMB: cmd.Int64("memory"),
			RunTime: cmd.Duration("run"), Idempotent: cmd.Bool("idempotent"),
		},
	}
	return opts, opts.Validate()
}

func loadDirect(ctx context.Context, address string, opts loadtool.Options) (*loadtool.Report, error) {
	target, err := loadtool.NewDirect(ctx, address, opts.Callers)
	if err != nil {
		return nil, err
	}
	defer target.Close()
	return loadtool.Run(ctx, "upstream", target, opts)
}

func loadEntries(ctx context.Context, entries, keys []string, opts loadtool.Options) (*loadtool.Report, error) {
	target, err := loadtool.NewEntries(entries, keys, opts.Callers)
	if err != nil {
		return nil, err
	}
	defer target.Close()
	return loadtool.Run(ctx, "entries", target, opts)
}
