package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// fixedRegistrations decodes each record as the registration of its key.
type fixedRegistrations struct {
	port.Decoder
	byKey map[string]workload.Upstream
}

func (d fixedRegistrations) Upstream(r ledger.Record) (workload.Upstream, error) {
	return d.byKey[r.Key], nil
}

// reload applies a full read of the registrations, which lists some upstreams.
func (o lossOwner) reload(listed ...workload.Upstream) {
	decoder, batch := fixedRegistrations{byKey: map[string]workload.Upstream{}}, port.Batch{}
	for _, reg := range listed {
		decoder.byKey[string(reg.ID)] = reg
		batch.Records = append(batch.Records, ledger.Record{Key: string(reg.ID), Value: []byte("x")})
	}
	o.decoder = decoder
	readFrom := o.now()
	o.applyRegistrations(batch, true)
	o.sched.RegistrationsRead(readFrom)
}

// replace records that another upstream answers at an upstream's address.
func (o lossOwner) replace(id workload.UpstreamID) {
	if l := o.links[id]; l != nil {
		o.recordPollFailure(id, l, port.Reply{OtherIncarnation: true}, nil)
		o.runEvents()
	}
}

// TestLeaveMissedInAGapIsNoCrash guards against a crash counted for a leave that was announced while the registrations were not read.
func TestLeaveMissedInAGapIsNoCrash(t *testing.T) {
	const unread = 2200 * time.Millisecond
	cases := []struct {
		name string
		// unread is the time from the newest read to the end of the process.
		unread time.Duration
		// end has the process end and the owner learn of it.
		end  func(o lossOwner, reg, later workload.Upstream)
		want bool
	}{
		{name: "not listed any more, replaced", unread: unread, end: func(o lossOwner, reg, _ workload.Upstream) {
			o.refuse(reg.ID)
			time.Sleep(500 * time.Millisecond)
			o.reload()
			time.Sleep(1500 * time.Millisecond)
			o.replace(reg.ID)
		}},
		{name: "removed before the connection closes", unread: unread, end: func(o lossOwner, reg, _ workload.Upstream) {
			o.reload()
			o.refuse(reg.ID)
			time.Sleep(time.Second)
			o.replace(reg.ID)
		}},
		{name: "listed as a later incarnation, then closed", unread: unread, end: func(o lossOwner, reg, later workload.Upstream) {
			o.reload(later)
			o.refuse(reg.ID)
		}},
		{name: "closed, then listed as a later incarnation", unread: unread, end: func(o lossOwner, reg, later workload.Upstream) {
			o.refuse(reg.ID)
			o.reload(later)
		}},
		{name: "a second gap", unread: unread, end: func(o lossOwner, reg, later workload.Upstream) {
			o.refuse(reg.ID)
			o.reload()
			time.Sleep(time.Second)
			o.reload(later)
		}},
		{name: "the announcement would have been read before the gap", unread: time.Second, want: true, end: func(o lossOwner, reg, _ workload.Upstream) {
			o.refuse(reg.ID)
			o.reload()
			time.Sleep(time.Second)
			o.replace(reg.ID)
		}},
		{name: "listed as ready after the gap", unread: 10 * time.Second, want: true, end: func(o lossOwner, reg, _ workload.Upstream) {
			o.reload(reg)
			time.Sleep(500 * time.Millisecond)
			o.refuse(reg.ID)
			o.replace(reg.ID)
		}},
		{name: "listed as ready while its connection is closed already", unread: 10 * time.Second, want: true, end: func(o lossOwner, reg, _ workload.Upstream) {
			o.refuse(reg.ID)
			o.reload(reg)
			o.replace(reg.ID)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newLossOwner(t)
				reg := registered("u", 1)
				later := registered("u", 9000)
				o.add(reg)
				o.startOn(t, "u")
				time.Sleep(c.unread)
				c.end(o, reg, later)
				losses := o.sched.Plan(o.now()).Losses
				is.Equal(len(losses), 1)
				is.True(losses[0].Closed)
				is.Equal(losses[0].Crash, c.want)
			})
		})
	}
}

// TestCrashRightAfterTakeOverCounts guards against tasks that crash upstreams unnoticed in the first seconds of an owner.
func TestCrashRightAfterTakeOverCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newLossOwner(t)
		reg := registered("u", 1)
		o.links["u"] = newLink()
		o.reload(reg)
		o.startOn(t, "u")
		time.Sleep(100 * time.Millisecond)
		o.refuse("u")
		o.replace("u")
		losses := o.sched.Plan(o.now()).Losses
		is.Equal(len(losses), 1)
		is.True(losses[0].Crash)
	})
}
