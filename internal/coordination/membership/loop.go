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

// event is a message from another goroutine to the control goroutine.
type event interface{ event() }

// received is a heartbeat from another entry.
type received struct{ heartbeat coordination.Heartbeat }

// callResult is the result of a call made by this entry. reply is nil when the call
// failed.
type callResult struct {
	address string
	reply   *coordination.Heartbeat
}

// listResult is the result of a read of the VM list. reply is nil when the read failed.
type listResult struct{ reply *devplatform.VMListReply }

// announceRequest asks for a heartbeat to the entries of the own domain at once.
type announceRequest struct{}

func (received) event()        {}
func (callResult) event()      {}
func (listResult) event()      {}
func (announceRequest) event() {}

// loop is the state of the control goroutine.
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

// contact starts a heartbeat call to each of the addresses.
func (l *loop) contact(ctx context.Context, addresses []string, now state.Time) {
	s := l.service
	for _, address := range addresses {
		hb := s.heartbeat()
		hb.Facts = s.takeFacts(l.recipientAt(address), "", now)
		if !l.calls.TryGo(func() error { return s.call(ctx, address, hb) }) {
			l.view.callDone(address, nil, now)
		}
	}
}

// recipientAt returns the kind of recipient at an address. An address of unknown domain
// counts as remote.
func (l *loop) recipientAt(address string) recipient {
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
		l.view.applyHeartbeat(e.heartbeat, now)
	case callResult:
		l.view.callDone(e.address, e.reply, now)
	case announceRequest:
		l.contact(ctx, l.view.announceTargets(now), now)
	case listResult:
		l.view.listTried = true
		if e.reply != nil {
			l.view.applyList(*e.reply, now)
		}
	}
}

func (s *Service) takeFacts(to recipient, exclude coordination.EntryID, now state.Time) []coordination.Fact {
	n := s.cfg.RemoteFacts
	if to == toDomain {
		n = s.cfg.DomainFacts
	}
	return s.facts.take(n, to, exclude, now)
}

// call sends one heartbeat and reports the result to the control goroutine.
func (s *Service) call(ctx context.Context, address string, hb coordination.Heartbeat) error {
	callCtx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	s.metrics.sent.Inc(1)
	reply, err := s.peers.Heartbeat(callCtx, address, hb)
	done := callResult{address: address}
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

// pollList reads the changes of the VM list every ListInterval until ctx ends, with
// exponential backoff while reads fail.
func (s *Service) pollList(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = s.cfg.ListInterval
	delay.MaxInterval = s.cfg.ListMaxInterval
	failing := false
	req := devplatform.ListRequest{Domain: string(s.cfg.Domain)}
	for {
		reply, err := s.list.List(ctx, req)
		next := s.cfg.ListInterval
		result := listResult{}
		if err != nil {
			next = delay.NextBackOff()
		} else {
			delay.Reset()
			result.reply = &reply
			req.SinceVersion = max(req.SinceVersion, reply.Version)
		}
		if failing != (err != nil) {
			failing = err != nil
			s.logger.Info("VM list reachability changed", "reachable", !failing, "error", err)
		}
		s.send(ctx, result)
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// notifier wakes subscribers. It is safe for concurrent use.
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

// notify wakes each subscriber that has no notification pending. It does not block.
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
