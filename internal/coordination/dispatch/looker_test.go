package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/coordination/replica"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// deafUpstreams answers nothing once deaf is set.
type deafUpstreams struct {
	port.Upstreams
	deaf  bool
	looks []port.LookOrder
	// during is called while a look is under way.
	during func()
	reply  port.LookReply
}

func (d *deafUpstreams) Look(_ context.Context, _ port.Target, order port.LookOrder) (port.LookReply, port.Reply, error) {
	d.looks = append(d.looks, order)
	if d.during != nil {
		d.during()
	}
	if d.deaf {
		return port.LookReply{}, port.Reply{}, errors.New("no answer")
	}
	d.reply.ClockMS = max(d.reply.ClockMS, 1000)
	return d.reply, port.Reply{}, nil
}

// TestSilentUpstreamGetsNoLease: the leases on an upstream that has gone must
// run out, however often it is looked at.
func TestSilentUpstreamGetsNoLease(t *testing.T) {
	is := is.New(t)
	upstreams := &deafUpstreams{}
	o := &owner{
		parts: &parts{upstreams: upstreams, lease: 5 * time.Second, logger: hclog.NewNullLogger()},
		base:  time.Now(), ctx: context.Background(), signal: make(chan struct{}, 1), links: map[workload.UpstreamID]*link{},
	}
	o.replica = replica.New(nil, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	o.sched = scheduler.New(&workload.Config{}, scheduler.Options{})
	o.contactAt.Store(int64(o.now()))
	l := newLink()
	is.Equal(o.lookOnce(context.Background(), "u", l, 0, false), lookAnswered) // shows the clock
	l.active = true
	is.Equal(o.lookOnce(context.Background(), "u", l, 0, false), lookAnswered)
	is.Equal(upstreams.looks[1].DeadlineMS > 1000, true)
	upstreams.deaf = true
	is.Equal(o.lookOnce(context.Background(), "u", l, 0, false), lookUnanswered) // this lease may have arrived
	lapse := l.lapseAt
	for range 5 {
		time.Sleep(2 * time.Millisecond)
		is.Equal(o.lookOnce(context.Background(), "u", l, 0, false), lookUnanswered)
	}
	is.Equal(upstreams.looks[len(upstreams.looks)-1].DeadlineMS, int64(0))
	is.Equal(l.lapseAt, lapse)
}

// TestLookAfterAGapAcknowledgesNothing: the upstream may live a new life, whose
// ends have small numbers again.
func TestLookAfterAGapAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	upstreams := &deafUpstreams{}
	o := &owner{
		parts: &parts{upstreams: upstreams, lease: 5 * time.Second, logger: hclog.NewNullLogger()},
		base:  time.Now(), ctx: context.Background(), signal: make(chan struct{}, 1), links: map[workload.UpstreamID]*link{},
	}
	o.replica = replica.New(nil, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	l := newLink()
	l.reported, l.recorded = 40, 40
	is.Equal(o.lookOnce(context.Background(), "u", l, 0, true), lookAnswered)
	is.Equal(o.lookOnce(context.Background(), "u", l, 0, false), lookAnswered)
	is.Equal(upstreams.looks[0].LastSeen, int64(0))
	is.Equal(upstreams.looks[1].LastSeen, int64(40))
}

// TestAnswerOfAFormerLifeIsLeftAside: the registration of the new life overtakes
// an answer of the old one, whose ends have large numbers.
func TestAnswerOfAFormerLifeIsLeftAside(t *testing.T) {
	is := is.New(t)
	l := newLink()
	upstreams := &deafUpstreams{during: l.forgetLife, reply: port.LookReply{Ended: []port.Ended{{Number: 45}}}}
	o := &owner{
		parts: &parts{upstreams: upstreams, lease: 5 * time.Second, logger: hclog.NewNullLogger()},
		base:  time.Now(), ctx: context.Background(), signal: make(chan struct{}, 1), links: map[workload.UpstreamID]*link{},
	}
	o.replica = replica.New(nil, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	is.Equal(o.lookOnce(context.Background(), "u", l, 0, false), lookUnanswered)
	is.Equal(l.reported, int64(0))
}

// waitingUpstreams holds looks that may wait until they are given up.
type waitingUpstreams struct {
	port.Upstreams
	looks chan port.LookOrder
}

func (w *waitingUpstreams) Look(ctx context.Context, _ port.Target, order port.LookOrder) (port.LookReply, port.Reply, error) {
	w.looks <- order
	if order.Wait > 0 {
		<-ctx.Done()
		return port.LookReply{}, port.Reply{}, ctx.Err()
	}
	return port.LookReply{ClockMS: 1000}, port.Reply{}, nil
}

// TestHurriedLookDoesNotWait: a look that waits at the upstream is interrupted
// and counts as no failure.
func TestHurriedLookDoesNotWait(t *testing.T) {
	is := is.New(t)
	upstreams := &waitingUpstreams{looks: make(chan port.LookOrder)}
	o := &owner{
		parts: &parts{upstreams: upstreams, lease: 5 * time.Second, logger: hclog.NewNullLogger()},
		base:  time.Now(), signal: make(chan struct{}, 1), links: map[workload.UpstreamID]*link{},
	}
	o.replica = replica.New(nil, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	l := newLink()
	l.active = true
	ctx, cancel := context.WithCancel(context.Background())
	o.ctx = ctx
	done := make(chan struct{})
	go func() { o.lookAll(ctx, "u", l); close(done) }()
	is.Equal((<-upstreams.looks).Wait, time.Duration(0)) // learns the life
	is.True((<-upstreams.looks).Wait > 0)
	began := time.Now()
	l.hurry()
	is.Equal((<-upstreams.looks).Wait, time.Duration(0))
	is.True(time.Since(began) < lookWait/2)
	is.True((<-upstreams.looks).Wait > 0)
	is.Equal(l.failures, 0)
	cancel()
	<-done
}
