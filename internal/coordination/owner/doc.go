// Package owner runs a shard that this entry owns: it feeds what it learns to
// the pure state machine from one goroutine, and carries out the machine's
// actions on the workers from others.
package owner
