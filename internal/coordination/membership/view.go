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

// member is the record of one entry process.
type member struct {
	id            coordination.EntryID
	domain        state.DomainID
	address       string
	sequence      uint64
	configVersion int64
	leaving       bool
	owned         []coordination.ShardLoad
	// heardAt is the time of the newest evidence of life, firstHandAt of that
	// which came from the entry itself.
	heardAt     state.Time
	firstHandAt state.Time
	// liveness is as of the last tick.
	liveness Liveness
	// shared is what is passed on to other entries.
	shared *sharedFact
}

// contact is the record of one address.
type contact struct {
	domain state.DomainID
	// startedAt and doneAt are of the newest call. A heartbeat received does
	// not count: it may have lain in a buffer while this process was paused.
	startedAt state.Time
	doneAt    state.Time
	everDone  bool
	everTried bool
	inFlight  bool
	seed      bool
	// doubted asks for a call, because two entries claim the address.
	doubted bool
	// neededAt is when the address was last of use.
	neededAt state.Time
}

// view is the control state of a Service. It does no I/O and reads no clock.
type view struct {
	cfg      Config
	rand     *rand.Rand
	members  map[coordination.EntryID]*member
	contacts map[string]*contact
	// replaced are entries that a newer incarnation has taken the place of.
	replaced      map[coordination.EntryID]state.Time
	listVersion   int64
	listed        map[state.VMID]devplatform.VM
	listedEntries []devplatform.VM
	upstreams     []devplatform.VM
	listTried     bool
	// roundStart is the begin of the round of calls that ends staleness.
	roundStart   state.Time
	roundDone    bool
	lastTick     state.Time
	lastRemoteAt state.Time
	// remoteDeadAfter is Config.RemoteDeadAfter, or longer with many entries.
	remoteDeadAfter time.Duration
	// trustHeartbeats takes a heartbeat that contradicts what is known as it
	// stands. Tests set it to show what goes wrong then.
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

// touch returns the record of an address and makes one when needed.
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

// applyList takes in a VM list or its changes. An older version than the newest
// is ignored, and so are changes since another version than the newest.
func (v *view) applyList(reply devplatform.VMListReply, now state.Time) {
	v.listTried = true
	if reply.Version <= v.listVersion || reply.Since != 0 && reply.Since != v.listVersion {
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

// merged returns the whole list that a reply leads to.
func (v *view) merged(reply devplatform.VMListReply) []devplatform.VM {
	if reply.Since == 0 {
		return reply.VMs
	}
	replaced := make(map[string]bool, len(reply.VMs)+len(reply.Gone))
	for _, vm := range reply.VMs {
		replaced[vm.ID] = true
	}
	for _, id := range reply.Gone {
		replaced[id] = true
	}
	vms := slices.Concat(v.listedEntries, v.upstreams)
	vms = slices.DeleteFunc(vms, func(vm devplatform.VM) bool { return replaced[vm.ID] })
	return append(vms, reply.VMs...)
}

func byVMID(a, b devplatform.VM) int { return strings.Compare(a.ID, b.ID) }

// isListed reports whether the VM list names this incarnation, and its state.
func (v *view) isListed(id coordination.EntryID) (devplatform.VMState, bool) {
	vm, ok := v.listed[id.VM()]
	if !ok || string(id) != vm.ID+"/"+vm.Incarnation {
		return "", false
	}
	return vm.State, true
}

// tick lets time pass. It returns the addresses to call.
func (v *view) tick(now state.Time) []string {
	if now-v.lastTick > v.cfg.PauseBound {
		v.resume(now)
	}
	v.lastTick = now
	v.remoteDeadAfter = max(v.cfg.RemoteDeadAfter, time.Duration(v.countRemote())*v.cfg.RemoteInterval)
	for _, m := range v.members {
		m.liveness = v.livenessOf(m, now)
	}
	v.forget(now)
	v.roundDone = v.roundDone || v.roundComplete()
	return v.targets(now)
}

// resume handles a pause of this process: the silence of the others began to
// count only now, and a new round of calls is needed.
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
	silence := now - m.heardAt
	if m.domain != v.cfg.Domain {
		if silence >= v.remoteDeadAfter {
			return Dead
		}
		return Alive
	}
	switch {
	case silence >= v.cfg.DeadAfter:
		return Dead
	case silence >= v.cfg.SuspectAfter:
		return Suspect
	default:
		return Alive
	}
}

// forget drops what is silent and not listed, and old replacements.
func (v *view) forget(now state.Time) {
	for id, m := range v.members {
		_, listed := v.isListed(id)
		if m.liveness == Dead && !listed && now-m.heardAt >= v.cfg.ForgetAfter {
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
		if !c.seed && !c.inFlight && now-c.neededAt >= v.cfg.ForgetAfter {
			delete(v.contacts, address)
		}
	}
	for id, at := range v.replaced {
		if now-at >= v.cfg.ForgetAfter {
			delete(v.replaced, id)
		}
	}
}

// roundComplete reports whether every known address of the own domain, and
// every seed, was called since the round began.
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
