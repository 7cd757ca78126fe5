//go:build review3

package main

import (
	"sync"
	"time"
)

func init() { cases["foreign"] = playForeign }

// playForeign lets a client of another tenant ask for and cancel jobs of the ordinary tenant, with
// the key of its own tenant and on the route of its own tenant.
func playForeign(b *bench, trouble bool) error {
	if err := b.fleet.addPool(9, "pool", 32000); err != nil {
		return err
	}
	if err := b.putConfig(twoTenants(3)); err != nil {
		return err
	}
	if err := b.startEntries(3); err != nil {
		return err
	}
	team, outside := newClient("team-key", 3*time.Second), newClient("outside-key", 3*time.Second)
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			id, e := newID(), b.entries[i%3]
			// The job takes 6 s on free runners.
			r := team.send("POST", e, "/desk/"+id, jobBody(spec{MS: 6000, CPU: 1000}, 2, nil))
			b.note("team: POST %s to %s: %d", id, e.name, r.status)
			if r.status != 200 {
				return
			}
			time.Sleep(2 * time.Second)
			if trouble {
				r = outside.send("GET", e, "/outside/"+id, nil)
				b.note("outsider: GET /outside/%s: %d %s", id, r.status, r.body)
				r = outside.send("DELETE", e, "/outside/"+id, nil)
				b.note("outsider: DELETE /outside/%s: %d %s", id, r.status, r.body)
			}
			for range 60 {
				time.Sleep(500 * time.Millisecond)
				r = team.send("GET", e, "/desk/"+id, nil)
				if r.state != "queued" && r.state != "running" {
					break
				}
			}
			b.note("team: GET %s: %d %s; runs started %d", id, r.status, r.body, b.fleet.startsOf(id))
			if r.state != "complete" {
				b.broken("LOST: job %s of the tenant team, which its tenant has not cancelled, is shown as %q (status %d)", id, r.state, r.status)
			}
		})
	}
	group.Wait()
	return nil
}
