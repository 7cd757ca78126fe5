package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const testShard = coordination.ShardID("a/0")

// rank returns three entries, the wanted one first.
func rank() [3]coordination.EntryID {
	ids := [3]coordination.EntryID{"vm0/i1", "vm1/i1", "vm2/i1"}
	var ranked [3]coordination.EntryID
	left := []Candidate{{ID: ids[0], Alive: true}, {ID: ids[1], Alive: true}, {ID: ids[2], Alive: true}}
	for i := range ranked {
		ranked[i], _ = Wanted(testShard, left)
		for n := range left {
			if left[n].ID == ranked[i] {
				left[n].Alive = false
			}
		}
	}
	return ranked
}

func epoch(number uint64, owner coordination.EntryID) devplatform.Epoch {
	return devplatform.Epoch{Number: number, Owner: string(owner)}
}

func TestDecide(t *testing.T) {
	ids := rank()
	first, second, third := ids[0], ids[1], ids[2]
	alive := []Candidate{{ID: first, Alive: true}, {ID: second, Alive: true}, {ID: third, Alive: true}}
	firstDead := []Candidate{{ID: first}, {ID: second, Alive: true}, {ID: third, Alive: true}}
	firstLeaves := []Candidate{{ID: first, Alive: true, Leaving: true, Holds: epoch(4, first)}, alive[1], alive[2]}
	thirdHolds := []Candidate{alive[0], alive[1], {ID: third, Alive: true, Holds: epoch(4, third)}}
	secondReady := []Candidate{alive[0], {ID: second, Alive: true, Holds: epoch(5, second), Ready: true}, alive[2]}
	claims := []devplatform.Epoch{epoch(4, first)}
	now := 100 * time.Second
	owning := Own{Epoch: epoch(4, first), Owning: true}
	leaving := owning.Leave(now - time.Second)
	long := Contact{Epoch: epoch(4, first), Since: time.Minute, At: now, Answered: true}
	recent := Contact{Epoch: epoch(4, first), Since: time.Second, At: now, Answered: true}
	tests := []struct {
		name   string
		in     Input
		action Action
		cause  Cause
		epoch  devplatform.Epoch
	}{
		{name: "first start, wanted", in: Input{Self: first, Entries: alive}, action: Claim, cause: CauseVacant, epoch: epoch(1, first)},
		{name: "first start, not wanted", in: Input{Self: second, Entries: alive}, action: Wait, cause: CauseOtherWanted},
		{name: "knowledge stale", in: Input{Self: first, Entries: alive, Stale: true}, action: Wait, cause: CauseStale},
		{name: "holder alive, a wanted entry joins", in: Input{Self: first, Entries: thirdHolds, Claims: []devplatform.Epoch{epoch(4, third)}}, action: Wait, cause: CauseHolderAlive},
		{name: "holder out of sight, contact not known", in: Input{Self: second, Entries: firstDead, Claims: claims}, action: Probe, cause: CauseContactUnset},
		{name: "holder out of sight reaches workers", in: Input{Self: second, Entries: firstDead, Claims: claims, Contact: recent}, action: Wait, cause: CauseContact},
		{name: "holder dead", in: Input{Self: second, Entries: firstDead, Claims: claims, Contact: long}, action: Claim, cause: CauseVacant, epoch: epoch(5, second)},
		{name: "holder dead, no worker answers", in: Input{Self: second, Entries: firstDead, Claims: claims, Contact: Contact{At: now}}, action: Claim, cause: CauseVacant, epoch: epoch(5, second)},
		{name: "holder dead, another is wanted", in: Input{Self: third, Entries: firstDead, Claims: claims, Contact: long}, action: Wait, cause: CauseOtherWanted},
		{name: "holder leaves", in: Input{Self: second, Entries: firstLeaves, Claims: claims}, action: Claim, cause: CauseVacant, epoch: epoch(5, second)},
		{name: "holder alive and says nothing yet", in: Input{Self: first, Entries: alive, Claims: []devplatform.Epoch{epoch(4, third)}, ClaimedAt: now - time.Second}, action: Wait, cause: CauseClaimFresh},
		{name: "holder alive and never says it owns", in: Input{Self: first, Entries: alive, Claims: []devplatform.Epoch{epoch(4, third)}}, action: Probe, cause: CauseContactUnset},
		{name: "workers know a newer epoch", in: Input{Self: first, Entries: thirdHolds, Claims: claims, Contact: Contact{Epoch: epoch(5, "gone/i1"), Since: time.Minute, At: now, Answered: true}}, action: Claim, cause: CauseVacant, epoch: epoch(6, first)},
		{name: "owner", in: Input{Self: first, Entries: alive, Own: owning, Stale: true}, action: Keep, cause: CauseNewest, epoch: epoch(4, first)},
		{name: "owner superseded", in: Input{Self: first, Entries: alive, Own: owning, Claims: []devplatform.Epoch{epoch(4, "z")}}, action: Release, cause: CauseSuperseded, epoch: epoch(4, "z")},
		{name: "owner leaves, no successor yet", in: Input{Self: first, Entries: alive, Own: leaving}, action: Keep, cause: CauseLeaving, epoch: epoch(4, first)},
		{name: "owner leaves, no successor in time", in: Input{Self: first, Entries: alive, Own: owning.Leave(now - DefaultHandoverBound)}, action: Release, cause: CauseHandedOver, epoch: epoch(4, first)},
		{name: "owner leaves, successor only claimed", in: Input{Self: first, Entries: alive, Own: leaving, Claims: []devplatform.Epoch{epoch(5, second)}}, action: Keep, cause: CauseLeaving, epoch: epoch(4, first)},
		{name: "owner leaves, successor takes work", in: Input{Self: first, Entries: secondReady, Own: leaving, Claims: []devplatform.Epoch{epoch(5, second)}}, action: Release, cause: CauseSuperseded, epoch: epoch(5, second)},
		{name: "owner leaves, successor has fenced a worker", in: Input{Self: first, Entries: alive, Own: leaving, Contact: Contact{Epoch: epoch(5, second), At: now, Answered: true}}, action: Release, cause: CauseSuperseded, epoch: epoch(5, second)},
		{name: "leaving entry never claims", in: Input{Self: first, Entries: alive, Own: Own{}.Leave(now)}, action: Wait, cause: CauseLeaving},
		{name: "delay after a loss", in: Input{Self: first, Entries: alive, Own: Own{}.Lose(now, Limits{}, 0)}, action: Wait, cause: CauseBackoff},
		{name: "own epoch is the newest, not acting", in: Input{Self: third, Entries: alive, Own: Own{Epoch: epoch(4, third)}}, action: Claim, cause: CauseVacant, epoch: epoch(5, third)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.in.Shard = testShard
			tt.in.Now = now
			got := Decide(tt.in, Limits{})
			is.Equal(got.Action, tt.action)
			is.Equal(got.Cause, tt.cause)
			is.Equal(got.Epoch, tt.epoch)
		})
	}
}

func TestLoseDoublesTheDelay(t *testing.T) {
	is := is.New(t)
	own := Own{}
	for _, millis := range []int64{250, 500, 1000, 2000, 4000, 8000, 15000, 15000} {
		own = own.Lose(0, Limits{}, 0)
		is.Equal(own.NotBefore.Milliseconds(), millis)
	}
	is.Equal(own.Settle().Lose(0, Limits{}, 1).NotBefore, DefaultBackoffMin)
}

func TestWantedSpreadsTheShardsOfADeadOwner(t *testing.T) {
	is := is.New(t)
	entries := []Candidate{{ID: "vm0/i1", Alive: true}, {ID: "vm1/i1", Alive: true}, {ID: "vm2/i1", Alive: true}}
	taken := map[coordination.EntryID]int{}
	for number := range 300 {
		shard := coordination.DomainShard("a", number)
		before, _ := Wanted(shard, entries)
		after, _ := Wanted(shard, []Candidate{{ID: "vm0/i1"}, entries[1], entries[2]})
		if before != "vm0/i1" {
			is.Equal(after, before)
			continue
		}
		taken[after]++
	}
	is.True(taken["vm1/i1"] > 25)
	is.True(taken["vm2/i1"] > 25)
}
