package state

import "strings"

// EntryID names one run of an entry process: "<VM ID>/<incarnation>".
type EntryID string

// VM returns the VM that the entry runs on.
func (e EntryID) VM() VMID {
	vm, _, _ := strings.Cut(string(e), "/")
	return VMID(vm)
}

// ShardID names a shard of a failure domain's upstreams: "<domain>/<number>".
type ShardID string

// Domain returns the failure domain of the shard.
func (s ShardID) Domain() DomainID {
	i := strings.LastIndexByte(string(s), '/')
	if i < 0 {
		return DomainID(s)
	}
	return DomainID(s[:i])
}
