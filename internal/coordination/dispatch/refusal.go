package dispatch

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/forecast"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// refusalCounters counts the refused submissions by cause.
type refusalCounters map[scheduler.RefusalCause]metrics.Counter

func newRefusalCounters(counter func(name string) metrics.Counter) refusalCounters {
	out := refusalCounters{}
	for _, cause := range []scheduler.RefusalCause{scheduler.RefusedTooLate, scheduler.RefusedOverShare, scheduler.RefusedNeverRuns} {
		out[cause] = counter("owner.refused." + cause.String())
	}
	return out
}

// refusal logs and counts the refusal of a job, and returns it as the caller sees it.
func (o *owner) refusal(job *workload.Job, retryAfter time.Duration) error {
	a := o.sched.LastAdmission()
	if c := o.metrics.refused[a.Cause]; c != nil {
		c.Inc(1)
	}
	o.logger.Info("job refused by the owner", "job", job.ID, "queue", job.Queue, "workspace", job.Workspace, "cause", a.Cause,
		"forecast_start_ms", forecastMS(a.Start), "forecast_end_ms", forecastMS(a.End), "objective_ms", a.Objective.Milliseconds(),
		"retry_after_ms", retryAfter.Milliseconds(), "returning", a.Returning)
	return &port.RefusedError{Cause: a.Cause.String(), Reason: refusalText(job, a.Cause), RetryAfter: retryAfter}
}

// forecastMS returns a forecast time in milliseconds, or -1 if none can be foreseen.
func forecastMS(d time.Duration) int64 {
	if d == forecast.Never {
		return -1
	}
	return d.Milliseconds()
}

// logEnded logs the end of a job, with what was forecast when it was accepted.
func (o *owner) logEnded(id workload.JobID, phase ledger.Phase) {
	out, ok := o.sched.TakeOutcome(id)
	if !ok {
		o.logger.Info("job ended", "job", id, "phase", phase)
		return
	}
	o.logger.Info("job ended", "job", id, "phase", phase, "forecast_start_ms", forecastMS(out.Forecast.Start), "start_ms", forecastMS(out.Start),
		"forecast_end_ms", forecastMS(out.Forecast.End), "end_ms", out.End.Milliseconds(), "objective_ms", out.Forecast.Objective.Milliseconds())
	if out.Foreseen() && phase == ledger.Complete {
		o.metrics.forecastError.Update((out.End - out.Forecast.End).Milliseconds())
	}
}

func refusalText(job *workload.Job, cause scheduler.RefusalCause) string {
	switch cause {
	case scheduler.RefusedTooLate:
		return "too late: the service is too busy for the job to end in time"
	case scheduler.RefusedNeverRuns:
		return "never runs: a task of the job is larger than every upstream that may run it, or than the quota of workspace " + string(job.Workspace)
	case scheduler.NotRefused, scheduler.RefusedOverShare:
	}
	return "over share: workspace " + string(job.Workspace) + " exceeds its share of a busy service"
}
