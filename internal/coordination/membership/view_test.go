package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const (
	addressB = "10.0.0.2:1"
	addressC = "10.0.0.3:1"
)

func testView(t *testing.T, change func(*Config)) *view {
	t.Helper()
	cfg := Config{Self: "vm1/i1", Domain: "a", Address: "10.0.0.1:1", Seeds: []string{addressB}}
	if change != nil {
		change(&cfg)
	}
	cfg, err := cfg.withDefaults()
	is.New(t).NoErr(err)
	v := newView(cfg, rand.New(rand.NewPCG(1, 1)), 0)
	v.listTried = true
	return v
}

func heartbeatFrom(id coordination.EntryID, address string, sequence uint64) coordination.Heartbeat {
	return coordination.Heartbeat{From: id, Domain: "a", Address: address, Sequence: sequence}
}

// exchange makes the calls that are due; replies holds the reply of each address, and a
// call to any other address fails.
func exchange(v *view, now state.Time, replies map[string]coordination.Heartbeat) {
	for _, address := range v.tick(now) {
		if hb, ok := replies[address]; ok {
			hb.Sequence = uint64(now)
			v.callDone(address, &hb, now)
		} else {
			v.callDone(address, nil, now)
		}
	}
}

func isLive(v *view, id coordination.EntryID) bool {
	e, ok := v.snapshot(Entry{ID: v.cfg.Self}).Entry(id)
	return ok && e.Live()
}

func runView(v *view, from, to state.Time, replies map[string]coordination.Heartbeat) {
	for now := from; now <= to; now += 250 * time.Millisecond {
		exchange(v, now, replies)
	}
}

// TestPauseMakesViewStale guards against declaring every peer dead after a pause of
// this process, because no heartbeat was received during it.
func TestPauseMakesViewStale(t *testing.T) {
	tests := []struct {
		name       string
		pauseBound time.Duration
		wantStale  bool
		wantLive   bool
	}{
		{name: "pause detected", wantStale: true, wantLive: true},
		{name: "pause detection off", pauseBound: time.Hour, wantStale: false, wantLive: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := testView(t, func(c *Config) { c.PauseBound = tt.pauseBound })
			replies := map[string]coordination.Heartbeat{addressB: heartbeatFrom("vm2/i1", addressB, 0)}
			runView(v, 0, 2*time.Second, replies)
			is.True(v.roundDone)
			_ = v.tick(20 * time.Second)
			is.Equal(!v.roundDone, tt.wantStale)
			is.Equal(isLive(v, "vm2/i1"), tt.wantLive)
		})
	}
}

func TestRoundAfterAPause(t *testing.T) {
	is := is.New(t)
	v := testView(t, nil)
	replies := map[string]coordination.Heartbeat{addressB: heartbeatFrom("vm2/i1", addressB, 0)}
	runView(v, 0, 2*time.Second, replies)
	due := v.tick(20 * time.Second)
	is.Equal(due, []string{addressB})
	// A heartbeat that was buffered during the pause does not complete the round.
	v.applyHeartbeat(heartbeatFrom("vm2/i1", addressB, 1<<62), 20*time.Second)
	_ = v.tick(20*time.Second + 100*time.Millisecond)
	is.True(!v.roundDone)
	v.callDone(addressB, nil, 21*time.Second)
	_ = v.tick(21 * time.Second)
	is.True(v.roundDone)
	runView(v, 21*time.Second, 24*time.Second, nil)
	is.True(!isLive(v, "vm2/i1"))
}

func TestDelayedHeartbeatDoesNotReviveAReplacedIncarnation(t *testing.T) {
	for _, trust := range []bool{false, true} {
		is := is.New(t)
		v := testView(t, nil)
		v.trustHeartbeats = trust
		exchange(v, 0, map[string]coordination.Heartbeat{addressB: heartbeatFrom("vm2/i1", addressB, 0)})
		current := map[string]coordination.Heartbeat{addressB: heartbeatFrom("vm2/i2", addressB, 0)}
		runView(v, time.Second, 2*time.Second, current)
		is.True(isLive(v, "vm2/i2"))
		is.True(!isLive(v, "vm2/i1"))
		v.applyHeartbeat(heartbeatFrom("vm2/i1", addressB, 9), 2*time.Second)
		is.Equal(isLive(v, "vm2/i1"), trust)
		runView(v, 2250*time.Millisecond, 3*time.Second, current)
		is.True(isLive(v, "vm2/i2"))
	}
}

