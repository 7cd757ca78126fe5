package membership

import (
	"slices"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// target is an address to which a heartbeat call is due.
type target struct {
	address string
	contact *contact
}

// targets returns the addresses to call now and marks their contacts as in flight.
func (v *view) targets(now state.Time) []string {
	byAddress := v.membersByAddress()
	var inDomain, remote, unknown []target
	remoteRound := now-v.lastRemoteAt >= v.cfg.RemoteInterval
	for address, c := range v.contacts {
		m := byAddress[address]
		t := target{address: address, contact: c}
		switch {
		case c.inFlight:
		case c.conflicting:
			inDomain = append(inDomain, t)
		case m == nil || m.liveness == Dead:
			if now-c.startedAt >= v.cfg.RemoteInterval || !c.everTried || c.doneAt < v.roundStart {
				unknown = append(unknown, t)
			}
		case m.domain == v.cfg.Domain:
			if v.domainCallDue(m, c, now) {
				inDomain = append(inDomain, t)
			}
		case remoteRound:
			remote = append(remote, t)
		}
	}
	if remoteRound {
		v.lastRemoteAt = now
	}
	chosen := oldest(inDomain, v.cfg.DomainFanout)
	chosen = append(chosen, v.chooseUnknown(unknown, remoteRound)...)
	chosen = append(chosen, v.sample(remote, v.cfg.RemoteFanout)...)
	return v.markInFlight(chosen, now)
}

// announceTargets returns addresses of live entries of the own domain that have no call
// in flight, at most DomainFanout, and marks their contacts as in flight.
func (v *view) announceTargets(now state.Time) []string {
	var inDomain []target
	for address, m := range v.membersByAddress() {
		c, ok := v.contacts[address]
		if ok && !c.inFlight && m.domain == v.cfg.Domain && m.liveness != Dead {
			inDomain = append(inDomain, target{address: address, contact: c})
		}
	}
	return v.markInFlight(oldest(inDomain, v.cfg.DomainFanout), now)
}

// domainCallDue reports whether a call to an entry of the own domain is due, with a
// tolerance of half a tick. A heartbeat received from the entry makes the call
// unnecessary, so that a pair of entries needs one exchange per interval.
func (v *view) domainCallDue(m *member, c *contact, now state.Time) bool {
	if c.doneAt < v.roundStart || !c.everDone {
		return true
	}
	minGap := v.cfg.Interval - v.cfg.Interval/(2*ticksPerInterval)
	return now-m.firstHandAt >= minGap && now-c.startedAt >= minGap
}

// chooseUnknown returns the unknown addresses of the own domain and the unknown seeds,
// at most DomainFanout, and in a remote round a random sample of the others.
func (v *view) chooseUnknown(unknown []target, remoteRound bool) []target {
	var chosen, remote []target
	for _, t := range unknown {
		if t.contact.domain == v.cfg.Domain || t.contact.seed {
			chosen = append(chosen, t)
		} else {
			remote = append(remote, t)
		}
	}
	chosen = oldest(chosen, v.cfg.DomainFanout)
	if remoteRound {
		chosen = append(chosen, v.sample(remote, v.cfg.RemoteFanout)...)
	}
	return chosen
}

// membersByAddress returns, for each address, the member there that was heard from most
// recently.
func (v *view) membersByAddress() map[string]*member {
	byAddress := make(map[string]*member, len(v.members))
	for _, m := range v.members {
		if other, ok := byAddress[m.address]; !ok || m.heardAt > other.heardAt {
			byAddress[m.address] = m
		}
	}
	return byAddress
}

// oldest returns the n targets whose last call started the longest ago.
func oldest(targets []target, n int) []target {
	slices.SortFunc(targets, func(a, b target) int {
		if a.contact.startedAt != b.contact.startedAt {
			return int(a.contact.startedAt - b.contact.startedAt)
		}
		return compareStrings(a.address, b.address)
	})
	return targets[:min(n, len(targets))]
}

// sample returns n random targets. It sorts them first, so that the choice depends only
// on the random source.
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

// markInFlight records the start of a call to each target and returns the addresses.
func (v *view) markInFlight(chosen []target, now state.Time) []string {
	addresses := make([]string, 0, len(chosen))
	for _, t := range chosen {
		t.contact.startedAt = now
		t.contact.everTried = true
		t.contact.inFlight = true
		addresses = append(addresses, t.address)
	}
	return addresses
}

// callDone records the end of a call. reply is nil when the call failed. A call that
// started before the current round does not count for the round.
func (v *view) callDone(address string, reply *coordination.Heartbeat, now state.Time) {
	c, ok := v.contacts[address]
	if !ok {
		return
	}
	c.inFlight = false
	c.conflicting = false
	if c.startedAt >= v.roundStart {
		c.doneAt = now
		c.everDone = true
	}
	if reply != nil {
		v.applyReply(address, *reply, now)
	}
}
