package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/apiclient"
)

const (
	flagDirectory = "f"
	flagDryRun    = "dry-run"
	flagPrune     = "prune"
)

func (a *app) contractApplyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "bring the contracts in force in line with the files of a directory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDirectory, Usage: "`DIR` with one *.toml file for each contract, also in its subdirectories, and evacuation.toml", TakesFile: true},
			&cli.BoolFlag{Name: flagDryRun, Usage: "only show the difference"},
			&cli.BoolFlag{Name: flagPrune, Usage: "withdraw the contracts that are not in the directory"},
		},
		Action: a.action(applyContracts),
	}
}

// applyError reports that some contract changes were not applied.
type applyError struct {
	failed int
	total  int
	// code is the exit code of the command; see mergeExitCodes.
	code int
}

// Error returns the message with its remedy.
func (e *applyError) Error() string {
	return fmt.Sprintf("%d of %d changes not applied; see their remedies, then run contract apply again", e.failed, e.total)
}

func (e *applyError) exitCode() int { return e.code }

func applyContracts(ctx context.Context, s *session) error {
	directory := s.command.String(flagDirectory)
	if _, err := s.arguments(); err != nil || directory == "" {
		return &usageError{problem: "no directory is given", remedy: "run samphirectl contract apply -f DIR"}
	}
	files, err := loadContracts(directory)
	if err != nil {
		return err
	}
	evacuated, manageEvacuations, err := readEvacuationFile(directory)
	if err != nil {
		return err
	}
	list, err := s.client.Contracts(ctx)
	if err != nil {
		return err
	}
	report := ApplyReport{
		DryRun:    s.command.Bool(flagDryRun),
		Contracts: planContracts(files, list.Contracts, s.command.Bool(flagPrune)),
	}
	if manageEvacuations {
		status, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		report.Domains = planEvacuations(evacuated, status.Domains.Evacuated)
	}
	var failure error
	if !report.DryRun {
		failure = joinApplyErrors(applyEvacuations(ctx, s.client, report.Domains), applyPlans(ctx, s.client, report.Contracts))
	}
	if err := s.print(report, func(t *table) { drawApply(t, report) }); err != nil {
		return err
	}
	return failure
}

// applyPlans writes the planned changes and records the result in each plan. It
// continues after a conflict or a refusal of one contract, and stops after a
// failure that would affect every contract. The error is nil or an *applyError.
func applyPlans(ctx context.Context, client *apiclient.Client, plans []ContractPlan) error {
	failure := &applyError{}
	stopped := false
	for i := range plans {
		plan := &plans[i]
		if plan.Result == ResultNothingToDo {
			continue
		}
		failure.total++
		if stopped {
			plan.Result = ResultNotReached
			failure.failed++
			continue
		}
		err := applyPlan(ctx, client, plan)
		if err == nil {
			continue
		}
		failure.failed++
		failure.code = mergeExitCodes(failure.code, exitCode(err))
		stopped = affectsAllContracts(err)
	}
	if failure.failed == 0 {
		return nil
	}
	return failure
}

// mergeExitCodes combines two exit codes: ExitUnknown takes precedence, otherwise
// the first failure does.
func mergeExitCodes(old, code int) int {
	if old == ExitSuccess || code == ExitUnknown {
		return code
	}
	return old
}

// affectsAllContracts reports whether an error is likely to affect the next contract
// too: any error other than a refusal, such as an unreachable entry, or a refusal of
// the key.
func affectsAllContracts(err error) bool {
	var refusal *v1.Refusal
	return !errors.As(err, &refusal) || refusalCode(refusal) == ExitNotAuthorised
}

func applyPlan(ctx context.Context, client *apiclient.Client, plan *ContractPlan) error {
	write := v1.Write{BaseVersion: &plan.BaseVersion}
	var result v1.WriteResult
	var err error
	if plan.Change == ContractWithdrawn {
		result, err = client.WithdrawContract(ctx, plan.Team, write)
	} else {
		result, err = client.PutContract(ctx, plan.contract, write)
	}
	if err != nil {
		plan.Result = failedResult(err)
		plan.Error = oneLine(err.Error())
		return err
	}
	plan.Result = ResultApplied
	plan.Version = &result.Version
	return nil
}

func failedResult(err error) ApplyResult {
	switch exitCode(err) {
	case ExitConflict:
		return ResultConflict
	case ExitUnknown:
		return ResultUnknown
	case ExitUnreachable:
		return ResultNotReached
	}
	return ResultRefused
}

func drawApply(t *table, report ApplyReport) {
	drawEvacuations(t, report.Domains)
	t.section("TEAM", "FILE", "CHANGE", "RESULT", "VERSION", "ERROR")
	for _, plan := range report.Contracts {
		t.row(plan.Team, plan.File, plan.Change, plan.Result, versionCell(plan.Version), plan.Error)
	}
	headerPrinted := false
	for _, plan := range report.Contracts {
		for _, field := range plan.Fields {
			if !headerPrinted {
				t.section("TEAM", "FIELD", "OLD", "", "NEW")
				headerPrinted = true
			}
			t.row(plan.Team, field.Field, field.Old, "->", field.New)
		}
	}
}

// versionCell returns the version of a change, or "" if it was not applied.
func versionCell(version *int64) string {
	if version == nil {
		return ""
	}
	return fmt.Sprint(*version)
}

// parseTeam checks a command-line argument that names a team.
func parseTeam(name string) (state.TeamID, error) {
	team := state.TeamID(name)
	return team, v1.CheckTeam(team)
}
