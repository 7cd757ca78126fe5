// Package faults makes a stand-in fail on demand. A Gate stands before the
// handler of a stand-in and applies the Switches that are on.
package faults

import "net/netip"

// DownMode is how a stand-in that is down treats a call. Nothing is done.
type DownMode string

// The ways of being down.
const (
	// Up answers calls.
	Up DownMode = ""
	// Refuse answers 503.
	Refuse DownMode = "refuse"
	// Drop closes the connection without an answer.
	Drop DownMode = "drop"
)

// Delay makes calls slow: each is held before it takes effect, also when its
// caller has given up in the meantime.
type Delay struct {
	// Path limits the delay to calls of one path; empty means all calls.
	Path string `json:"path,omitempty"`
	// Milliseconds is the time added to a call.
	Milliseconds int64 `json:"milliseconds"`
}

// Lose drops answers after the call took effect.
type Lose struct {
	// Path is that of the calls meant; empty means the stand-in's main
	// writing call (append or start).
	Path string `json:"path,omitempty"`
	// Next is the number of answers to drop from now on.
	Next int `json:"next,omitempty"`
	// Probability is the share of answers to drop, 0 to 1.
	Probability float64 `json:"probability,omitempty"`
	// Seed starts the random sequence for Probability.
	Seed uint64 `json:"seed,omitempty"`
}

// Switches are the faults that every stand-in can show. The zero value is a
// healthy stand-in.
type Switches struct {
	Down  DownMode `json:"down,omitempty"`
	Delay Delay    `json:"delay,omitzero"`
	Lose  Lose     `json:"lose,omitzero"`
	// TruncateNext is the number of answers to cut short in the middle of
	// their body.
	TruncateNext int `json:"truncate_next,omitempty"`
	// SilenceOpen, when set, silences the connections that are open at that
	// moment for good; new connections work. It reads back as false.
	SilenceOpen bool `json:"silence_open,omitempty"`
	// Cut lists the callers' addresses that get no answer.
	Cut []netip.Prefix `json:"cut,omitempty"`
}
