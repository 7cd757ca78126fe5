package ctl

import (
	"cmp"
	"reflect"
	"slices"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// ContractChange is how a contract in the directory differs from the one in
// force.
type ContractChange string

// The kinds of difference.
const (
	ContractAdded     ContractChange = "added"
	ContractChanged   ContractChange = "changed"
	ContractUnchanged ContractChange = "unchanged"
	// ContractWithdrawn: in force, not in the directory, and to be withdrawn.
	ContractWithdrawn ContractChange = "withdrawn"
	// ContractKept: in force, not in the directory, and left as it is.
	ContractKept ContractChange = "kept"
)

// ApplyResult is what became of one contract.
type ApplyResult string

// The results.
const (
	// ResultPlanned: a dry run.
	ResultPlanned  ApplyResult = "planned"
	ResultNothing  ApplyResult = "nothing to do"
	ResultApplied  ApplyResult = "applied"
	ResultConflict ApplyResult = "conflict"
	ResultRefused  ApplyResult = "refused"
	ResultUnknown  ApplyResult = "unknown"
	// ResultNotReached: an earlier failure ended the run, or no entry answered.
	ResultNotReached ApplyResult = "not reached"
)

// FieldChange is a field with its value in force and in the file.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// ContractPlan is what contract apply does for one team.
type ContractPlan struct {
	Team state.TeamID `json:"team"`
	// File is empty for a contract that is not in the directory.
	File   string         `json:"file,omitempty"`
	Change ContractChange `json:"change"`
	Fields []FieldChange  `json:"fields,omitempty"`
	// BaseVersion is the version that the change is based on.
	BaseVersion int64       `json:"base_version"`
	Result      ApplyResult `json:"result"`
	// Version is the version of the configuration that holds the change.
	Version *int64 `json:"version,omitempty"`
	// Error says why the change was not applied.
	Error string `json:"error,omitempty"`

	contract v1.Contract
}

// ApplyReport is the JSON output of contract apply.
type ApplyReport struct {
	DryRun    bool           `json:"dry_run"`
	Contracts []ContractPlan `json:"contracts"`
}

// planContracts compares the files with the contracts in force. The plans are
// sorted by team.
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
		plan := ContractPlan{Team: team, Change: ContractKept, BaseVersion: contract.Version, Result: ResultNothing}
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
		plan.Result = ResultNothing
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