func TestConflictingHeartbeatIsResolvedByACall(t *testing.T) {
	is := is.New(t)
	v := testView(t, nil)
	exchange(v, 0, map[string]coordination.Heartbeat{addressB: heartbeatFrom("vm2/i1", addressB, 0)})
	// The VM was replaced by another one that took over its address.
	v.applyHeartbeat(heartbeatFrom("vm9/i1", addressB, 1), 100*time.Millisecond)
	is.True(!isLive(v, "vm9/i1"))
	exchange(v, 250*time.Millisecond, map[string]coordination.Heartbeat{addressB: heartbeatFrom("vm9/i1", addressB, 0)})
	is.True(isLive(v, "vm9/i1"))
	is.True(!isLive(v, "vm2/i1"))
}

func TestFactsAge(t *testing.T) {
	is := is.New(t)
	v := testView(t, nil)
	hb := heartbeatFrom("vm2/i1", addressB, 1)
	hb.Facts = []coordination.Fact{{From: "vm3/i1", Domain: "a", Address: addressC, Sequence: 5, Age: DefaultDeadAfter}}
	v.applyHeartbeat(hb, time.Second)
	is.True(!isLive(v, "vm3/i1"))
	hb.Sequence++
	hb.Facts[0].Age = time.Second
	v.applyHeartbeat(hb, time.Second)
	is.True(!isLive(v, "vm3/i1")) // a fact with a known sequence is ignored
	hb.Facts[0].Sequence++
	v.applyHeartbeat(hb, time.Second)
	is.True(isLive(v, "vm3/i1"))
	// An older heartbeat that arrives late is ignored.
	late := heartbeatFrom("vm3/i1", addressC, 2)
	late.Leaving = true
	v.applyHeartbeat(late, time.Second)
	is.True(!v.members["vm3/i1"].leaving)
}

func TestList(t *testing.T) {
	is := is.New(t)
	v := testView(t, nil)
	upstream := func(id, domain string) devplatform.VM {
		return devplatform.VM{ID: id, Incarnation: "i1", Role: devplatform.RoleUpstream, Domain: domain, Address: "10.1.0.1:1"}
	}
	entry := devplatform.VM{ID: "vm2", Incarnation: "i1", Role: devplatform.RoleEntry, State: devplatform.VMLeaving, Domain: "a", Address: addressB}
	v.applyList(devplatform.VMListReply{Version: 5, VMs: []devplatform.VM{upstream("u2", "a"), upstream("u1", "a"), upstream("u3", "b"), entry}}, 0)
	exchange(v, 0, map[string]coordination.Heartbeat{addressB: heartbeatFrom("vm2/i1", addressB, 0)})
	snapshot := v.snapshot(Entry{ID: v.cfg.Self})
	is.Equal(len(snapshot.Upstreams), 2)
	is.Equal(snapshot.Upstreams[0].ID, "u1")
	e, ok := snapshot.Entry("vm2/i1")
	is.True(ok)
	is.True(e.Leaving && e.Listed)
	v.applyList(devplatform.VMListReply{Version: 4}, 0)
	is.Equal(len(v.snapshot(Entry{ID: v.cfg.Self}).Upstreams), 2)
	v.applyList(devplatform.VMListReply{Version: 6}, 0)
	is.Equal(len(v.snapshot(Entry{ID: v.cfg.Self}).Upstreams), 0)
}

