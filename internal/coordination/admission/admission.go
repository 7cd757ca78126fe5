// Package admission refuses submissions that a team's contract does not cover
// before they leave the entry.
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

// cutRetry is when a caller refused for a cut should come back.
const cutRetry = 5 * time.Second

// Service is a coordination.JobService that checks each submission and hands
// the rest on.
type Service struct {
	coordination.JobService
	// View returns the newest configuration.
	View func() *config.View
	// Cut reports whether the domain is out of reach of the platform and of
	// every other domain.
	Cut func() bool
}

// Submit refuses what the contract does not cover; the rest is handed on.
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
	case contract.OnCut == config.CutHold && s.Cut():
		r := refuse(state.ReasonNoOwner, "the failure domain is cut off and the contract holds new work meanwhile",
			"submit through another failure domain, or later")
		r.RetryAfter = cutRetry
		return r
	}
	return nil
}

func refuse(reason state.Reason, detail, remedy string) *state.Refusal {
	return &state.Refusal{Reason: reason, Verdict: state.NotRun, Detail: detail, Remedy: remedy}
}
