package machine

import (
	"fmt"

	"github.com/samphirerail/samphirerail/internal/state"
)

func refusalNever(detail, remedy string) *state.Refusal {
	return &state.Refusal{Reason: state.ReasonNeverRunnable, Verdict: state.NotRun, Detail: detail, Remedy: remedy}
}

func refusalShuttingDown() *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonShuttingDown, Verdict: state.NotRun,
		Detail: "the owner of the upstreams is stopping", Remedy: "submit again: another entry takes over",
		RetryAfter: defaultRetryAfter,
	}
}

func refusalNotPermitted(spec *state.Job) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonNotPermitted, Verdict: state.NotRun,
		Detail: fmt.Sprintf("class %q with %d tasks is not valid", spec.Class, spec.Tasks),
		Remedy: "name a known class and at least one task",
	}
}

func refusalWithdrawn(id state.TeamID) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonWithdrawn, Verdict: state.NotRun,
		Detail: fmt.Sprintf("team %s has no allotment in this failure domain", id),
		Remedy: "ask the operators for a contract",
	}
}

func refusalDeadline(verdict state.Verdict, detail string) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonDeadline, Verdict: verdict, Detail: detail,
		Remedy: "submit again with a later deadline", RetryAfter: defaultRetryAfter,
	}
}

func refusalOverLimit(t *team, demand state.Vector) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonOverLimit, Verdict: state.NotRun,
		Detail: fmt.Sprintf("the job needs %s and team %s may hold %s here", demand, t.id, t.quota.Limit),
		Remedy: "ask for less at once, or ask the operators for a higher limit",
	}
}

func refusalQueueFull(t *team, now state.Time) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonQueueFull, Verdict: state.NotRun,
		Detail:     fmt.Sprintf("%d jobs of team %s wait already", t.queued, t.id),
		Remedy:     "submit again after the time given",
		RetryAfter: t.dequeueRate.retryAfter(now),
	}
}

func refusalConflict(id state.JobID) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonConflict, Verdict: state.NotRun,
		Detail: fmt.Sprintf("the ID %s is in use for other content; nothing of this submission ran", id),
		Remedy: "submit under a fresh ID",
	}
}

func refusalLostAtTakeover() *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonOutcomeUnknown, Verdict: state.Unknown,
		Detail: "the ID is older than what the owner of the upstreams can account for, so the job may have run",
		Remedy: "find out whether the work was done before submitting it under a fresh ID",
	}
}

func refusalOutcomeUnknown(detail string) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonOutcomeUnknown, Verdict: state.Unknown, Detail: detail,
		Remedy: "find out whether the work was done before submitting it under a fresh ID",
	}
}

func refusalRetries(verdict state.Verdict, retries int, detail string) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonRetriesExhausted, Verdict: verdict,
		Detail:     fmt.Sprintf("%d retries are used up: %s", retries, detail),
		Remedy:     "submit again later under a fresh ID",
		RetryAfter: defaultRetryAfter,
	}
}

func refusalTaskFailed(id state.TaskID, output []byte) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonTaskFailed, Verdict: state.HasRun,
		Detail: fmt.Sprintf("task %s failed: %s", id, output),
		Remedy: "correct the work and submit it under a fresh ID",
	}
}
