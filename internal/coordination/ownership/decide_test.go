package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const testShard = coordination.ShardID("a/0")

// entriesByPreference returns three entries in the order in which they are
// preferred as the owner of testShard.
func entriesByPreference() [3]coordination.EntryID {
	ids := [3]coordination.EntryID{"vm0/i1", "vm1/i1", "vm2/i1"}
	var ranked [3]coordination.EntryID
	left := []Candidate{{ID: ids[0], Alive: true}, {ID: ids[1], Alive: true}, {ID: ids[2], Alive: true}}
	for i := range ranked {
		ranked[i], _ = PreferredOwner(testShard, left)
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
	ids := entriesByPreference()
	first, second, third := ids[0], ids[1], ids[2]
	alive := []Candidate{{ID: first, Alive: true}, {ID: second, Alive: true}, {ID: third, Alive: true}}
	firstDead := []Candidate{{ID: first}, {ID: second, Alive: true}, {ID: third, Alive: true}}
	firstLeaves := []Candidate{{ID: first, Alive: true, Leaving: true, OwnedEpoch: epoch(4, first)}, alive[1], alive[2]}
	thirdOwns := []Candidate{alive[0], alive[1], {ID: third, Alive: true, OwnedEpoch: epoch(4, third)}}
	secondReady := []Candidate{alive[0], {ID: second, Alive: true, OwnedEpoch: epoch(5, second), Ready: true}, alive[2]}
	claims := []devplatform.Epoch{epoch(4, first)}
	now := 100 * time.Second
	owning := LocalState{Epoch: epoch(4, first), Owning: true}
	leaving := owning.Leave(now - time.Second)
	longAgo := ProbeResult{Epoch: epoch(4, first), SinceContact: time.Minute, At: now, Answered: true}
	recent := ProbeResult{Epoch: epoch(4, first), SinceContact: time.Second, At: now, Answered: true}
	tests := []struct {
		name   string
		in     Input
		action Action
		cause  Cause
		epoch  devplatform.Epoch
	}{
		{name: "no owner yet, preferred", in: Input{Self: first, Entries: alive}, action: Claim, cause: CauseNoLiveOwner, epoch: epoch(1, first)},
		{name: "no owner yet, not preferred", in: Input{Self: second, Entries: alive}, action: Wait, cause: CauseNotPreferred},
		{name: "membership view stale", in: Input{Self: first, Entries: alive, Stale: true}, action: Wait, cause: CauseStale},
		{name: "owner alive, preferred entry joins", in: Input{Self: first, Entries: thirdOwns, Claims: []devplatform.Epoch{epoch(4, third)}}, action: Wait, cause: CauseOwnerAlive},
		{name: "owner unreachable, last contact unknown", in: Input{Self: second, Entries: firstDead, Claims: claims}, action: Probe, cause: CauseContactUnknown},
		{name: "owner unreachable, contacts workers", in: Input{Self: second, Entries: firstDead, Claims: claims, LastProbe: recent}, action: Wait, cause: CauseOwnerReachesWorkers},
		{name: "owner dead", in: Input{Self: second, Entries: firstDead, Claims: claims, LastProbe: longAgo}, action: Claim, cause: CauseNoLiveOwner, epoch: epoch(5, second)},
		{name: "owner dead, no worker responds", in: Input{Self: second, Entries: firstDead, Claims: claims, LastProbe: ProbeResult{At: now}}, action: Claim, cause: CauseNoLiveOwner, epoch: epoch(5, second)},
		{name: "owner dead, another entry preferred", in: Input{Self: third, Entries: firstDead, Claims: claims, LastProbe: longAgo}, action: Wait, cause: CauseNotPreferred},
		{name: "owner leaving", in: Input{Self: second, Entries: firstLeaves, Claims: claims}, action: Claim, cause: CauseNoLiveOwner, epoch: epoch(5, second)},
		{name: "owner alive, not reporting within grace period", in: Input{Self: first, Entries: alive, Claims: []devplatform.Epoch{epoch(4, third)}, ClaimedAt: now - time.Second}, action: Wait, cause: CauseClaimFresh},
		{name: "owner alive, not reporting after grace period", in: Input{Self: first, Entries: alive, Claims: []devplatform.Epoch{epoch(4, third)}}, action: Probe, cause: CauseContactUnknown},
		{name: "workers report a newer epoch", in: Input{Self: first, Entries: thirdOwns, Claims: claims, LastProbe: ProbeResult{Epoch: epoch(5, "gone/i1"), SinceContact: time.Minute, At: now, Answered: true}}, action: Claim, cause: CauseNoLiveOwner, epoch: epoch(6, first)},
		{name: "owning", in: Input{Self: first, Entries: alive, Local: owning, Stale: true}, action: Keep, cause: CauseOwnEpochNewest, epoch: epoch(4, first)},
		{name: "owning, superseded", in: Input{Self: first, Entries: alive, Local: owning, Claims: []devplatform.Epoch{epoch(4, "z")}}, action: Release, cause: CauseSuperseded, epoch: epoch(4, "z")},
		{name: "owning and leaving, no successor yet", in: Input{Self: first, Entries: alive, Local: leaving}, action: Keep, cause: CauseLeaving, epoch: epoch(4, first)},
		{name: "owning and leaving, no successor before timeout", in: Input{Self: first, Entries: alive, Local: owning.Leave(now - DefaultHandoverTimeout)}, action: Release, cause: CauseHandoverTimeout, epoch: epoch(4, first)},
		{name: "owning and leaving, successor only claimed", in: Input{Self: first, Entries: alive, Local: leaving, Claims: []devplatform.Epoch{epoch(5, second)}}, action: Keep, cause: CauseLeaving, epoch: epoch(4, first)},
		{name: "owning and leaving, successor accepts work", in: Input{Self: first, Entries: secondReady, Local: leaving, Claims: []devplatform.Epoch{epoch(5, second)}}, action: Release, cause: CauseSuperseded, epoch: epoch(5, second)},
		{name: "owning and leaving, successor fenced a worker", in: Input{Self: first, Entries: alive, Local: leaving, LastProbe: ProbeResult{Epoch: epoch(5, second), At: now, Answered: true}}, action: Release, cause: CauseSuperseded, epoch: epoch(5, second)},
		{name: "leaving entry never claims", in: Input{Self: first, Entries: alive, Local: LocalState{}.Leave(now)}, action: Wait, cause: CauseLeaving},
		{name: "backoff after a loss", in: Input{Self: first, Entries: alive, Local: LocalState{}.Lose(now, Limits{}, 0)}, action: Wait, cause: CauseBackoff},
		{name: "own epoch newest, not owning", in: Input{Self: third, Entries: alive, Local: LocalState{Epoch: epoch(4, third)}}, action: Claim, cause: CauseNoLiveOwner, epoch: epoch(5, third)},
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

func TestLoseDoublesBackoff(t *testing.T) {
	is := is.New(t)
	local := LocalState{}
	for _, millis := range []int64{250, 500, 1000, 2000, 4000, 8000, 15000, 15000} {
		local = local.Lose(0, Limits{}, 0)
		is.Equal(local.NotBefore.Milliseconds(), millis)
	}
	is.Equal(local.ResetLosses().Lose(0, Limits{}, 1).NotBefore, DefaultBackoffMin)
}

func TestPreferredOwnerSpreadsShardsOfDeadOwner(t *testing.T) {
	is := is.New(t)
	entries := []Candidate{{ID: "vm0/i1", Alive: true}, {ID: "vm1/i1", Alive: true}, {ID: "vm2/i1", Alive: true}}
	takeovers := map[coordination.EntryID]int{}
	for number := range 300 {
		shard := coordination.DomainShard("a", number)
		before, _ := PreferredOwner(shard, entries)
		after, _ := PreferredOwner(shard, []Candidate{{ID: "vm0/i1"}, entries[1], entries[2]})
		if before != "vm0/i1" {
			is.Equal(after, before)
			continue
		}
		takeovers[after]++
	}
	is.True(takeovers["vm1/i1"] > 25)
	is.True(takeovers["vm2/i1"] > 25)
}
