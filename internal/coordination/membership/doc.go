// Package membership tracks which entries and upstreams exist. It merges the platform's
// VM list, which lags behind, with heartbeats between entries, and publishes an
// immutable Snapshot.
//
// Entries of one failure domain exchange heartbeats at a short interval. Entries of
// other domains are contacted rarely; their state is gossiped in the heartbeats of
// other entries, so that the traffic of an entry does not grow with the number of
// domains.
//
// An entry counts as alive only on evidence that originates from the entry itself: a
// reply, a heartbeat or a gossiped fact. The VM list contributes addresses to contact
// and the leaving state; it never makes an entry alive.
package membership
