package coordination

import (
	"strconv"

	"github.com/samphirerail/samphirerail/internal/state"
)

// DomainShard returns the shard of a domain with the given number.
func DomainShard(domain state.DomainID, number int) ShardID {
	return ShardID(string(domain) + "/" + strconv.Itoa(number))
}
