package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/samphirerail/samphirerail/internal/soak"
)

// soakCommand is hidden because it is a tool for developers.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:   "soak",
		Usage:  "run entries as processes against a fake platform, inject faults and check the guarantees to callers",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "how many seeds to run", Value: 1},
			&cli.DurationFlag{Name: "duration", Usage: "how long faults are injected", Value: 20 * time.Second},
			&cli.IntFlag{Name: "entries", Usage: "processes to start", Value: 5},
			&cli.IntFlag{Name: "runners", Usage: "fake runners", Value: 12},
			&cli.BoolFlag{Name: "starts-without-record", Usage: "switch the setting on at every entry"},
			&cli.BoolFlag{Name: "crashing-tasks", Usage: "submit jobs that crash the runners that start them", Value: true},
			&cli.BoolFlag{Name: "changing-capacities", Usage: "let runners shrink and grow", Value: true},
			&cli.BoolFlag{Name: "lasting-jobs", Usage: "submit long-running jobs, cut runners off in waves and kill the owner"},
			&cli.BoolFlag{Name: "failing-lasting-jobs", Usage: "let tasks of long-running jobs fail by themselves", Value: true},
			&cli.BoolFlag{Name: "unknown-keys", Usage: "submit jobs with unknown keys to a queue that needs none", Value: true},
			&cli.BoolFlag{Name: "large-jobs", Usage: "submit jobs at the bounds of what is accepted, jobs that repeat, and jobs over a bound"},
			&cli.BoolFlag{Name: "late-starts", Usage: "let runners carry starts without a response out in their next life"},
			&cli.BoolFlag{Name: "silent-restarts", Usage: "submit jobs of long tasks, and restart runners silently that are cut off soon after"},
			&cli.BoolFlag{Name: "late-acknowledgements", Usage: "with silent-restarts: polls that runners carry out in their next life acknowledge run ends there"},
			&cli.BoolFlag{Name: "quiet", Usage: "inject no faults"},
			&cli.BoolFlag{Name: "faults", Usage: "print each fault"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			failed := 0
			for i := range cmd.Int("seeds") {
				opts := soak.Options{
					Seed: cmd.Uint64("seed") + uint64(i), Duration: cmd.Duration("duration"), Entries: cmd.Int("entries"),
					Runners: cmd.Int("runners"), Program: program, NoFaults: cmd.Bool("quiet"),
					StartsWithoutRecord: cmd.Bool("starts-without-record"),
					CrashingTasks:       cmd.Bool("crashing-tasks"), ChangingCapacities: cmd.Bool("changing-capacities"),
					LastingJobs: cmd.Bool("lasting-jobs"), FailingLastingJobs: cmd.Bool("failing-lasting-jobs"),
					UnknownKeys: cmd.Bool("unknown-keys"), LargeJobs: cmd.Bool("large-jobs"),
					LateStarts: cmd.Bool("late-starts"), SilentRestarts: cmd.Bool("silent-restarts"), LateAcknowledgements: cmd.Bool("late-acknowledgements"),
				}
				if cmd.Bool("faults") {
					opts.Out = cmd.Root().Writer
				}
				report, err := soak.Run(opts)
				if err != nil {
					return err
				}
				fmt.Fprintln(cmd.Root().Writer, report)
				if len(report.Problems) > 0 {
					failed++
				}
			}
			if failed > 0 {
				return fmt.Errorf("soak: %d of %d seeds violated an invariant", failed, cmd.Int("seeds"))
			}
			return nil
		},
	}
}
