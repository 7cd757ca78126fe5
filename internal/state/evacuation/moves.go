package evacuation

import "github.com/samphirerail/samphirerail/internal/state"

// Service is a long-running step with runs in evacuated domains.
type Service struct {
	// Demand is what one task uses of an upstream.
	Demand state.Vector
	// MayMiss is the number of tasks that may be interrupted at a time, Interrupted the number
	// of those that are: they have no run, or none that is at work.
	MayMiss, Interrupted int
	// Waiting is the number of interrupted tasks that will need a place elsewhere without
	// being moved: they have no run, or one that is being stopped.
	Waiting int
	// Working and Idle count the runs in evacuated domains that are at work, and those that
	// are not yet.
	Working, Idle int
	// Places says for each place how many more tasks of the step it may get besides what its
	// free capacity allows; 0 if none may run there.
	Places []int
}

// Move is how many runs of a service are to be stopped now, so that their tasks start
// elsewhere.
type Move struct{ Working, Idle int }

// Moves decides which long-running runs leave the evacuated domains next. free is the free
// capacity of the upstreams in the other domains. A run is moved only if there is a place for
// it beside those that interrupted tasks need, and a run at work only while fewer than MayMiss
// tasks are interrupted. An idle run's task is interrupted already, so it is moved first; with
// a MayMiss of 0 nothing is moved. free is changed.
func Moves(free []state.Vector, services []Service) []Move {
	waitingPlaced := make([]bool, len(services))
	for i := range services {
		waitingPlaced[i] = services[i].take(free, services[i].Waiting) == services[i].Waiting
	}
	moves := make([]Move, len(services))
	for i := range services {
		sv := &services[i]
		if sv.MayMiss <= 0 || !waitingPlaced[i] {
			continue
		}
		moves[i].Idle = sv.take(free, sv.Idle)
		if moves[i].Idle == sv.Idle {
			moves[i].Working = sv.take(free, min(sv.Working, sv.MayMiss-sv.Interrupted))
		}
	}
	return moves
}

// take takes places for up to n tasks from the free capacity and returns for how many there
// is one. It fills the places in order, like the placement, which prefers full upstreams.
func (sv *Service) take(free []state.Vector, n int) (taken int) {
	for i := range free {
		for taken < n && sv.Places[i] > 0 && sv.Demand.Fits(free[i]) {
			free[i] = free[i].Sub(sv.Demand)
			sv.Places[i]--
			taken++
		}
	}
	return taken
}
