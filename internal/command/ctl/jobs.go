package ctl

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/apiclient"
)

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{Name: "explain", Usage: "show where a job is and why it waits", ArgsUsage: "JOB", Action: a.action(explain)}
}

func (a *app) waitCommand() *cli.Command {
	return &cli.Command{Name: "wait", Usage: "wait for the end of a job, for at most --timeout", ArgsUsage: "JOB", Action: a.action(waitForJob)}
}

func (a *app) cancelCommand() *cli.Command {
	return &cli.Command{Name: "cancel", Usage: "cancel a job", ArgsUsage: "JOB", Action: a.action(cancelJob)}
}

func (s *session) job() (state.JobID, error) {
	text, err := s.argument("JOB")
	if err != nil {
		return "", err
	}
	id := state.JobID(text)
	return id, v1.CheckJobID(id)
}

func explain(ctx context.Context, s *session) error {
	id, err := s.job()
	if err != nil {
		return err
	}
	explanation, err := s.client.Explain(ctx, id)
	if err != nil {
		return err
	}
	return s.print(explanation, func(t *table) {
		t.section("HOME", "SHARD", "OWNER", "WHY")
		t.row(explanation.Home, explanation.Shard, explanation.Owner, explanation.Why)
		drawJob(t, explanation.Job)
	})
}

func waitForJob(ctx context.Context, s *session) error {
	id, err := s.job()
	if err != nil {
		return err
	}
	return s.waitAndPrint(ctx, id)
}

// waitAndPrint waits for the end of a job and prints its last known status, also if
// the wait times out.
func (s *session) waitAndPrint(ctx context.Context, id state.JobID) error {
	status, err := s.client.Wait(ctx, id)
	var timeout *apiclient.WaitTimeoutError
	if err != nil && (!errors.As(err, &timeout) || status.State == "") {
		return err
	}
	if printErr := s.printJob(status); printErr != nil {
		return printErr
	}
	if err != nil {
		return err
	}
	return jobOutcome(status)
}

func (s *session) printJob(status v1.JobStatus) error {
	return s.print(status, func(t *table) { drawJob(t, status) })
}

// cancelError reports that a job may still run after the cancel command.
type cancelError struct {
	status v1.JobStatus
}

// Error returns the state of the job with the remedy.
func (e *cancelError) Error() string {
	return fmt.Sprintf("job %s is %s after the cancel request; run samphirectl wait to wait for its end", e.status.ID, e.status.State)
}

func (e *cancelError) exitCode() int { return ExitUnknown }

func cancelJob(ctx context.Context, s *session) error {
	id, err := s.job()
	if err != nil {
		return err
	}
	status, err := s.client.Cancel(ctx, id)
	if err != nil {
		return err
	}
	if err := s.printJob(status); err != nil {
		return err
	}
	if !status.State.Ended() || status.State == state.JobUnknown {
		return &cancelError{status: status}
	}
	return nil
}

func drawJob(t *table, status v1.JobStatus) {
	t.section("JOB", "STATE", "CLASS", "TEAM", "DURABLE", "WAITING")
	t.row(status.ID, status.State, status.Class, status.Team, yesNo(status.Durable), status.Waiting)
	if len(status.Tasks) > 0 {
		t.section("TASK", "VM", "STATE")
	}
	for _, task := range status.Tasks {
		t.row(task.Task, task.VM, task.State)
	}
	if len(status.Outputs) > 0 {
		t.section("TASK", "OUTPUT")
	}
	for i, output := range status.Outputs {
		t.row(i, strconv.Quote(string(output)))
	}
	if status.Refusal != nil {
		t.section("REASON", "NOT RUN", "DETAIL", "REMEDY")
		t.row(status.Refusal.Reason, status.Refusal.NotRun, status.Refusal.Detail, status.Refusal.Remedy)
	}
}
