package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

const worldStep = 250 * time.Millisecond

// resident is the process that lives at an address.
type resident struct {
	id       coordination.EntryID
	sequence uint64
}

// world holds the truth about a domain, the messages that are late, and one
// entry's view.
type world struct {
	rand      *rand.Rand
	view      *view
	now       state.Time
	residents map[string]*resident
	late      []coordination.Heartbeat
	lists     []devplatform.VMListReply
	restarts  int
}

func (w *world) addresses() []string {
	return []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
}

func (w *world) beat(address string) coordination.Heartbeat {
	r := w.residents[address]
	r.sequence++
	hb := coordination.Heartbeat{From: r.id, Domain: "a", Address: address, Sequence: r.sequence}
	if len(w.late) > 0 {
		old := w.late[w.rand.IntN(len(w.late))]
		hb.Facts = append(hb.Facts, factOf(old))
	}
	return hb
}

// restart replaces the process at an address: by a new incarnation of the same
// VM, or by another VM that got the address.
func (w *world) restart(address string, otherVM bool) {
	w.restarts++
	vm := w.residents[address].id.VM()
	if otherVM {
		vm = state.VMID(fmt.Sprint("vm-new", w.restarts))
	}
	w.residents[address] = &resident{id: coordination.EntryID(fmt.Sprint(vm, "/i", w.restarts))}
	reply := devplatform.VMListReply{Version: int64(len(w.lists) + 1)}
	for _, a := range w.addresses() {
		id := w.residents[a].id
		incarnation := string(id)[len(id.VM())+1:]
		reply.VMs = append(reply.VMs, devplatform.VM{ID: string(id.VM()), Incarnation: incarnation, Role: devplatform.RoleEntry, Domain: "a", Address: a})
	}
	w.lists = append(w.lists, reply)
}

// step lets the view call and be called. Noisy steps lose calls and deliver
// late messages and old lists.
func (w *world) step(noisy bool) {
	w.now += worldStep
	for _, address := range w.view.tick(w.now) {
		if w.residents[address] == nil || noisy && w.rand.IntN(3) == 0 {
			w.view.callDone(address, nil, w.now)
			continue
		}
		hb := w.beat(address)
		w.late = append(w.late, hb)
		w.view.callDone(address, &hb, w.now)
	}
	if !noisy {
		w.late = nil
		return
	}
	for _, address := range w.addresses() {
		w.late = append(w.late, w.beat(address))
	}
	for range w.rand.IntN(4) {
		w.view.heardHeartbeat(w.late[w.rand.IntN(len(w.late))], w.now)
	}
	if len(w.lists) > 0 {
		w.view.applyList(w.lists[w.rand.IntN(len(w.lists))], w.now)
	}
}

// wrong returns the entries that are alive in the view or in truth, not both.
func (w *world) wrong() []coordination.EntryID {
	truth := map[coordination.EntryID]bool{}
	for _, r := range w.residents {
		truth[r.id] = true
	}
	var wrong []coordination.EntryID
	for id := range truth {
		if !isLive(w.view, id) {
			wrong = append(wrong, id)
		}
	}
	for id, m := range w.view.members {
		if m.liveness != Dead && !truth[id] {
			wrong = append(wrong, id)
		}
	}
	return wrong
}

// doubled reports whether two live entries share a VM or an address.
func (w *world) doubled() bool {
	addresses, vms := map[string]bool{}, map[state.VMID]bool{}
	for id, m := range w.view.members {
		if m.liveness == Dead {
			continue
		}
		if addresses[m.address] || vms[id.VM()] {
			return true
		}
		addresses[m.address] = true
		vms[id.VM()] = true
	}
	return false
}

func newWorld(seed uint64, trustHeartbeats bool) *world {
	// The configuration is complete, so there is no error.
	cfg, _ := Config{Self: "vm1/i1", Domain: "a", Address: "10.0.0.1:1"}.withDefaults()
	w := &world{rand: rand.New(rand.NewPCG(seed, 2)), residents: map[string]*resident{}}
	w.view = newView(cfg, w.rand, 0)
	w.view.trustHeartbeats = trustHeartbeats
	for i, address := range w.addresses() {
		w.residents[address] = &resident{id: coordination.EntryID(fmt.Sprint("vm", i+2, "/i0"))}
	}
	return w
}

func TestViewSettlesOnTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), false)
		for range rapid.IntRange(1, 10).Draw(t, "restarts") {
			address := w.addresses()[rapid.IntRange(0, 2).Draw(t, "address")]
			w.restart(address, rapid.Bool().Draw(t, "other VM"))
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				w.step(true)
				if w.doubled() {
					t.Fatal("two live entries share a VM or an address")
				}
			}
		}
		w.view.applyList(w.lists[len(w.lists)-1], w.now)
		for until := w.now + 10*time.Second; w.now < until; {
			w.step(false)
		}
		if wrong := w.wrong(); len(wrong) > 0 {
			t.Fatal("wrong about", wrong)
		}
		if !w.view.roundDone {
			t.Fatal("still stale")
		}
	})
}

func TestTrustedHeartbeatsReviveWhatWasReplaced(t *testing.T) {
	broken := 0
	for seed := range uint64(100) {
		w := newWorld(seed, true)
		for range 5 {
			w.restart(w.addresses()[w.rand.IntN(3)], false)
			seen := false
			for range 10 {
				w.step(true)
				seen = seen || w.doubled()
			}
			if seen {
				broken++
				break
			}
		}
	}
	t.Log("runs with two live entries on a VM:", broken, "of 100")
	if broken < 50 {
		t.Fatal("the mechanism makes no difference")
	}
}
