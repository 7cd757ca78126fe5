// Package owner runs a shard that this entry owns. One control goroutine passes
// events to the state machine, which does no I/O; other goroutines carry out the
// machine's actions on the workers.
package owner
