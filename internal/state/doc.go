// Package state defines the types shared by the packages of the deterministic
// scheduling layer: resource vectors, jobs, tasks, outcomes and refusals.
// Neither this package nor any package below it performs I/O, reads a clock or
// starts a goroutine, so that replaying a recorded trace yields the same
// decisions.
package state

import "time"

// Time is a reading of the owner's monotonic clock, relative to an arbitrary
// origin that is fixed for the owner's process. Every event carries one.
type Time = time.Duration
