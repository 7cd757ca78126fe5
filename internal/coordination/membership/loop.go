package membership

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// event is something that a traffic goroutine tells the control goroutine.
type event interface{ event() }

// received is a heartbeat that another entry sent.
type received struct{ heartbeat coordination.Heartbeat }

// called is the end of a call of this entry; reply is nil when it failed.
type called struct {
	address string
	reply   *coordination.Heartbeat
}

// listRead is the end of a read of the VM list; reply is nil when it failed.
type listRead struct{ reply *devplatform.VMListReply }

// announce asks to tell the entries of the own domain at once.
type announce struct{}

func (received) event() {}
func (called) event()   {}
func (listRead) event() {}
func (announce) event() {}

// loop is the control goroutine's own state.
type loop struct {
	service *Service
	view    *view
	calls   errgroup.Group
}

func (l *loop) tick(ctx context.Context) {
	s := l.service
	now := s.now()
	addresses := l.view.tick(now)
	s.lastTick.Store(int64(now))
	l.contact(ctx, addresses, now)
}

// contact starts the calls to the addresses.
func (l *loop) contact(ctx context.Context, addresses []string, now state.Time) {
	s := l.service
	for _, address := range addresses {
		hb := s.heartbeat()
		hb.Facts = s.takeFacts(l.audienceAt(address), "", now)
		if !l.calls.TryGo(func() error { return s.call(ctx, address, hb) }) {
			l.view.callDone(address, nil, now)
		}
	}
}

// audienceAt tells who lives at an address.
func (l *loop) audienceAt(address string) audience {
	c, ok := l.view.contacts[address]
	if ok && c.domain == l.service.cfg.Domain {
		return toDomain
	}
	return toRemote
}

func (l *loop) apply(ctx context.Context, e event) {
	now := l.service.now()
	switch e := e.(type) {
	case received:
		l.view.heardHeartbeat(e.heartbeat, now)
	case called:
		l.view.callDone(e.address, e.reply, now)
	case announce:
		l.contact(ctx, l.view.announceTargets(now), now)
	case listRead:
		l.view.listTried = true
		if e.reply != nil {
			l.view.applyList(*e.reply, now)
		}
	}
}

func (s *Service) takeFacts(to audience, asker coordination.EntryID, now state.Time) []coordination.Fact {
	n := s.cfg.RemoteFacts
	if to == toDomain {
		n = s.cfg.DomainFacts
	}
	return s.facts.take(n, to, asker, now)
}

// call sends one heartbeat and reports its end.
func (s *Service) call(ctx context.Context, address string, hb coordination.Heartbeat) error {
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	s.metrics.sent.Inc(1)
	reply, err := s.peers.Heartbeat(callCtx, address, hb)
	done := called{address: address}
	if err != nil {
		s.metrics.failed.Inc(1)
	} else {
		done.reply = &reply
	}
	s.send(ctx, done)
	return nil
}

func (s *Service) send(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// pollList reads the changes of the VM list at an interval, less often while it
// fails.
func (s *Service) pollList(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = s.cfg.ListInterval
	delay.MaxInterval = s.cfg.ListMaxInterval
	failing := false
	req := devplatform.ListRequest{Domain: string(s.cfg.Domain)}
	for {
		reply, err := s.list.List(ctx, req)
		next := s.cfg.ListInterval
		read := listRead{}
		if err != nil {
			next = delay.NextBackOff()
		} else {
			delay.Reset()
			read.reply = &reply
			req.Since = max(req.Since, reply.Version)
		}
		if failing != (err != nil) {
			failing = err != nil
			s.logger.Info("VM list", "reachable", !failing, "error", err)
		}
		s.send(ctx, read)
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// notifier wakes subscribers.
type notifier struct {
	mu          sync.Mutex
	next        int
	subscribers map[int]chan struct{}
}

func (n *notifier) subscribe() (<-chan struct{}, func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subscribers == nil {
		n.subscribers = map[int]chan struct{}{}
	}
	id := n.next
	n.next++
	channel := make(chan struct{}, 1)
	n.subscribers[id] = channel
	return channel, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subscribers, id)
	}
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, channel := range n.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}
