// Package admission controls the admission of submissions at an entry: it refuses
// those that the team's contract does not cover before they are forwarded.
package admission

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
)

// isolatedRetryAfter is the retry delay for a caller that was refused because the
// domain is isolated.
const isolatedRetryAfter = 5 * time.Second

// Service is a coordination.JobService that checks each submission against the
// team's contract and forwards every other call unchanged.
type Service struct {
	coordination.JobService
	// View returns the newest configuration.
	View func() *config.View
	// Isolated reports whether the domain is isolated: it can reach neither the
	// platform nor any other domain.
	Isolated func() bool
}

// Submit refuses a submission that the team's contract does not cover, with a
// *state.Refusal, and forwards every other one. The verdict of a refusal is NotRun
// for a fresh submission. It is Unknown otherwise, since the job may have run under
// an earlier submission.
func (s *Service) Submit(ctx context.Context, sub coordination.Submission) (coordination.JobStatus, error) {
	if refusal := s.check(sub); refusal != nil {
		if !sub.Fresh {
			refusal.Verdict = state.Unknown
		}
		return coordination.JobStatus{}, refusal
	}
	return s.JobService.Submit(ctx, sub)
}

func (s *Service) check(sub coordination.Submission) *state.Refusal {
	contract, ok := s.View().Contract(sub.Team)
	switch {
	case !ok:
		return refuse(state.ReasonWithdrawn, "the team has no contract", "ask an operator for a contract")
	case !slices.Contains(contract.Services, sub.Service):
		return refuse(state.ReasonNotPermitted, fmt.Sprintf("the contract does not cover service %q", sub.Service),
			fmt.Sprintf("use one of %v", contract.Services))
	case !slices.Contains(contract.Classes, sub.Class):
		return refuse(state.ReasonNotPermitted, fmt.Sprintf("the contract does not cover class %q", sub.Class),
			fmt.Sprintf("use one of %v", contract.Classes))
	case contract.PartitionPolicy == config.PartitionHold && s.Isolated():
		r := refuse(state.ReasonNoOwner, "the failure domain is cut off and the contract holds new work meanwhile",
			"submit through another failure domain, or later")
		r.RetryAfter = isolatedRetryAfter
		return r
	}
	return nil
}

func refuse(reason state.Reason, detail, remedy string) *state.Refusal {
	return &state.Refusal{Reason: reason, Verdict: state.NotRun, Detail: detail, Remedy: remedy}
}