func TestListChanges(t *testing.T) {
	row := func(id string, state devplatform.VMState) devplatform.VM {
		return devplatform.VM{ID: id, Incarnation: "i1", Role: devplatform.RoleUpstream, State: state, Domain: "a", Address: "10.1.0.1:1"}
	}
	live, leaving := devplatform.VMLive, devplatform.VMLeaving
	tests := []struct {
		name  string
		reply devplatform.VMListReply
		want  []devplatform.VM
	}{
		{
			name:  "rows are added, replaced and removed",
			reply: devplatform.VMListReply{Version: 6, SinceVersion: 5, VMs: []devplatform.VM{row("u3", live), row("u1", leaving)}, Removed: []string{"u2"}},
			want:  []devplatform.VM{row("u1", leaving), row("u3", live)},
		},
		{
			name:  "a row that was removed and added again is listed",
			reply: devplatform.VMListReply{Version: 7, SinceVersion: 5, VMs: []devplatform.VM{row("u2", leaving)}, Removed: []string{"u2"}},
			want:  []devplatform.VM{row("u1", live), row("u2", leaving)},
		},
		{
			name:  "changes since a different version are ignored",
			reply: devplatform.VMListReply{Version: 7, SinceVersion: 6, Removed: []string{"u1", "u2"}},
			want:  []devplatform.VM{row("u1", live), row("u2", live)},
		},
		{
			name:  "a complete list replaces every row",
			reply: devplatform.VMListReply{Version: 9, VMs: []devplatform.VM{row("u9", live)}},
			want:  []devplatform.VM{row("u9", live)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := testView(t, nil)
			v.applyList(devplatform.VMListReply{Version: 5, VMs: []devplatform.VM{row("u2", live), row("u1", live)}}, 0)
			before := v.snapshot(Entry{ID: v.cfg.Self})
			v.applyList(tt.reply, 0)
			is.Equal(v.snapshot(Entry{ID: v.cfg.Self}).Upstreams, tt.want)
			// A snapshot taken earlier is unchanged.
			is.Equal(before.Upstreams, []devplatform.VM{row("u1", live), row("u2", live)})
		})
	}
}

func TestExpiry(t *testing.T) {
	is := is.New(t)
	v := testView(t, nil)
	v.applyHeartbeat(heartbeatFrom("vm3/i1", addressC, 1), 0)
	runView(v, 0, DefaultExpireAfter+3*time.Second, nil)
	_, known := v.members["vm3/i1"]
	is.True(!known)
	runView(v, DefaultExpireAfter+3*time.Second, 2*DefaultExpireAfter+10*time.Second, nil)
	_, contacted := v.contacts[addressC]
	is.True(!contacted)
	_, seed := v.contacts[addressB]
	is.True(seed)
}

func TestOwnerPrefersReadyThenNewest(t *testing.T) {
	is := is.New(t)
	load := func(number uint64, ready bool) []coordination.ShardLoad {
		return []coordination.ShardLoad{{Shard: "a/0", Epoch: devplatform.Epoch{Number: number}, Ready: ready}}
	}
	snapshot := &Snapshot{Entries: []Entry{
		{ID: "vm1/i1", Liveness: Alive, Owned: load(3, true)},
		{ID: "vm2/i1", Liveness: Suspect, Owned: load(4, true)},
		{ID: "vm3/i1", Liveness: Alive, Owned: load(5, false)},
		{ID: "vm4/i1", Liveness: Dead, Owned: load(6, true)},
	}}
	owner, ok := snapshot.Owner("a/0")
	is.True(ok)
	is.Equal(owner.Entry, coordination.EntryID("vm2/i1"))
	is.Equal(len(snapshot.Claims("a/0")), 4)
	_, ok = snapshot.Owner("b/0")
	is.True(!ok)
}

// BenchmarkHeartbeat applies one heartbeat and builds the snapshot, with 42 entries
// known and 2,600 upstreams listed.
func BenchmarkHeartbeat(b *testing.B) {
	cfg, err := Config{Self: "vm1/i1", Domain: "a", Address: "10.0.0.1:1"}.withDefaults()
	if err != nil {
		b.Fatal(err)
	}
	v := newView(cfg, rand.New(rand.NewPCG(1, 1)), 0)
	for i := range 42 {
		name := fmt.Sprint(i)
		hb := heartbeatFrom(coordination.EntryID("entry"+name+"/i1"), "10.1.0."+name+":1", 1)
		v.applyHeartbeat(hb, 0)
	}
	for range 2600 {
		v.upstreams = append(v.upstreams, devplatform.VM{})
	}
	hb := heartbeatFrom("entry7/i1", "10.1.0.7:1", 1)
	b.ReportAllocs()
	for b.Loop() {
		hb.Sequence++
		v.applyHeartbeat(hb, time.Second)
		_ = v.snapshot(Entry{ID: cfg.Self})
	}
}
