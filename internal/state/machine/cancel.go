package machine

import "github.com/samphirerail/samphirerail/internal/state"

// cancel cancels a job at the request of its team.
func (m *Machine) cancel(ev CancelJob) {
	j, ok := m.jobs[ev.Job]
	if !ok || j.spec.Team != ev.Team {
		return
	}
	if j.state.Ended() {
		m.repeatAnswer(j)
		return
	}
	m.finishWhenConfirmed(j, deferredResult{
		state:  state.JobCancelled,
		reason: state.ReasonCancelled,
		detail: "the team cancelled the job",
		remedy: "submit again under a fresh ID if the work is wanted after all",
	})
}

// withdraw ends a job of a team that no longer has a contract.
func (m *Machine) withdraw(j *job) {
	m.finishWhenConfirmed(j, deferredResult{
		state:  state.JobRefused,
		reason: state.ReasonWithdrawn,
		detail: "team " + string(j.spec.Team) + " has no allotment in this failure domain any more",
		remedy: "ask the operators for a contract",
	})
}
