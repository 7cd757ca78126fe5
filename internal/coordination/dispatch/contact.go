package dispatch

import "time"

// contact returns when the log last confirmed that no newer owner had claimed: the begin of
// the newest successful append, or of the newest read that reached the end of the ledger.
// The begin counts, since a response may wait unread while the process is paused.
func (o *owner) contact() time.Duration {
	return max(time.Duration(o.contactAt.Load()), o.replica.Contact())
}

// contactAge returns the time since contact, including time in which the process or the VM
// was paused.
func (o *owner) contactAge() time.Duration { return o.clock() - o.contact() }

// mayAct reports whether the term goes on and the owner had contact to the log recently
// enough to act. A new owner relies on this bound, so it is checked immediately before each
// command is sent, and not only when the command is decided.
func (o *owner) mayAct() bool {
	return o.ctx.Err() == nil && o.contactAge() < logContactTimeout
}
