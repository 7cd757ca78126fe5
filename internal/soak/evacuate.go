package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// evacuationBound is within what time an evacuation must be in force. It is shorter than on
// the users' platform, so that a run of some seconds holds several evacuations, and longer
// than the age at which an entry with a slow link reads the operators' records.
const evacuationBound = 3 * time.Second

const (
	// operatorsTopic is the topic with the requests.
	operatorsTopic = "keyed.op"
	// stallBeyondBound is how much longer than the bound reads of it are stalled.
	stallBeyondBound = 800 * time.Millisecond
)

// zones are the failure domains of the runners, which are spread over them.
var zones = []string{"z0", "z1", "z2"}

// evacuateZones evacuates a random zone, or two of them, for 4 to 8 s, and restores them for
// up to 2 s, until stop is closed. The fleet checks the starts. It returns the number of
// evacuations.
func (c *cluster) evacuateZones(stop <-chan struct{}, start time.Time) int {
	r := rand.New(rand.NewPCG(c.opts.Seed, 4))
	pause := func(least, spread int) bool {
		select {
		case <-stop:
			return false
		case <-time.After(time.Duration(least+r.IntN(spread)) * time.Millisecond):
			return true
		}
	}
	for n := 0; ; n++ {
		if !pause(500, 1500) {
			return n
		}
		chosen := []string{zones[r.IntN(len(zones))]}
		if other := zones[r.IntN(len(zones))]; r.IntN(4) == 0 && other != chosen[0] {
			chosen = append(chosen, other)
		}
		// Without the stall, every owner reads the request long before the bound. It begins
		// before the request and ends after the bound, so that an owner which goes on by an
		// old read violates it.
		stalled := r.IntN(3) == 0
		fmt.Fprintf(c.opts.Out, "%7.3f begin evacuate %s, operators' topic stalled: %t\n", time.Since(start).Seconds(), chosen, stalled)
		if stalled {
			c.log.SetStalled(operatorsTopic, true)
			time.AfterFunc(evacuationBound+stallBeyondBound, func() { c.log.SetStalled(operatorsTopic, false) })
		}
		for _, zone := range chosen {
			c.fleet.Evacuate(zone)
		}
		running := pause(4000, 4000)
		fmt.Fprintf(c.opts.Out, "%7.3f end   evacuate %s\n", time.Since(start).Seconds(), chosen)
		for _, zone := range chosen {
			c.fleet.Restore(zone)
		}
		if !running {
			c.log.SetStalled(operatorsTopic, false)
			return n + 1
		}
	}
}
