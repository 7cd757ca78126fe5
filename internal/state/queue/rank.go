package queue

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// How far behind its arrival a job without an earlier deadline is ranked.
const (
	// RequestHorizon applies to requests.
	RequestHorizon = 30 * time.Second
	// LongHorizon applies to every other class.
	LongHorizon = 2 * time.Minute
	// UrgentLead is by how much urgent work is ranked earlier. It is not
	// below LongHorizon, so that urgent work goes before anything that
	// arrived at the same time.
	UrgentLead = 2 * time.Minute
)

// Rank returns the place of a job in its team's order: the lower goes first.
// It does not change while the job waits, and newer work is ranked ever later,
// so that no job starves.
func Rank(j *state.Job, arrived state.Time) state.Time {
	horizon := LongHorizon
	if j.Class == state.ClassRequest {
		horizon = RequestHorizon
	}
	rank := arrived + horizon
	if j.Deadline > 0 {
		rank = min(rank, j.Deadline)
	}
	if j.Urgent {
		rank -= UrgentLead
	}
	return rank
}

// rankWithoutLead is the item's rank as if it were not urgent.
func (it *Item) rankWithoutLead() state.Time {
	if it.Urgent {
		return it.Rank + UrgentLead
	}
	return it.Rank
}
