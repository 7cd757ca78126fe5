package preemption

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestExpectedWait(t *testing.T) {
	batch, gangs := Kind{Priority: 2}, Kind{Priority: 2, Gang: true}
	type note struct {
		kind   Kind
		amount int64
		waited time.Duration
	}
	cases := []struct {
		name string
		// rounds holds what waits in each round.
		rounds [][]note
		want   time.Duration
	}{
		{name: "nothing waits", rounds: [][]note{{}}},
		{name: "twice the mean", rounds: [][]note{{{batch, 1000, time.Second}, {batch, 1000, 3 * time.Second}}}, want: 4 * time.Second},
		{name: "by amount", rounds: [][]note{{{batch, 3000, time.Second}, {batch, 1000, 5 * time.Second}}}, want: 4 * time.Second},
		{name: "gangs apart", rounds: [][]note{{{gangs, 1000, 9 * time.Second}, {batch, 1000, time.Second}}}, want: 2 * time.Second},
		{name: "priorities apart", rounds: [][]note{{{Kind{Priority: 1}, 1000, 9 * time.Second}}}},
		{name: "the last round only", rounds: [][]note{{{batch, 1000, 9 * time.Second}}, {{batch, 1000, time.Second}}}, want: 2 * time.Second},
		{name: "the backlog is gone", rounds: [][]note{{{batch, 1000, 9 * time.Second}}, {}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var w Waits
			for _, round := range c.rounds {
				for _, n := range round {
					w.Note(n.kind, n.amount, n.waited)
				}
				w.EndRound()
			}
			is.New(t).Equal(w.Expected(batch), c.want)
		})
	}
}
