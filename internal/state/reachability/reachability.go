// Package reachability tells from the answers to commands which failure domains have stopped
// answering, before calls that wait long for an answer time out. The load that it addresses
// is the cut of a failure domain while tasks are started there at a high rate, beside single
// commands that are lost anywhere.
package reachability

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// silentUpstreams is the number of upstreams of a domain that must have left a command
	// unanswered, with no answer from the domain since, until the domain counts as silent.
	silentUpstreams = 3
	// answerDelay is how long after a domain was cut off answers may still arrive that were
	// on their way.
	answerDelay = 25 * time.Millisecond
	// memory is how long an unanswered command counts.
	memory = 2 * time.Second
)

// Domains follows the answers of upstreams by failure domain. The zero value is ready for
// use. It is not safe for concurrent use.
type Domains struct {
	domains map[state.DomainID]*domain
}

// domain is what is known of a failure domain.
type domain struct {
	// answeredAt is when the newest answer arrived.
	answeredAt state.Time
	// unanswered holds, by upstream, when the newest command was sent that had no answer.
	unanswered map[workload.UpstreamID]state.Time
	silent     bool
}

func (d *Domains) domain(id state.DomainID) *domain {
	if d.domains == nil {
		d.domains = map[state.DomainID]*domain{}
	}
	if d.domains[id] == nil {
		d.domains[id] = &domain{unanswered: map[workload.UpstreamID]state.Time{}}
	}
	return d.domains[id]
}

// Answered records that an upstream of a domain answered a call at the given time. It
// reports whether the domain was silent before.
func (d *Domains) Answered(now state.Time, id state.DomainID) (returned bool) {
	dom := d.domain(id)
	dom.answeredAt = now
	for u, sentAt := range dom.unanswered {
		if sentAt < now-answerDelay {
			delete(dom.unanswered, u)
		}
	}
	returned = dom.silent && len(dom.unanswered) < silentUpstreams
	dom.silent = dom.silent && !returned
	return returned
}

// Unanswered records that a command sent to an upstream of a domain at sentAt had no answer
// by now. It reports whether the domain has just become silent.
func (d *Domains) Unanswered(now, sentAt state.Time, id state.DomainID, upstream workload.UpstreamID) (silent bool) {
	dom := d.domain(id)
	for u, at := range dom.unanswered {
		if at < now-memory {
			delete(dom.unanswered, u)
		}
	}
	if dom.answeredAt > sentAt+answerDelay {
		return false
	}
	dom.unanswered[upstream] = max(dom.unanswered[upstream], sentAt)
	if dom.silent || len(dom.unanswered) < silentUpstreams {
		return false
	}
	dom.silent = true
	return true
}

// AllSilent returns the silent domains.
func (d *Domains) AllSilent() (out []state.DomainID) {
	for id, dom := range d.domains {
		if dom.silent {
			out = append(out, id)
		}
	}
	return out
}
