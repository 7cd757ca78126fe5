package crashes

import (
	"slices"
	"time"
)

const (
	// togetherWithin is the time within which upstreams are lost together. The loss of those with
	// blameless runs only is compared over blamelessWithin: no task explains it, and the owner
	// notices the end of some connections only with its next poll.
	togetherWithin  = 100 * time.Millisecond
	blamelessWithin = time.Second
	// sharedInRack and sharedInService are the numbers of upstreams of a rack, and of a
	// service, that have one cause if they are lost together.
	sharedInRack, sharedInService = 2, 3
	// outageMemory is how long an outage is remembered. A crash is known for certain once the
	// upstream is back, or its leases have expired.
	outageMemory = time.Minute
)

// Place is where an upstream is. Rack is empty if it is not known.
type Place struct{ Service, Rack string }

// Outages remembers when contact to upstreams was lost. The zero value is ready to use.
type Outages struct{ recent []outage }

type outage struct {
	upstream string
	place    Place
	// at is a time on the caller's clock.
	at        time.Duration
	blameless bool
}

// Note records that contact to an upstream was lost. blameless says that none of its runs had just
// begun or belonged to a task that is tried alone.
func (o *Outages) Note(upstream string, place Place, at time.Duration, blameless bool) {
	o.recent = slices.DeleteFunc(o.recent, func(e outage) bool { return at-e.at > outageMemory })
	o.recent = append(o.recent, outage{upstream, place, at, blameless})
}

// Shared reports whether an upstream to which contact was lost at a time was lost together with
// so many others that they have one cause: the rack, the failure domain or the network.
func (o *Outages) Shared(upstream string, place Place, at time.Duration) bool {
	rack, service := 1, 1
	for _, e := range o.recent {
		within := togetherWithin
		if e.blameless {
			within = blamelessWithin
		}
		if e.upstream == upstream || e.place.Service != place.Service || (e.at-at).Abs() > within {
			continue
		}
		service++
		if place.Rack != "" && e.place.Rack == place.Rack {
			rack++
		}
	}
	return rack >= sharedInRack || service >= sharedInService
}
