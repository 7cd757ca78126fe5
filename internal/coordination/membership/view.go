package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// member is the state of one known entry process.
type member struct {
	id            coordination.EntryID
	domain        state.DomainID
	address       string
	sequence      uint64
	configVersion int64
	leaving       bool
	owned         []coordination.ShardLoad
	// heardAt is the time of the newest evidence that the entry is running, firstHandAt
	// that of the newest evidence from the entry itself.
	heardAt     state.Time
	firstHandAt state.Time
	// liveness is as of the last tick or update.
	liveness Liveness
	// shared is the fact that is gossiped to other entries.
	shared *sharedFact
}

// contact is the state of one address.
type contact struct {
	domain state.DomainID
	// startedAt and doneAt are the start and the end of the newest call. A received
	// heartbeat does not count: it may have been buffered while this process was
	// paused.
	startedAt state.Time
	doneAt    state.Time
	everDone  bool
	everTried bool
	inFlight  bool
	seed      bool
	// conflicting requests a call, because two entries claim the address.
	conflicting bool
	// neededAt is when the address was last referred to by a heartbeat, the VM list or
	// a live or listed entry.
	neededAt state.Time
}

// view is the control state of a Service. It does no I/O and reads no clock.
type view struct {
	cfg      Config
	rand     *rand.Rand
	members  map[coordination.EntryID]*member
	contacts map[string]*contact
	// replaced holds the entries that were replaced at their address or on their VM,
	// and when.
	replaced      map[coordination.EntryID]state.Time
	listVersion   int64
	listed        map[state.VMID]devplatform.VM
	listedEntries []devplatform.VM
	upstreams     []devplatform.VM
	listTried     bool
	// roundStart is the start of the current round of calls. The view is stale until
	// the round is complete.
	roundStart   state.Time
	roundDone    bool
	lastTick     state.Time
	lastRemoteAt state.Time
	// remoteDeadAfter is Config.RemoteDeadAfter, or longer with many remote entries.
	remoteDeadAfter time.Duration
	// trustHeartbeats accepts heartbeats that conflict with the view. Tests set it to
	// show which failure the check prevents.
	trustHeartbeats bool
}

func newView(cfg Config, random *rand.Rand, now state.Time) *view {
	v := &view{
		cfg:          cfg,
		rand:         random,
		members:      map[coordination.EntryID]*member{},
		contacts:     map[string]*contact{},
		replaced:     map[coordination.EntryID]state.Time{},
		listed:       map[state.VMID]devplatform.VM{},
		roundStart:   now,
		lastTick:     now,
		lastRemoteAt: now - cfg.RemoteInterval,

		remoteDeadAfter: cfg.RemoteDeadAfter,
	}
	for _, address := range cfg.Seeds {
		v.touch(address, "", now).seed = true
	}
	delete(v.contacts, cfg.Address)
	return v
}

// touch returns the contact of an address, creating it if needed, and refreshes it.
func (v *view) touch(address string, domain state.DomainID, now state.Time) *contact {
	c, ok := v.contacts[address]
	if !ok {
		c = &contact{}
		v.contacts[address] = c
	}
	if domain != "" {
		c.domain = domain
	}
	c.neededAt = now
	return c
}

// applyList applies a VM list or a list of changes. A version that is not newer than
// the known one is ignored, and so are changes relative to any other version than the
// known one.
func (v *view) applyList(reply devplatform.VMListReply, now state.Time) {
	v.listTried = true
	if reply.Version <= v.listVersion || reply.SinceVersion != 0 && reply.SinceVersion != v.listVersion {
		return
	}
	vms := v.merged(reply)
	v.listVersion = reply.Version
	v.listed = map[state.VMID]devplatform.VM{}
	v.upstreams = nil
	v.listedEntries = nil
	for _, vm := range vms {
		switch {
		case vm.Role == devplatform.RoleEntry:
			v.listed[state.VMID(vm.ID)] = vm
			v.listedEntries = append(v.listedEntries, vm)
		case vm.Role == devplatform.RoleUpstream && state.DomainID(vm.Domain) == v.cfg.Domain:
			v.upstreams = append(v.upstreams, vm)
		}
	}
	slices.SortFunc(v.upstreams, byVMID)
	slices.SortFunc(v.listedEntries, byVMID)
	for _, vm := range v.listedEntries {
		if vm.Address != v.cfg.Address {
			v.touch(vm.Address, state.DomainID(vm.Domain), now)
		}
	}
}

