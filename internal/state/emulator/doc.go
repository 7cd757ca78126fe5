// Package emulator replays a trace in virtual time against a scheduling policy and a
// model of workers, checks the invariants after each event and measures the outcome.
// The package reads no clock: the time that decisions take is measured only with a
// clock that the caller supplies.
package emulator
