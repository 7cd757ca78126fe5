package membership

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// target is an address that is due for a call.
type target struct {
	address string
	contact *contact
}

// targets returns the addresses to call now and marks them as in flight.
func (v *view) targets(now state.Time) []string {
	residents := v.residents()
	var near, far, unknown []target
	remoteRound := now-v.lastRemoteAt >= v.cfg.RemoteInterval
	for address, c := range v.contacts {
		m := residents[address]
		t := target{address: address, contact: c}
		switch {
		case c.inFlight:
		case c.doubted:
			near = append(near, t)
		case m == nil || m.liveness == Dead:
			if now-c.startedAt >= v.cfg.RemoteInterval || !c.everTried || c.doneAt < v.roundStart {
				unknown = append(unknown, t)
			}
		case m.domain == v.cfg.Domain:
			if v.domainCallDue(m, c, now) {
				near = append(near, t)
			}
		case remoteRound:
			far = append(far, t)
		}
	}
	if remoteRound {
		v.lastRemoteAt = now
	}
	chosen := oldest(near, v.cfg.DomainFanout)
	chosen = append(chosen, v.chooseUnknown(unknown, remoteRound)...)
	chosen = append(chosen, v.sample(far, v.cfg.RemoteFanout)...)
	return v.begin(chosen, now)
}

// announceTargets returns the live entries of the own domain that are not being
// called, and marks them as in flight.
func (v *view) announceTargets(now state.Time) []string {
	var near []target
	for address, m := range v.residents() {
		c, ok := v.contacts[address]
		if ok && !c.inFlight && m.domain == v.cfg.Domain && m.liveness != Dead {
			near = append(near, target{address: address, contact: c})
		}
	}
	return v.begin(oldest(near, v.cfg.DomainFanout), now)
}

// domainCallDue reports whether an entry of the own domain is due for a call,
// within half a tick.
// A heartbeat received from it spares the call, so that a pair of entries needs
// one exchange an interval.
func (v *view) domainCallDue(m *member, c *contact, now state.Time) bool {
	if c.doneAt < v.roundStart || !c.everDone {
		return true
	}
	least := v.cfg.Interval - v.cfg.Interval/(2*ticksPerInterval)
	return now-m.firstHandAt >= least && now-c.startedAt >= least
}

// chooseUnknown picks all unknown addresses of the own domain and seeds, and a
// sample of the others.
func (v *view) chooseUnknown(unknown []target, remoteRound bool) []target {
	var chosen, far []target
	for _, t := range unknown {
		if t.contact.domain == v.cfg.Domain || t.contact.seed {
			chosen = append(chosen, t)
		} else {
			far = append(far, t)
		}
	}
	chosen = oldest(chosen, v.cfg.DomainFanout)
	if remoteRound {
		chosen = append(chosen, v.sample(far, v.cfg.RemoteFanout)...)
	}
	return chosen
}

// residents returns the member that was last heard at each address.
func (v *view) residents() map[string]*member {
	residents := make(map[string]*member, len(v.members))
	for _, m := range v.members {
		if other, ok := residents[m.address]; !ok || m.heardAt > other.heardAt {
			residents[m.address] = m
		}
	}
	return residents
}

func oldest(targets []target, n int) []target {
	slices.SortFunc(targets, func(a, b target) int {
		if a.contact.startedAt != b.contact.startedAt {
			return int(a.contact.startedAt - b.contact.startedAt)
		}
		return compareStrings(a.address, b.address)
	})
	return targets[:min(n, len(targets))]
}

// sample returns n random targets. It sorts first, so that the choice depends
// on the random source alone.
func (v *view) sample(targets []target, n int) []target {
	slices.SortFunc(targets, func(a, b target) int { return compareStrings(a.address, b.address) })
	v.rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(n, len(targets))]
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func (v *view) begin(chosen []target, now state.Time) []string {
	addresses := make([]string, 0, len(chosen))
	for _, t := range chosen {
		t.contact.startedAt = now
		t.contact.everTried = true
		t.contact.inFlight = true
		addresses = append(addresses, t.address)
	}
	return addresses
}

// callDone takes in the end of a call. A call that began before the current
// round does not count for it.
func (v *view) callDone(address string, reply *coordination.Heartbeat, now state.Time) {
	c, ok := v.contacts[address]
	if !ok {
		return
	}
	c.inFlight = false
	c.doubted = false
	if c.startedAt >= v.roundStart {
		c.doneAt = now
		c.everDone = true
	}
	if reply != nil {
		v.heardAnswer(address, *reply, now)
	}
}
