package ctl

import (
	"context"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	flagService      = "service"
	flagQueue        = "queue"
	flagID           = "id"
	flagTasks        = "tasks"
	flagCPU          = "cpu"
	flagMemory       = "memory"
	flagAccelerators = "accelerators"
	flagRunTime      = "run-time"
	flagDeadline     = "deadline"
	flagUrgent       = "urgent"
	flagIdempotent   = "idempotent"
	flagPreemptible  = "preemptible"
	flagPayload      = "payload"

	milliSuffix = "m"
	megaSuffix  = "MB"
	gigaSuffix  = "GB"
	milliPerCPU = 1_000
	megaPerGiga = 1_024
	// cpuTolerance is the accepted rounding error of a decimal fraction, in
	// thousandths of a processor.
	cpuTolerance      = 1e-6
	payloadFilePrefix = "@"
	payloadStdin      = "-"

	// replyMargin is the part of the timeout that is reserved for the response of a
	// call that waits at the entry.
	replyMargin = time.Second
)

func (a *app) submitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a job",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagService, Usage: "`SERVICE` whose upstreams run the job"},
			&cli.StringFlag{Name: flagClass, Usage: "`CLASS`: request, batch, gang or standing; may be left out when the queue has one"},
			&cli.StringFlag{Name: flagQueue, Usage: "`QUEUE` to submit to"},
			&cli.StringFlag{Name: flagID, Usage: "job `ID` of an earlier attempt, to repeat it"},
			&cli.IntFlag{Name: flagTasks, Value: 1, Usage: "`NUMBER` of equal tasks"},
			&cli.StringFlag{Name: flagCPU, Usage: "processors of a task, as `CORES` such as 2 or 0.5, or 500m"},
			&cli.StringFlag{Name: flagMemory, Usage: "memory of a task, as `SIZE` such as 512MB or 2GB"},
			&cli.Int64Flag{Name: flagAccelerators, Usage: "accelerators of a task, as `NUMBER`"},
			&cli.DurationFlag{Name: flagRunTime, Usage: "declared run `TIME` of a task"},
			&cli.DurationFlag{Name: flagDeadline, Usage: "`TIME` from now after which the result is of no use"},
			&cli.BoolFlag{Name: flagUrgent, Usage: "run before the team's other work"},
			&cli.BoolFlag{Name: flagIdempotent, Usage: "the job may be run again after an unknown outcome"},
			&cli.BoolFlag{Name: flagPreemptible, Usage: "the job may be stopped for urgent work"},
			&cli.StringFlag{Name: flagPayload, Usage: "`INPUT` of the tasks: text, @FILE, or - for the standard input"},
			&cli.BoolFlag{Name: flagWait, Usage: "wait for the end of the job, for at most --timeout; a request always waits"},
		},
		Action: a.action(submit),
	}
}

func submit(ctx context.Context, s *session) error {
	if _, err := s.arguments(); err != nil {
		return err
	}
	request, err := s.submitRequest()
	if err != nil {
		return err
	}
	wait := s.command.Bool(flagWait) || request.Class == state.ClassRequest
	if wait {
		request.WaitMS = entryWait(s.command.Duration(flagTimeout)).Milliseconds()
	}
	if err := request.Validate(); err != nil {
		return err
	}
	status, err := s.client.Submit(ctx, request)
	if err != nil {
		return err
	}
	if wait && !status.State.Ended() {
		return s.waitAndPrint(ctx, status.ID)
	}
	if err := s.printJob(status); err != nil {
		return err
	}
	return jobOutcome(status)
}

// entryWait returns how long an entry may hold the submission open, given the timeout
// of the command.
func entryWait(limit time.Duration) time.Duration {
	return min(v1.MaxWait, max(limit-replyMargin, limit/2))
}

func (s *session) submitRequest() (v1.SubmitRequest, error) {
	cpu, err := parseCPU(s.command.String(flagCPU))
	if err != nil {
		return v1.SubmitRequest{}, err
	}
	memory, err := parseMemory(s.command.String(flagMemory))
	if err != nil {
		return v1.SubmitRequest{}, err
	}
	payload, err := s.payload()
	if err != nil {
		return v1.SubmitRequest{}, err
	}
	return v1.SubmitRequest{
		ID:           state.JobID(s.command.String(flagID)),
		Queue:        state.QueueID(s.command.String(flagQueue)),
		Class:        state.Class(s.command.String(flagClass)),
		Service:      state.Service(s.command.String(flagService)),
		Tasks:        s.command.Int(flagTasks),
		CPUMilli:     cpu,
		MemoryMB:     memory,
		Accelerators: s.command.Int64(flagAccelerators),
		RunTimeMS:    s.command.Duration(flagRunTime).Milliseconds(),
		DeadlineMS:   s.command.Duration(flagDeadline).Milliseconds(),
		Urgent:       s.command.Bool(flagUrgent),
		Idempotent:   s.command.Bool(flagIdempotent),
		Preemptible:  s.command.Bool(flagPreemptible),
		Payload:      payload,
	}, nil
}

// parseCPU parses values such as 2, 0.5 or 500m and returns thousandths of a
// processor. Empty text means 0.
func parseCPU(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if milli, ok := strings.CutSuffix(text, milliSuffix); ok {
		if n, err := strconv.ParseInt(milli, 10, 64); err == nil {
			return n, nil
		}
	}
	cores, err := strconv.ParseFloat(text, 64)
	milli := math.Round(cores * milliPerCPU)
	exact := math.Abs(cores*milliPerCPU-milli) < cpuTolerance
	if err != nil || !exact || milli < 0 || milli > v1.MaxCPUMilli {
		return 0, &usageError{problem: "--cpu " + strconv.Quote(text) + " is not a number of processors", remedy: "write 2, 0.5 or 500m, in steps of 1m"}
	}
	return int64(milli), nil
}

// parseMemory parses values such as 512MB or 2GB and returns mebibytes. Empty text
// means 0.
func parseMemory(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	factor := int64(1)
	number, giga := strings.CutSuffix(text, gigaSuffix)
	if giga {
		factor = megaPerGiga
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(number, megaSuffix), 10, 64)
	if err != nil || n < 0 || n > v1.MaxMemoryMB {
		return 0, &usageError{problem: "--memory " + strconv.Quote(text) + " is not a size", remedy: "write 512MB or 2GB"}
	}
	return n * factor, nil
}

// payload returns the value of --payload: the text itself, the content of @FILE, or
// standard input for -.
func (s *session) payload() ([]byte, error) {
	text := s.command.String(flagPayload)
	var content []byte
	var err error
	switch name, isFile := strings.CutPrefix(text, payloadFilePrefix); {
	case text == payloadStdin:
		content, err = io.ReadAll(s.streams.In)
	case isFile:
		content, err = os.ReadFile(name)
	default:
		content = []byte(text)
	}
	if err != nil {
		return nil, &usageError{problem: "can't read the payload: " + err.Error(), remedy: "give text, a readable @FILE, or -"}
	}
	return content, nil
}
