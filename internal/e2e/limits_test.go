package e2e

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// TestUnusedAllotmentMoves uses up a team's allotment in one domain and leaves it
// unused in the other: the unused part moves to the first domain, and the team never
// has more tasks running than its upper limit.
func TestUnusedAllotmentMoves(t *testing.T) {
	is := is.New(t)
	const limit = 8
	c := startCluster(t, twoDomains)
	client := &recordingClient{c: c}
	c.putContract(c.entries[0].callerAddr, contract(limit))
	north := c.owner()
	eventually(t, "the contract is in force", func() error {
		if c.allotment(north) != limit/2 {
			return errNotYet
		}
		return nil
	})
	for i := range 4 * limit {
		client.submit(north, v1.SubmitRequest{
			Class: state.ClassBatch, Service: "fitting", CPUMilli: 100, MemoryMB: 64, Idempotent: true,
			Payload: fmt.Appendf(nil, `{"run_ms":2000,"output":"%d"}`, i),
		})
	}
	eventually(t, "the allotment in north grows", func() error {
		if got := c.allotment(c.owner()); got <= limit/2 {
			return fmt.Errorf("%d", got)
		}
		return nil
	})
	eventually(t, "the queue is empty", func() error {
		for _, shard := range c.status(north).Shards {
			if shard.Shard == "north/0" && shard.Queued > 0 {
				return fmt.Errorf("%d jobs queued", shard.Queued)
			}
		}
		return nil
	})
	c.waitIdle()
	is.Equal(c.check(client, limit), nil)
}

// allotment returns the slots of the team's allotment in the domain that an entry owns.
func (c *cluster) allotment(owner *entryProcess) int64 {
	for _, t := range c.status(owner).Teams {
		if t.Team == team {
			return t.Allotment.Slots
		}
	}
	return 0
}
