// Package ownership elects the entry of a failure domain that owns a shard of
// the domain's upstreams. Decide is a pure function; Runner passes it what
// membership, the log and the workers report, and carries out its decisions.
//
// Safety does not depend on this package: workers reject every epoch older than
// the newest one they have seen. The package prevents entries from contending
// for a shard and replaces an owner that has failed. For a platform whose
// workers do not reject old epochs, ShardLease grants ownership for a limited
// time through the log.
package ownership
