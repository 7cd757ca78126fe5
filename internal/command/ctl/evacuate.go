package ctl

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/BurntSushi/toml"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/apiclient"
)

// evacuationFile is the name of the file beside the contracts that lists the evacuated failure
// domains. Without the file, contract apply leaves the evacuations as they are.
const evacuationFile = "evacuation.toml"

func evacuateDomain(ctx context.Context, s *session) error {
	return s.changeDomain(ctx, s.client.Evacuate)
}

func restoreDomain(ctx context.Context, s *session) error {
	return s.changeDomain(ctx, s.client.RestoreDomain)
}

func (s *session) changeDomain(ctx context.Context, change func(context.Context, state.DomainID, v1.Write) (v1.WriteResult, error)) error {
	name, err := s.argument("NAME")
	domain := state.DomainID(name)
	if err == nil {
		err = v1.CheckDomainID(domain)
	}
	if err != nil {
		return err
	}
	result, err := change(ctx, domain, v1.Write{})
	if err != nil {
		return err
	}
	return s.printWrite(result)
}

// readEvacuationFile returns the domains that the file of a directory lists. found is false
// without a file. The error is a *faultsError.
func readEvacuationFile(directory string) (domains []state.DomainID, found bool, err error) {
	failed := func(key, problem, remedy string) ([]state.DomainID, bool, error) {
		return nil, true, &faultsError{faults: []fault{{file: evacuationFile, key: key, problem: problem, remedy: remedy}}}
	}
	content, err := os.ReadFile(filepath.Join(directory, evacuationFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, false, nil
	case err != nil:
		return failed("", "can't be read: "+err.Error(), "make the file readable")
	}
	var file struct {
		Evacuated *[]state.DomainID `toml:"evacuated"`
	}
	meta, err := toml.Decode(string(content), &file)
	if err != nil {
		return failed("", "is not valid: "+parseProblem(err), `write evacuated = ["NAME", ...]`)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return failed(unknown[0].String(), "is not a key of this file", "remove it or correct its name")
	}
	if file.Evacuated == nil {
		return failed("evacuated", "is missing", "list the evacuated domains, or [] for none")
	}
	for _, domain := range *file.Evacuated {
		var fieldErr *v1.FieldError
		if errors.As(v1.CheckDomainID(domain), &fieldErr) {
			return failed("evacuated", fieldErr.Problem, fieldErr.Remedy)
		}
	}
	return *file.Evacuated, true, nil
}

// The changes of an evacuation.
const (
	DomainEvacuated ContractChange = "evacuated"
	DomainRestored  ContractChange = "restored"
)

// DomainPlan is the change that contract apply makes for one failure domain, with its outcome.
type DomainPlan struct {
	Domain state.DomainID `json:"domain"`
	Change ContractChange `json:"change"`
	Result ApplyResult    `json:"result"`
	// Version is the configuration version that first contains the change; nil if it was not
	// applied.
	Version *int64 `json:"version,omitempty"`
	// Error is the reason why the change was not applied.
	Error string `json:"error,omitempty"`
}

// planEvacuations compares the domains that the file lists with the evacuated ones. The plans
// are sorted by domain, evacuations first: capacity is taken away before it is counted on.
func planEvacuations(listed, inForce []state.DomainID) []DomainPlan {
	listed = slices.Compact(slices.Sorted(slices.Values(listed)))
	var plans []DomainPlan
	for _, domain := range listed {
		if !slices.Contains(inForce, domain) {
			plans = append(plans, DomainPlan{Domain: domain, Change: DomainEvacuated, Result: ResultPlanned})
		}
	}
	for _, domain := range slices.Sorted(slices.Values(inForce)) {
		if !slices.Contains(listed, domain) {
			plans = append(plans, DomainPlan{Domain: domain, Change: DomainRestored, Result: ResultPlanned})
		}
	}
	return plans
}

// applyEvacuations writes the planned changes and records the results. It continues after a
// failure of one domain. The error is nil or an *applyError.
func applyEvacuations(ctx context.Context, client *apiclient.Client, plans []DomainPlan) error {
	failure := &applyError{total: len(plans)}
	for i := range plans {
		plan := &plans[i]
		change := client.RestoreDomain
		if plan.Change == DomainEvacuated {
			change = client.Evacuate
		}
		result, err := change(ctx, plan.Domain, v1.Write{})
		if err != nil {
			plan.Result, plan.Error = failedResult(err), oneLine(err.Error())
			failure.failed++
			failure.code = mergeExitCodes(failure.code, exitCode(err))
			continue
		}
		plan.Result, plan.Version = ResultApplied, &result.Version
	}
	if failure.failed == 0 {
		return nil
	}
	return failure
}

// joinApplyErrors combines the errors of both kinds of changes into one.
func joinApplyErrors(a, b error) error {
	var first, second *applyError
	if !errors.As(a, &first) {
		return b
	}
	if !errors.As(b, &second) {
		return a
	}
	return &applyError{failed: first.failed + second.failed, total: first.total + second.total, code: mergeExitCodes(first.code, second.code)}
}

func drawEvacuations(t *table, plans []DomainPlan) {
	if len(plans) == 0 {
		return
	}
	t.section("DOMAIN", "CHANGE", "RESULT", "VERSION", "ERROR")
	for _, plan := range plans {
		t.row(plan.Domain, plan.Change, plan.Result, versionCell(plan.Version), plan.Error)
	}
}
