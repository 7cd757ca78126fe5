package queue

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// The offsets applied to the arrival time of a job to compute its rank. A deadline earlier
// than the arrival time plus horizon replaces that sum.
const (
	// RequestHorizon is the offset for jobs of class request.
	RequestHorizon = 30 * time.Second
	// LongHorizon is the offset for all other classes.
	LongHorizon = 2 * time.Minute
	// UrgentLead is subtracted from the rank of urgent work. It is at least
	// LongHorizon, so that urgent work precedes all other work that arrived at the
	// same time.
	UrgentLead = 2 * time.Minute
)

// Rank returns the rank of a job within its team; the lowest rank is served first. The rank
// does not change while the job waits, and the rank of new work grows with its arrival time,
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

// rankWithoutUrgentLead returns the rank that the item would have if it were not urgent.
func (it *Item) rankWithoutUrgentLead() state.Time {
	if it.Urgent {
		return it.Rank + UrgentLead
	}
	return it.Rank
}
