package machine

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
)

// evacuatedRetryAfter is when a caller may submit again a job that was refused because the
// failure domain is evacuated. Under a fresh ID it goes to another domain at once; only while
// all domains are evacuated does the caller have to wait.
const evacuatedRetryAfter = 5 * time.Second

// setEvacuated applies the evacuated failure domains. In the shard of an evacuated domain
// nothing starts, and running tasks continue. Requests that wait are refused, because their
// callers wait for a result; other jobs were accepted and wait until the domain is restored.
func (m *Machine) setEvacuated(set evacuation.Set) {
	evacuated := set.Has(m.cfg.Domain)
	if evacuated == m.evacuated {
		return
	}
	m.evacuated = evacuated
	if !evacuated {
		return
	}
	for _, j := range m.openJobs() {
		if j.spec.Class != state.ClassRequest || !j.item.Queued() || j.active > 0 || j.delayed > 0 || j.verdict() != state.NotRun {
			continue
		}
		m.dequeue(j)
		j.pending = nil
		m.finish(j, state.JobRefused, refusalEvacuated(m.cfg.Domain))
	}
}

func refusalEvacuated(domain state.DomainID) *state.Refusal {
	return &state.Refusal{
		Reason: state.ReasonEvacuated, Verdict: state.NotRun,
		Detail:     "the failure domain " + string(domain) + " is evacuated",
		Remedy:     "submit again under a fresh ID, which another failure domain serves",
		RetryAfter: evacuatedRetryAfter,
	}
}
