// Package limits moves parts of a team's upper limit between failure domains:
// from where the team leaves them unused to where its work waits for them.
//
// A move is a configuration record. The fold lowers the donor first and raises
// the receiver once the donor's domain is known to do without, so that the sum
// never exceeds the limit.
package limits

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// shortShare is the part of an allotment in use above which a team whose work
// waits counts as short.
const shortShare = 0.8

// giveParts is the divisor of the unused amount that one move gives away: a
// donor keeps the rest for its own next work.
const giveParts = 2

// Usage is what a team has and needs in a domain.
type Usage struct {
	Team      state.TeamID
	Allotment state.Vector
	Used      state.Vector
	// Queued counts waiting jobs.
	Queued int
}

// Short reports whether the team's work waits for its allotment.
func (u Usage) Short() bool {
	return u.Queued > 0 && (u.Allotment.IsZero() || u.Used.DominantShare(u.Allotment) >= shortShare)
}

// Request says that a team is short in a domain.
type Request struct {
	Domain state.DomainID
	Team   state.TeamID
}

// Move is an amount of a team's allotment that a domain gives to another.
type Move struct {
	Team   state.TeamID
	To     state.DomainID
	Amount state.Vector
}

// Plan chooses what a domain gives to others: for each team at most one move,
// of half of what the team leaves unused here. A team whose own work waits here
// gives nothing. Usage must be sorted by team; requests are served in order.
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
		amount := half(usage[i].Allotment.Sub(usage[i].Used).Max(state.Vector{}))
		if useful(amount, usage[i].Allotment) {
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

func half(v state.Vector) state.Vector {
	return state.Vector{
		CPUMilli: v.CPUMilli / giveParts, MemoryMB: v.MemoryMB / giveParts,
		Accelerators: v.Accelerators / giveParts, Slots: v.Slots / giveParts,
	}
}

// useful reports whether a move lets a task run: it has a slot, and something
// of every other kind that the team has here at all.
func useful(amount, allotment state.Vector) bool {
	return amount.Slots > 0 &&
		(amount.CPUMilli > 0 || allotment.CPUMilli == 0) &&
		(amount.MemoryMB > 0 || allotment.MemoryMB == 0)
}
