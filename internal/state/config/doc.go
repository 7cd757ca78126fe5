// Package config folds the records of the configuration stream into the state
// that every entry uses: contracts, keys, queues, failure domains, registered
// entries, upstreams, the teams' allotments and the claims on shards.
//
// A Fold is a pure function of the records and their offsets, so two entries
// that have folded the same version hold the same state. The version is the
// offset of the last folded record; NoVersion means that nothing was folded.
//
// Two kinds of change need confirmations before they come into force. An
// allotment that is moved between failure domains is withheld from the
// destination until the source domain no longer uses it. A new upstream of a
// domain is not used until each possible owner knows it. Both wait until every
// entry that is registered in the domain concerned has confirmed the change.
package config
