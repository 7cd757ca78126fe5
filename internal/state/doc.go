// Package state holds the types that the pure layer shares: amounts, jobs,
// tasks, outcomes and refusals. Nothing in it or below it does I/O, reads a
// clock or starts a goroutine, so that a recorded trace replays to the same
// decisions.
package state

import "time"

// Time is a reading of the owner's monotonic clock, counted from an arbitrary
// start of its process. Every event carries one.
type Time = time.Duration
