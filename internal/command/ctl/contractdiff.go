package ctl

import (
	"cmp"
	"reflect"
	"slices"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// ContractChange is the kind of difference between a contract in the directory and
// the one in force.
type ContractChange string

// The kinds of difference.
const (
	ContractAdded     ContractChange = "added"
	ContractChanged   ContractChange = "changed"
	ContractUnchanged ContractChange = "unchanged"
	// ContractWithdrawn is a contract in force that is not in the directory and that
	// is to be withdrawn.
	ContractWithdrawn ContractChange = "withdrawn"
	// ContractKept is a contract in force that is not in the directory and that is
	// left unchanged.
	ContractKept ContractChange = "kept"
)

// ApplyResult is the outcome of contract apply for one contract.
type ApplyResult string

// The outcomes.
const (
	// ResultPlanned is a change that was not sent yet; a dry run ends with it.
	ResultPlanned     ApplyResult = "planned"
	ResultNothingToDo ApplyResult = "nothing to do"
	ResultApplied     ApplyResult = "applied"
	ResultConflict    ApplyResult = "conflict"
	ResultRefused     ApplyResult = "refused"
	ResultUnknown     ApplyResult = "unknown"
	// ResultNotReached is a change that was not made because an earlier failure
	// stopped the command or because no entry was reachable.
	ResultNotReached ApplyResult = "not reached"
)

// FieldChange is a field whose value in force differs from the one in the file.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// ContractPlan is the change that contract apply makes for one team, with its outcome.
type ContractPlan struct {
	Team state.TeamID `json:"team"`
	// File is empty for a contract that is not in the directory.
	File   string         `json:"file,omitempty"`
	Change ContractChange `json:"change"`
	Fields []FieldChange  `json:"fields,omitempty"`
	// BaseVersion is the version that the contract must still have when the change is
	// written, or v1.NoVersion for a new contract.
	BaseVersion int64       `json:"base_version"`
	Result      ApplyResult `json:"result"`
	// Version is the configuration version that first contains the change; nil if it
	// was not applied.
	Version *int64 `json:"version,omitempty"`
	// Error is the reason why the change was not applied.
	Error string `json:"error,omitempty"`

	contract v1.Contract
}

// ApplyReport is the JSON output of contract apply.
type ApplyReport struct {
	DryRun    bool           `json:"dry_run"`
	Contracts []ContractPlan `json:"contracts"`
	// Domains are the changes of evacuations; empty without the file.
	Domains []DomainPlan `json:"domains,omitempty"`
}

// planContracts compares the files with the contracts in force. Contracts without a
// file are withdrawn if prune is set. The plans are sorted by team.
func planContracts(files []contractFile, inForce []v1.VersionedContract, prune bool) []ContractPlan {
	current := make(map[state.TeamID]v1.VersionedContract, len(inForce))
	for _, contract := range inForce {
		current[contract.Team] = contract
	}
	var plans []ContractPlan
	for _, file := range files {
		plans = append(plans, planFile(file, current))
		delete(current, file.contract.Team)
	}
	for team, contract := range current {
		plan := ContractPlan{Team: team, Change: ContractKept, BaseVersion: contract.Version, Result: ResultNothingToDo}
		if prune {
			plan.Change = ContractWithdrawn
			plan.Result = ResultPlanned
		}
		plans = append(plans, plan)
	}
	slices.SortFunc(plans, func(a, b ContractPlan) int { return cmp.Compare(a.Team, b.Team) })
	return plans
}

func planFile(file contractFile, current map[state.TeamID]v1.VersionedContract) ContractPlan {
	plan := ContractPlan{
		Team:        file.contract.Team,
		File:        file.name,
		Change:      ContractAdded,
		BaseVersion: v1.NoVersion,
		Result:      ResultPlanned,
		contract:    file.contract,
	}
	old, ok := current[file.contract.Team]
	if !ok {
		return plan
	}
	plan.BaseVersion = old.Version
	plan.Change = ContractChanged
	plan.Fields = fieldChanges(normalise(old.Contract), file.contract)
	if len(plan.Fields) == 0 {
		plan.Change = ContractUnchanged
		plan.Result = ResultNothingToDo
	}
	return plan
}

func fieldChanges(before, after v1.Contract) []FieldChange {
	var changes []FieldChange
	for i := range contractFields {
		field := &contractFields[i]
		if reflect.DeepEqual(field.value(&before).Interface(), field.value(&after).Interface()) {
			continue
		}
		changes = append(changes, FieldChange{Field: field.key, Old: field.render(&before), New: field.render(&after)})
	}
	return changes
}
