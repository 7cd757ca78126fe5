package crashes

import (
	"slices"
	"time"
)

const (
	// togetherWithin is the time within which upstreams are lost together.
	togetherWithin = 100 * time.Millisecond
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
	at time.Duration
}

// Note records that contact to an upstream was lost.
func (o *Outages) Note(upstream string, place Place, at time.Duration) {
	o.recent = slices.DeleteFunc(o.recent, func(e outage) bool { return at-e.at > outageMemory })
	o.recent = append(o.recent, outage{upstream, place, at})
}

// Shared reports whether an upstream to which contact was lost at a time was lost together with
// so many others that they have one cause: the rack, the failure domain or the network.
func (o *Outages) Shared(upstream string, place Place, at time.Duration) bool {
	rack, service := 1, 1
	for _, e := range o.recent {
		if e.upstream == upstream || e.place.Service != place.Service || (e.at-at).Abs() > togetherWithin {
			continue
		}
		service++
		if place.Rack != "" && e.place.Rack == place.Rack {
			rack++
		}
	}
	return rack >= sharedInRack || service >= sharedInService
}
