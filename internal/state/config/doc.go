// Package config folds the records of the configuration stream into the state
// that every entry acts on: contracts, keys, queues, failure domains,
// registered entries, upstreams, the teams' allotments and the claims on
// shards.
//
// A Fold is a pure function of the records and their offsets. Two entries that
// have folded the same version hold the same state. The version is the offset
// of the last folded record; NoVersion means that nothing was folded.
//
// What one failure domain gives up and another takes (an allotment), and what
// two owners of one domain must both know (an upstream), comes into force only
// after every entry that is registered in the domain has confirmed the change.
package config
