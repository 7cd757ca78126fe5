// Package membership tells which entries and upstreams exist. It merges the
// platform's lagging VM list with heartbeats between entries, and publishes an
// immutable Snapshot.
//
// Entries of one failure domain exchange heartbeats at a short interval. An
// entry of another domain is contacted seldom; news of it travels in the
// heartbeats of others, so that the traffic of an entry does not grow with the
// number of domains.
//
// An entry counts as alive only on evidence from itself: an answer, a heartbeat
// or a fact passed on. The VM list contributes addresses to contact and the
// leaving mark; it never makes an entry alive.
package membership
