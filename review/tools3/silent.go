//go:build review3

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["silent"] = playSilent }

// Bounds of the sheet.
const (
	contactTime     = 3000 * time.Millisecond
	configApplyTime = 2000 * time.Millisecond
)

const (
	// silentRounds is how often the channels go silent, at most.
	silentRounds = 10
	// changeAfter is how long after that the configuration changes.
	changeAfter = 800 * time.Millisecond
)

// versioned is a configuration with a route that only this version has.
func versioned(version int64) map[string]any {
	c := twoTenants(version)
	c["routes"] = append(c["routes"].([]map[string]any), route(fmt.Sprintf("v%d", version), versionPrefix(version), "pool"))
	return c
}

func versionPrefix(version int64) string { return fmt.Sprintf("/v%d/", version) }

// playSilent lets the open channels of all machines to the store go silent, and
// changes the configuration.
func playSilent(b *bench, trouble bool) error {
	if err := b.fleet.addPool(12, "pool", 32000); err != nil {
		return err
	}
	if err := b.putConfig(versioned(3)); err != nil {
		return err
	}
	b.tunnels = true
	if err := b.startEntries(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { b.ordinary(stop, &b.sent, &b.answered) })
	time.Sleep(5 * time.Second)
	version := int64(3)
	c := newClient("team-key", 3*time.Second)
	for round := range silentRounds {
		silencedAt := time.Now()
		if trouble {
			n := 0
			for _, t := range b.toStore {
				n += t.silence()
			}
			b.note("round %d: %d open channels to the store go silent", round, n)
		}
		time.Sleep(changeAfter)
		version += 4
		if err := b.putConfig(versioned(version)); err != nil {
			return err
		}
		acked := time.Now()
		b.note("version %d is acknowledged", version)
		var rounds sync.WaitGroup
		for _, e := range b.entries {
			rounds.Go(func() {
				inForce, late := false, false
				for time.Since(acked) < 10*time.Second && !inForce {
					sentAt := time.Now()
					r := c.send("GET", e, versionPrefix(version), nil)
					inForce = r.status == 200
					due := sentAt.Sub(acked) > configApplyTime && sentAt.Sub(silencedAt) > contactTime
					if due && r.status == 404 && !late {
						late = true
						b.broken("CONFIG: %s refuses a request with 404, %s after the ack of version %d and %s after the channels went silent", e.name, sentAt.Sub(acked).Round(time.Millisecond), version, sentAt.Sub(silencedAt).Round(time.Millisecond))
					}
					time.Sleep(50 * time.Millisecond)
				}
				b.note("%s has version %d in force after %s: %v", e.name, version, time.Since(acked).Round(time.Millisecond), inForce)
			})
		}
		rounds.Wait()
		if b.isBroken() {
			break
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	group.Wait()
	b.note("ordinary sent %d answered %d", b.sent.Load(), b.answered.Load())
	return nil
}
