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

// process is the entry process at an address.
type process struct {
	id       coordination.EntryID
	sequence uint64
}

// world holds the real state of a domain, the delayed messages and the view of one
// entry.
type world struct {
	rand      *rand.Rand
	view      *view
	now       state.Time
	processes map[string]*process
	delayed   []coordination.Heartbeat
	lists     []devplatform.VMListReply
	restarts  int
}

func (w *world) addresses() []string {
	return []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
}

// nextHeartbeat returns the next heartbeat of the process at an address, with a fact
// from a delayed message.
func (w *world) nextHeartbeat(address string) coordination.Heartbeat {
	r := w.processes[address]
	r.sequence++
	hb := coordination.Heartbeat{From: r.id, Domain: "a", Address: address, Sequence: r.sequence}
	if len(w.delayed) > 0 {
		old := w.delayed[w.rand.IntN(len(w.delayed))]
		hb.Facts = append(hb.Facts, factOf(old))
	}
	return hb
}

// restart replaces the process at an address by a new incarnation on the same VM, or by
// a process on another VM that was given the address.
func (w *world) restart(address string, otherVM bool) {
	w.restarts++
	vm := w.processes[address].id.VM()
	if otherVM {
		vm = state.VMID(fmt.Sprint("vm-new", w.restarts))
	}
	w.processes[address] = &process{id: coordination.EntryID(fmt.Sprint(vm, "/i", w.restarts))}
	reply := devplatform.VMListReply{Version: int64(len(w.lists) + 1)}
	for _, a := range w.addresses() {
		id := w.processes[a].id
		incarnation := string(id)[len(id.VM())+1:]
		reply.VMs = append(reply.VMs, devplatform.VM{ID: string(id.VM()), Incarnation: incarnation, Role: devplatform.RoleEntry, Domain: "a", Address: a})
	}
	w.lists = append(w.lists, reply)
}

// step makes the due calls of the view. Noisy steps lose calls and deliver delayed
// messages and old VM lists.
func (w *world) step(noisy bool) {
	w.now += worldStep
	for _, address := range w.view.tick(w.now) {
		if w.processes[address] == nil || noisy && w.rand.IntN(3) == 0 {
			w.view.callDone(address, nil, w.now)
			continue
		}
		hb := w.nextHeartbeat(address)
		w.delayed = append(w.delayed, hb)
		w.view.callDone(address, &hb, w.now)
	}
	if !noisy {
		w.delayed = nil
		return
	}
	for _, address := range w.addresses() {
		w.delayed = append(w.delayed, w.nextHeartbeat(address))
	}
	for range w.rand.IntN(4) {
		w.view.applyHeartbeat(w.delayed[w.rand.IntN(len(w.delayed))], w.now)
	}
	if len(w.lists) > 0 {
		w.view.applyList(w.lists[w.rand.IntN(len(w.lists))], w.now)
	}
}

// mismatches returns the entries that are live in the view but not running, or running
// but not live in the view.
func (w *world) mismatches() []coordination.EntryID {
	running := map[coordination.EntryID]bool{}
	for _, r := range w.processes {
		running[r.id] = true
	}
	var mismatches []coordination.EntryID
	for id := range running {
		if !isLive(w.view, id) {
			mismatches = append(mismatches, id)
		}
	}
	for id, m := range w.view.members {
		if m.liveness != Dead && !running[id] {
			mismatches = append(mismatches, id)
		}
	}
	return mismatches
}

// hasDuplicates reports whether two live entries share a VM or an address.
func (w *world) hasDuplicates() bool {
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
	// The configuration is complete, so the error is always nil.
	cfg, _ := Config{Self: "vm1/i1", Domain: "a", Address: "10.0.0.1:1"}.withDefaults()
	w := &world{rand: rand.New(rand.NewPCG(seed, 2)), processes: map[string]*process{}}
	w.view = newView(cfg, w.rand, 0)
	w.view.trustHeartbeats = trustHeartbeats
	for i, address := range w.addresses() {
		w.processes[address] = &process{id: coordination.EntryID(fmt.Sprint("vm", i+2, "/i0"))}
	}
	return w
}

// TestViewConverges checks that the view never has two live entries on one VM or
// address, and matches the running processes 10 s after restarts, lost calls and
// delayed messages.
func TestViewConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), false)
		for range rapid.IntRange(1, 10).Draw(t, "restarts") {
			address := w.addresses()[rapid.IntRange(0, 2).Draw(t, "address")]
			w.restart(address, rapid.Bool().Draw(t, "other VM"))
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				w.step(true)
				if w.hasDuplicates() {
					t.Fatal("two live entries share a VM or an address")
				}
			}
		}
		w.view.applyList(w.lists[len(w.lists)-1], w.now)
		for until := w.now + 10*time.Second; w.now < until; {
			w.step(false)
		}
		if mismatches := w.mismatches(); len(mismatches) > 0 {
			t.Fatal("view does not match the running processes; wrong entries:", mismatches)
		}
		if !w.view.roundDone {
			t.Fatal("view is still stale 10 s after the last disturbance")
		}
	})
}

// TestTrustingHeartbeatsRevivesReplacedIncarnations shows the failure that the conflict
// check prevents: without it, delayed heartbeats bring replaced incarnations back.
func TestTrustingHeartbeatsRevivesReplacedIncarnations(t *testing.T) {
	failures := 0
	for seed := range uint64(100) {
		w := newWorld(seed, true)
		for range 5 {
			w.restart(w.addresses()[w.rand.IntN(3)], false)
			duplicated := false
			for range 10 {
				w.step(true)
				duplicated = duplicated || w.hasDuplicates()
			}
			if duplicated {
				failures++
				break
			}
		}
	}
	t.Log("runs with two live entries on a VM:", failures, "of 100")
	if failures < 50 {
		t.Fatal("without the conflict check, fewer than 50 of 100 runs have two live entries on one VM or address")
	}
}
