package reachability_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/reachability"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	timeout = 150 * time.Millisecond
	answer  = 5 * time.Millisecond
)

// event is the outcome of one command.
type event struct {
	at, sentAt state.Time
	answered   bool
	upstream   workload.UpstreamID
}

// commands plays commands that are sent at an interval, of which lost tells those without an
// answer, and returns when the domain first counts as silent, or 0.
func commands(interval, length state.Time, lost func(sentAt state.Time) bool) state.Time {
	var d reachability.Domains
	events := map[state.Time][]event{}
	for sentAt := interval; sentAt < length; sentAt += interval {
		id := workload.UpstreamID(fmt.Sprint(sentAt / interval % 80))
		if lost(sentAt) {
			events[sentAt+timeout] = append(events[sentAt+timeout], event{sentAt + timeout, sentAt, false, id})
		} else {
			events[sentAt+answer] = append(events[sentAt+answer], event{sentAt + answer, sentAt, true, id})
		}
	}
	for now := state.Time(0); now < length+timeout; now += time.Millisecond {
		for _, e := range events[now] {
			if e.answered {
				d.Answered(e.at, "d")
			} else if d.Unanswered(e.at, e.sentAt, "d", e.upstream) {
				return now
			}
		}
	}
	return 0
}

func TestCutDomainIsSilentAfterOneTimeout(t *testing.T) {
	for _, interval := range []state.Time{time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond} {
		cut := time.Second
		at := commands(interval, 3*time.Second, func(sentAt state.Time) bool { return sentAt >= cut })
		is.New(t).True(at > cut && at <= cut+timeout+3*interval)
	}
}

func TestLostCommandsMakeNoDomainSilent(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		at := commands(4*time.Millisecond, 20*time.Second, func(state.Time) bool { return r.Float64() < 0.062 })
		is.New(t).Equal(at, state.Time(0))
	}
}

func TestDomainReturnsWithItsFirstAnswer(t *testing.T) {
	is := is.New(t)
	var d reachability.Domains
	for i := range 3 {
		id := workload.UpstreamID(fmt.Sprint(i))
		is.Equal(d.Unanswered(timeout, 0, "d", id), i == 2)
	}
	is.Equal(d.AllSilent(), []state.DomainID{"d"})
	is.True(!d.Answered(answer, "d")) // was on its way at the cut
	is.Equal(d.AllSilent(), []state.DomainID{"d"})
	is.True(d.Answered(time.Second, "d"))
	is.Equal(len(d.AllSilent()), 0)
}

func TestOneCrashedUpstreamMakesNoDomainSilent(t *testing.T) {
	is := is.New(t)
	var d reachability.Domains
	for i := range 20 {
		is.True(!d.Unanswered(timeout+state.Time(i), state.Time(i), "d", "u"))
	}
}
