package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/bootclock"
	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
)

// pagedRegistrations serves one registration per page, each after a second.
type pagedRegistrations struct {
	port.Log
	pages int
}

func (l pagedRegistrations) NewestPage(ctx context.Context, _ port.Topic, after string) (port.Batch, error) {
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return port.Batch{}, ctx.Err()
	}
	n := 0
	if _, err := fmt.Sscanf(after, "i-%d", &n); err != nil && after != "" {
		return port.Batch{}, err
	}
	key := fmt.Sprintf("i-%d", n+1)
	page := port.Batch{Records: []ledger.Record{{Key: key, Value: []byte("x")}}, Next: int64(l.pages)}
	if n+1 < l.pages {
		page.After = key
	}
	return page, nil
}

func (l pagedRegistrations) Read(ctx context.Context, _ port.Topic, from int64, _ time.Duration) (port.Batch, error) {
	<-ctx.Done()
	return port.Batch{Next: from}, ctx.Err()
}

// TestManyRegistrationsAreLoadedOverSlowLink loads registrations whose pages together take
// longer than a single read may.
func TestManyRegistrationsAreLoadedOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &owner{ownerDeps: &ownerDeps{log: pagedRegistrations{pages: 7}, clock: bootclock.Now}, signal: make(chan struct{}, 1)}
		ctx, cancel := context.WithCancel(t.Context())
		go o.followUpstreams(ctx)
		time.Sleep(20 * time.Second)
		o.mu.Lock()
		is.Equal(len(o.events), 1) // the full load was passed to the control loop once
		o.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}
