package coordination

import (
	"strconv"
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
)

// DomainShard returns the shard of a domain with the given number.
func DomainShard(domain state.DomainID, number int) ShardID {
	return ShardID(string(domain) + "/" + strconv.Itoa(number))
}

// Domain returns the domain of the shard, or "" when the ID is malformed.
func (s ShardID) Domain() state.DomainID {
	at := strings.LastIndexByte(string(s), '/')
	return state.DomainID(s[:max(at, 0)])
}

// VM returns the VM that the entry runs on, or "" when the ID is malformed.
func (e EntryID) VM() state.VMID {
	at := strings.LastIndexByte(string(e), '/')
	return state.VMID(e[:max(at, 0)])
}
