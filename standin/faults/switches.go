// Package faults injects faults into stand-ins. A Gate wraps the handler of a stand-in and
// applies its Switches to each call.
package faults

import "net/netip"

// DownMode states whether a stand-in is down, and how it treats calls then. A call to a
// stand-in that is down has no effect.
type DownMode string

// The down modes.
const (
	// Up serves calls normally.
	Up DownMode = ""
	// Refuse replies with status 503.
	Refuse DownMode = "refuse"
	// Drop closes the connection without a reply.
	Drop DownMode = "drop"
)

// Delay delays calls before they take effect. A delayed call takes effect even if its
// client has cancelled it in the meantime.
type Delay struct {
	// Path limits the delay to calls of one path; empty means all calls.
	Path string `json:"path,omitempty"`
	// Milliseconds is the duration of the delay.
	Milliseconds int64 `json:"milliseconds"`
}

// DropReplies drops the replies to calls that have taken effect.
type DropReplies struct {
	// Path is the path of the affected calls; empty means the stand-in's main writing
	// call (append or start).
	Path string `json:"path,omitempty"`
	// Next is the number of replies to drop from now on.
	Next int `json:"next,omitempty"`
	// Probability is the share of replies to drop after that, from 0 to 1.
	Probability float64 `json:"probability,omitempty"`
	// Seed is the random seed for Probability.
	Seed uint64 `json:"seed,omitempty"`
}

// Switches holds the faults that every stand-in supports. The zero value is a healthy
// stand-in.
type Switches struct {
	Down        DownMode    `json:"down,omitempty"`
	Delay       Delay       `json:"delay,omitzero"`
	DropReplies DropReplies `json:"lose,omitzero"`
	// TruncateNext is the number of replies to truncate in the middle of their body.
	TruncateNext int `json:"truncate_next,omitempty"`
	// SilenceOpen, if set, permanently stalls all connections that are open at that time:
	// they stay open but carry no more replies. New connections work. It reads back as
	// false.
	SilenceOpen bool `json:"silence_open,omitempty"`
	// Partitioned lists the client addresses whose calls get no reply, as in a network
	// partition.
	Partitioned []netip.Prefix `json:"cut,omitempty"`
}
