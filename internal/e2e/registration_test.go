package e2e

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReplacedEntryStops starts a second process on the VM of a running entry. The
// first process must exit, because its registration was removed and no entry waits for
// its confirmations any more.
func TestReplacedEntryStops(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, oneDomain)
	client := &recordingClient{c: c}
	first := c.entries[0]
	second := c.startEntry(first.vm, first.domain, oneDomain.settings)
	is.Equal(first.exitCode(), 2)
	is.True(strings.Contains(first.output(), "another entry removed the registration of this entry"))
	c.entries[0] = second
	c.waitReady(second)
	c.waitUpstreams(second, oneDomain.upstreams)
	got := client.submit(second, request(0, "served", true))
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(c.check(client, oneDomainSlotLimit), nil)
}
