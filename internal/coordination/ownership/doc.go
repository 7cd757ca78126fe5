// Package ownership decides which entry of a failure domain owns a shard of the
// domain's upstreams. Decide is a pure function; Runner feeds it with what
// membership, the log and the workers tell, and acts on it.
//
// Safety does not rest on it: workers refuse every epoch older than the newest
// they have seen. It keeps entries from contending and replaces an owner that
// died. For a platform whose workers do not refuse, Bounded grants ownership
// for a limited time through the log.
package ownership
