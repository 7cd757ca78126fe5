package machine

import (
	"cmp"
	"slices"
)

// quotasChanged replaces the quotas of all teams.
func (m *Machine) quotasChanged(quotas []Quota) {
	m.quotasSet = true
	for _, t := range m.teamOrder {
		t.hasQuota = false
	}
	m.weights = 0
	for _, q := range quotas {
		t := m.team(q.Team)
		t.quota = q
		t.hasQuota = true
		m.weights += max(q.Weight, 1)
	}
	m.queue.AllLimitsFreed()
	m.refreshShares()
	withdrawn := false
	for _, t := range m.teamOrder {
		withdrawn = withdrawn || !t.hasQuota
	}
	if withdrawn {
		m.withdrawTeams()
	}
}

// withdrawTeams ends the jobs of teams that no longer have a quota.
func (m *Machine) withdrawTeams() {
	for _, j := range m.openJobs() {
		if !m.team(j.spec.Team).hasQuota {
			m.withdraw(j)
		}
	}
	m.teamOrder = slices.DeleteFunc(m.teamOrder, func(t *team) bool {
		idle := !t.hasQuota && t.usage.IsZero() && t.queued == 0
		if idle {
			delete(m.teams, t.id)
			m.queue.DropTeam(t.id)
		}
		return idle
	})
}

// openJobs returns the jobs that have not ended, in the order of their IDs.
func (m *Machine) openJobs() []*job {
	var open []*job
	for _, j := range m.jobs {
		if !j.state.Ended() {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return open
}

// resign refuses queued jobs. Running tasks continue.
func (m *Machine) resign() {
	if m.resigned {
		return
	}
	m.resigned = true
	for _, j := range m.openJobs() {
		if j.deferred != nil || j.state.Ended() {
			continue
		}
		if len(j.pending)+j.delayed > 0 {
			m.dequeue(j)
			j.pending = nil
		}
		if j.active == 0 && (!j.adopted || j.hasPayload) {
			m.finishResigned(j)
		}
	}
}
