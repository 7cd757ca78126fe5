// Package limits rebalances a team's upper limit between failure domains: it moves
// parts of the team's allotment from domains that leave them unused to domains in
// which the team's work waits for them.
//
// A move is a configuration record. The fold of the configuration log first lowers
// the allotment of the donor, and raises that of the receiver only once the donor's
// domain is known to stay within the lower one, so that the sum never exceeds the
// limit.
package limits

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// shortThreshold is the dominant share of an allotment in use from which on a team
// with waiting jobs counts as short.
const shortThreshold = 0.8

// donationDivisor divides the unused amount to give the amount of one move. The
// donor keeps the rest for its own next work.
const donationDivisor = 2

// Usage is a team's allotment and demand in a domain.
type Usage struct {
	Team      state.TeamID
	Allotment state.Vector
	Used      state.Vector
	// Queued is the number of waiting jobs.
	Queued int
}

// Short reports whether the team's jobs wait because its allotment is (nearly) used
// up or zero.
func (u Usage) Short() bool {
	return u.Queued > 0 && (u.Allotment.IsZero() || u.Used.DominantShare(u.Allotment) >= shortThreshold)
}

// Request is the request of a domain for a larger allotment of a team that is short
// there.
type Request struct {
	Domain state.DomainID
	Team   state.TeamID
}

// Move is an amount of a team's allotment that a domain gives to the domain To.
type Move struct {
	Team   state.TeamID
	To     state.DomainID
	Amount state.Vector
}

// Plan returns the moves of allotments from a domain to others: at most one move
// per team, of half of what the team leaves unused in this domain. A team with
// waiting jobs in this domain gives nothing. Usage must be sorted by team; requests
// are served in order.
func Plan(usage []Usage, requests []Request) []Move {
	var moves []Move
	for _, r := range requests {
		if slices.ContainsFunc(moves, func(m Move) bool { return m.Team == r.Team }) {
			continue
		}
		i, ok := slices.BinarySearchFunc(usage, r.Team, compareTeam)
		if !ok || usage[i].Queued > 0 {
			continue
		}
		amount := donation(usage[i].Allotment.Sub(usage[i].Used).Max(state.Vector{}))
		if enablesTask(amount, usage[i].Allotment) {
			moves = append(moves, Move{Team: r.Team, To: r.Domain, Amount: amount})
		}
	}
	return moves
}

func compareTeam(u Usage, team state.TeamID) int {
	switch {
	case u.Team < team:
		return -1
	case u.Team > team:
		return 1
	}
	return 0
}

func donation(v state.Vector) state.Vector {
	return state.Vector{
		CPUMilli: v.CPUMilli / donationDivisor, MemoryMB: v.MemoryMB / donationDivisor,
		Accelerators: v.Accelerators / donationDivisor, Slots: v.Slots / donationDivisor,
	}
}

// enablesTask reports whether a move is large enough to run a task: it has a slot,
// and some CPU and memory if the team's allotment in the donor's domain has any.
func enablesTask(amount, allotment state.Vector) bool {
	return amount.Slots > 0 &&
		(amount.CPUMilli > 0 || allotment.CPUMilli == 0) &&
		(amount.MemoryMB > 0 || allotment.MemoryMB == 0)
}