// merged returns the complete list after applying a reply.
func (v *view) merged(reply devplatform.VMListReply) []devplatform.VM {
	if reply.SinceVersion == 0 {
		return reply.VMs
	}
	replaced := make(map[string]bool, len(reply.VMs)+len(reply.Removed))
	for _, vm := range reply.VMs {
		replaced[vm.ID] = true
	}
	for _, id := range reply.Removed {
		replaced[id] = true
	}
	vms := slices.Concat(v.listedEntries, v.upstreams)
	vms = slices.DeleteFunc(vms, func(vm devplatform.VM) bool { return replaced[vm.ID] })
	return append(vms, reply.VMs...)
}

func byVMID(a, b devplatform.VM) int { return strings.Compare(a.ID, b.ID) }

// isListed returns the state of the VM and whether the VM list names this incarnation.
func (v *view) isListed(id coordination.EntryID) (devplatform.VMState, bool) {
	vm, ok := v.listed[id.VM()]
	if !ok || string(id) != vm.ID+"/"+vm.Incarnation {
		return "", false
	}
	return vm.State, true
}

// tick advances the view to the given time and returns the addresses to call.
func (v *view) tick(now state.Time) []string {
	if now-v.lastTick > v.cfg.PauseBound {
		v.resume(now)
	}
	v.lastTick = now
	v.remoteDeadAfter = max(v.cfg.RemoteDeadAfter, time.Duration(v.countRemote())*v.cfg.RemoteInterval)
	for _, m := range v.members {
		m.liveness = v.livenessOf(m, now)
	}
	v.expire(now)
	v.roundDone = v.roundDone || v.roundComplete()
	return v.targets(now)
}

// resume handles a pause of this process: the time without a heartbeat from the others
// is counted from now, and a new round of calls is needed.
func (v *view) resume(now state.Time) {
	v.roundStart = now
	v.roundDone = false
	for _, m := range v.members {
		if m.liveness != Dead {
			m.heardAt = now
		}
	}
}

func (v *view) countRemote() int {
	n := 0
	for _, m := range v.members {
		if m.domain != v.cfg.Domain {
			n++
		}
	}
	return n
}

func (v *view) livenessOf(m *member, now state.Time) Liveness {
	elapsed := now - m.heardAt
	if m.domain != v.cfg.Domain {
		if elapsed >= v.remoteDeadAfter {
			return Dead
		}
		return Alive
	}
	switch {
	case elapsed >= v.cfg.DeadAfter:
		return Dead
	case elapsed >= v.cfg.SuspectAfter:
		return Suspect
	default:
		return Alive
	}
}

// expire removes entries that are dead and not listed, addresses that are no longer
// needed and old replacements, each after ExpireAfter.
func (v *view) expire(now state.Time) {
	for id, m := range v.members {
		_, listed := v.isListed(id)
		if m.liveness == Dead && !listed && now-m.heardAt >= v.cfg.ExpireAfter {
			delete(v.members, id)
		}
		if m.liveness != Dead || listed {
			v.touch(m.address, m.domain, now)
		}
	}
	for _, vm := range v.listedEntries {
		if c, ok := v.contacts[vm.Address]; ok {
			c.neededAt = now
		}
	}
	for address, c := range v.contacts {
		if !c.seed && !c.inFlight && now-c.neededAt >= v.cfg.ExpireAfter {
			delete(v.contacts, address)
		}
	}
	for id, at := range v.replaced {
		if now-at >= v.cfg.ExpireAfter {
			delete(v.replaced, id)
		}
	}
}

// roundComplete reports whether every known address of the own domain and every seed
// was called since the round began, and a read of the VM list was attempted.
func (v *view) roundComplete() bool {
	for _, c := range v.contacts {
		if c.domain != v.cfg.Domain && !c.seed {
			continue
		}
		if !c.everDone || c.doneAt < v.roundStart {
			return false
		}
	}
	return v.listTried
}
