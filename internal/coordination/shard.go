package coordination

import (
	"strconv"

	"github.com/samphirerail/samphirerail/internal/state"
)

// DomainShard returns the ID of the shard with the given number in a domain.
func DomainShard(domain state.DomainID, number int) ShardID {
	return ShardID(string(domain) + "/" + strconv.Itoa(number))
}
