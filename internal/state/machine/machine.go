// Package machine is the state machine of one shard: it turns events into
// actions as a pure function of its state, the event and the time.
package machine
