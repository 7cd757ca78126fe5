// Package emulator replays a trace on virtual time against a scheduling policy
// and a model of workers, checks what must always hold after each event, and
// measures the outcome. Nothing in it reads a clock: the time that decisions
// take is measured only with a clock that the caller hands in.
package emulator
