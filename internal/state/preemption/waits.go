package preemption

import "time"

// Kind is what work has in common that waits for capacity about equally long. All members of
// a gang need their places at once.
type Kind struct {
	Priority int
	Gang     bool
}

// Waits estimates how long work of a kind waits until it gets capacity. The load in question is
// a service that catches up after an outage, in which stopped work would queue behind a backlog
// and miss its objective: a run with enough slack for the stop alone must not be stopped then. The
// estimate needs no history, so that a new owner has it at once. The zero value is ready to use.
type Waits struct {
	// current sums the work that waits in this round, previous that of the last round.
	current, previous map[Kind]waiting
}

// waiting sums an amount of work, and the amounts multiplied by how long they have waited.
type waiting struct{ amount, waited float64 }

// Note records that an amount of work has waited for some time. It must be called for all waiting
// work in each round.
func (w *Waits) Note(kind Kind, amount int64, waited time.Duration) {
	if w.current == nil {
		w.current = map[Kind]waiting{}
	}
	sum := w.current[kind]
	sum.amount += float64(amount)
	sum.waited += float64(amount) * float64(waited)
	w.current[kind] = sum
}

// EndRound makes what was noted since the last call available to Expected.
func (w *Waits) EndRound() { w.current, w.previous = nil, w.current }

// Expected returns how long work of a kind is expected to wait: twice as long as the waiting work
// has waited on the mean, as work that is served in turn has waited half of its time on the mean.
func (w *Waits) Expected(kind Kind) time.Duration {
	sum := w.previous[kind]
	if sum.amount == 0 {
		return 0
	}
	return time.Duration(2 * sum.waited / sum.amount)
}
