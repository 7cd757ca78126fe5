package state

import "strings"

// EntryID identifies one incarnation of an entry process:
// "<VM ID>/<incarnation>".
type EntryID string

// VM returns the ID of the VM that the entry runs on.
func (e EntryID) VM() VMID {
	vm, _, _ := strings.Cut(string(e), "/")
	return VMID(vm)
}

// ShardID identifies a shard of a failure domain's upstreams:
// "<domain>/<number>".
type ShardID string

// Domain returns the failure domain of the shard: the part of the ID before
// the last slash, or the whole ID if it has none.
func (s ShardID) Domain() DomainID {
	i := strings.LastIndexByte(string(s), '/')
	if i < 0 {
		return DomainID(s)
	}
	return DomainID(s[:i])
}
