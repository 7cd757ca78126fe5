package e2e

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReplacedEntryStops starts a second process on the VM of a living entry:
// the first one must not go on, since nobody waits for its confirmations.
func TestReplacedEntryStops(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	cs := &callers{c: c}
	first := c.entries[0]
	second := c.startEntry(first.vm, first.domain, oneDomain.settings)
	is.Equal(first.exitCode(), 2)
	is.True(strings.Contains(first.output(), "the registration was ended by others"))
	c.entries[0] = second
	c.waitReady(second)
	c.waitUpstreams(second, oneDomain.upstreams)
	got := cs.submit(second, request(0, "served", true))
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(c.check(cs, slotsOfOneDomain), nil)
}
