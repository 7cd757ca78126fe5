package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/samphirerail/samphirerail/internal/measure"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:     "measure",
		Usage:    "measure running processes and fill stand-ins",
		Hidden:   true,
		Commands: []*cli.Command{measureProcessCommand(), measureFillCommand(), measurePathCommand()},
	}
}

func measureProcessCommand() *cli.Command {
	return &cli.Command{
		Name:  "process",
		Usage: "print the resource usage of a process over a period",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "pid", Required: true, Usage: "process `ID`"},
			&cli.StringFlag{Name: "operators", Usage: "`IP:PORT` of the process's operators' listener"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "`TIME` to observe"},
			&cli.StringFlag{Name: "label", Usage: "first words of the line"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			first, err := measure.ReadSample(ctx, cmd.Int("pid"), cmd.String("operators"))
			if err != nil {
				return err
			}
			time.Sleep(cmd.Duration("for"))
			last, err := measure.ReadSample(ctx, cmd.Int("pid"), cmd.String("operators"))
			if err != nil {
				return err
			}
			printUsage(cmd.Root().Writer, cmd.String("label"), measure.UsageBetween(first, last))
			return nil
		},
	}
}

func printUsage(out io.Writer, label string, u measure.Usage) {
	fmt.Fprintf(out, "%s resident_kb=%d anonymous_kb=%d core_percent=%.2f bytes_per_s=%.0f load=%s",
		label, u.ResidentKB, u.AnonymousKB, u.Core, u.Total, measure.LoadAverage())
	for _, name := range slices.Sorted(maps.Keys(u.BytesPerSecond)) {
		fmt.Fprintf(out, " %s=%.0f", name, u.BytesPerSecond[name])
	}
	fmt.Fprintln(out)
}

func measureFillCommand() *cli.Command {
	return &cli.Command{
		Name:  "fill",
		Usage: "write domains, contracts and upstreams to a stand-in platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`IP:PORT` of the stand-in platform"},
			&cli.IntFlag{Name: "domains", Value: 14, Usage: "number of failure domains, d00 and so on"},
			&cli.IntFlag{Name: "upstreams", Value: 2571, Usage: "upstreams in each domain but d00"},
			&cli.IntFlag{Name: "teams", Value: 97, Usage: "number of contracts"},
			&cli.BoolFlag{Name: "list", Usage: "put the upstreams on the VM list too"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return measure.Fill(ctx, cmd.String("platform"), measure.Size{
				Domains: cmd.Int("domains"), Upstreams: cmd.Int("upstreams"), Teams: cmd.Int("teams"), List: cmd.Bool("list"),
			})
		},
	}
}

func measurePathCommand() *cli.Command {
	return &cli.Command{
		Name:  "path",
		Usage: "measure requests through an entry, or directly to a stand-in worker",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "`IP:PORT` of an entry's callers' listener"},
			&cli.StringFlag{Name: "key", Usage: "`BEARER` of a team"},
			&cli.StringFlag{Name: "worker", Usage: "`IP:PORT` of a stand-in worker without an owner"},
			&cli.IntFlag{Name: "callers", Value: 1, Usage: "calls at a time"},
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "`TIME` to run"},
			&cli.StringFlag{Name: "label", Usage: "first words of the line"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			call, err := pathCall(ctx, cmd)
			if err != nil {
				return err
			}
			l := measure.Run(ctx, cmd.Int("callers"), cmd.Duration("for"), call)
			fmt.Fprintf(cmd.Root().Writer, "%s callers=%d calls=%d failed=%d p50=%s p99=%s per_s=%.0f load=%s\n",
				cmd.String("label"), cmd.Int("callers"), l.Calls, l.Failed, l.P50, l.P99, l.PerSecond, measure.LoadAverage())
			return l.LastError
		},
	}
}

func pathCall(ctx context.Context, cmd *cli.Command) (measure.Call, error) {
	callers := cmd.Int("callers")
	if worker := cmd.String("worker"); worker != "" {
		return measure.DirectCall(ctx, worker, callers)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	return measure.EntryCall(cmd.String("entry"), cmd.String("key"), client), nil
}
