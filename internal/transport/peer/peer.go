// Package peer carries calls between entries over net/rpc: questions to the
// owner, calls for advice, and calls to the log for entries that the log does
// not serve.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
	"github.com/samphirerail/samphirerail/internal/transport/netopt"
)

const (
	// serviceName is the name of the service on the wire.
	serviceName = "Entry"
	// dialTimeout bounds the opening of a connection within a region.
	dialTimeout = 500 * time.Millisecond
	// A call that waits probes its connection every probeInterval; a probe
	// without an answer by the next one ends the connection.
	probeInterval = 400 * time.Millisecond
	// downPause is how long an entry that could not be dialled is left alone, so
	// that callers are not kept waiting for it.
	downPause = 400 * time.Millisecond
	// maxRelayTime bounds a call to the log that is made for another entry.
	maxRelayTime = 5 * time.Second
)

// Backend serves the calls of other entries.
type Backend interface {
	Phase(ctx context.Context, id workload.JobID) (ledger.Phase, bool)
	Advise(ctx context.Context, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error)
	// Owning reports whether this entry owns the placement and reaches the log.
	Owning() bool
	// Nominate tells this entry that the owner has released the ownership to it.
	Nominate(released ledger.Claim)
	// Record records what callers asked of another entry. It returns
	// port.ErrNotOwner unless this entry is the owner.
	Record(ctx context.Context, r ledger.Record) error
	// Log is the log as this entry reaches it itself.
	Log() port.Log
}

// The messages of the service.
type (
	// PhaseArgs asks for the phase of a job.
	PhaseArgs struct{ Job workload.JobID }
	// PhaseReply holds the phase, if the owner knows the job.
	PhaseReply struct {
		Phase ledger.Phase
		Known bool
	}
	// AdviseArgs asks for a call to the advice service.
	AdviseArgs struct {
		Step      workload.StepID
		Upstreams []workload.UpstreamID
		Timeout   time.Duration
	}
	// AppendReply is the outcome of an append.
	AppendReply struct {
		Offset int64
		Fault  Fault
	}
	// ReadReply holds the part.
	ReadReply struct {
		Batch port.Batch
		Fault Fault
	}
)

// Fault carries a typed error of the log.
type Fault struct {
	Kind faultKind
	End  int64
	Text string
}

type faultKind uint8

const (
	faultNone faultKind = iota
	faultNotDone
	faultFenced
	faultExpired
	faultConflict
	faultNotOwner
	faultUnknown
)

func faultOf(err error) Fault {
	var conflict *port.ConflictError
	switch {
	case err == nil:
		return Fault{}
	case errors.Is(err, port.ErrNotDone):
		return Fault{Kind: faultNotDone}
	case errors.Is(err, port.ErrNotOwner):
		return Fault{Kind: faultNotOwner}
	case errors.Is(err, port.ErrFenced):
		return Fault{Kind: faultFenced}
	case errors.Is(err, port.ErrExpired):
		return Fault{Kind: faultExpired}
	case errors.As(err, &conflict):
		return Fault{Kind: faultConflict, End: conflict.End}
	}
	return Fault{Kind: faultUnknown, Text: err.Error()}
}

// Err returns the error that the fault stands for.
func (f Fault) Err() error {
	switch f.Kind {
	case faultNone:
		return nil
	case faultNotDone:
		return port.ErrNotDone
	case faultNotOwner:
		return port.ErrNotOwner
	case faultFenced:
		return port.ErrFenced
	case faultExpired:
		return port.ErrExpired
	case faultConflict:
		return &port.ConflictError{End: f.End}
	case faultUnknown:
	}
	return &port.RelayedError{Cause: f.Text}
}

// service has the methods that net/rpc offers.
type service struct {
	backend Backend
	ctx     context.Context
}

// Ping shows that the connection and the process work.
func (s *service) Ping(struct{}, *struct{}) error { return nil }

// Owning serves an entry that has seen no sign of the owner in the log.
func (s *service) Owning(_ struct{}, reply *bool) error {
	*reply = s.backend.Owning()
	return nil
}

// Nominate serves an owner that hands over to this entry.
func (s *service) Nominate(released ledger.Claim, _ *struct{}) error {
	s.backend.Nominate(released)
	return nil
}

// Phase serves a question to the owner.
func (s *service) Phase(args PhaseArgs, reply *PhaseReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	if !s.backend.Owning() {
		return port.ErrNotOwner
	}
	reply.Phase, reply.Known = s.backend.Phase(ctx, args.Job)
	return ctx.Err()
}

// Advise makes a call to the advice service.
func (s *service) Advise(args AdviseArgs, reply *port.Tickets) (err error) {
	ctx, cancel := context.WithTimeout(s.ctx, args.Timeout)
	defer cancel()
	*reply, err = s.backend.Advise(ctx, args.Step, args.Upstreams)
	return err
}

// Append appends to the log for another entry.
func (s *service) Append(args port.Append, reply *AppendReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, maxRelayTime)
	defer cancel()
	offset, err := s.backend.Log().Append(ctx, args)
	reply.Offset, reply.Fault = offset, faultOf(err)
	return nil
}

// Record records what a caller asked of another entry.
func (s *service) Record(args ledger.Record, reply *AppendReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, maxRelayTime)
	defer cancel()
	reply.Fault = faultOf(s.backend.Record(ctx, args))
	return nil
}

// Read reads the log for another entry.
func (s *service) Read(args port.ReadQuery, reply *ReadReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, maxRelayTime)
	defer cancel()
	var err error
	if args.Newest {
		reply.Batch, err = s.backend.Log().Newest(ctx, args.Topic)
	} else {
		reply.Batch, err = s.backend.Log().Read(ctx, args.Topic, args.From, args.Wait)
	}
	reply.Fault = faultOf(err)
	return nil
}

// Server serves the calls of other entries.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Serve listens on an address.
func Serve(address string, backend Backend, logger hclog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("peer: cannot listen on %s: %w; check listen.internal", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{backend: backend, ctx: ctx}); err != nil {
		cancel()
		return nil, errors.Join(err, listener.Close())
	}
	s := &Server{listener: listener, cancel: cancel, conns: map[net.Conn]struct{}{}}
	go s.accept(server, logger)
	return s, nil
}

func (s *Server) accept(server *rpc.Server, logger hclog.Logger) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				logger.Warn("peer connections no longer accepted", "error", err)
			}
			return
		}
		netopt.Tune(conn)
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			server.ServeConn(conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// Close ends every connection.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		err = errors.Join(err, conn.Close())
	}
	return err
}

// Client calls other entries. It keeps one connection to each address.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	conns  map[string]*rpc.Client
	// down holds the addresses that could not be dialled a moment ago.
	down map[string]failedDial
}

// failedDial is an attempt to connect that failed. The address is left alone
// until a time.
type failedDial struct {
	err   error
	until time.Time
}

// NewClient returns a client that dials from a local address; nil for any.
func NewClient(local net.Addr) *Client {
	return &Client{dialer: netopt.Dialer(local, dialTimeout), conns: map[string]*rpc.Client{}, down: map[string]failedDial{}}
}

// Close ends every connection.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	for address, conn := range c.conns {
		err = errors.Join(err, conn.Close())
		delete(c.conns, address)
	}
	return err
}

func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	existing := c.conns[address]
	down := c.down[address]
	c.mu.Unlock()
	if existing != nil {
		return existing, nil
	}
	if time.Now().Before(down.until) {
		return nil, &NotSentError{Address: address, Cause: fmt.Errorf("%w: %w", errDown, down.err)}
	}
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		c.mu.Lock()
		c.down[address] = failedDial{err, time.Now().Add(downPause)}
		c.mu.Unlock()
		return nil, &NotSentError{Address: address, Cause: err}
	}
	fresh := rpc.NewClient(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		return other, fresh.Close()
	}
	c.conns[address] = fresh
	return fresh, nil
}

// errDown: an attempt to connect has just failed.
var errDown = errors.New("a connection could not be opened a moment ago")

func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	// The connection is given up; what closing it reports changes nothing.
	_ = conn.Close()
}

// NotSentError says that a call did not reach another entry.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("peer: entry %s not reached: %v; the call was not made", e.Address, e.Cause)
}

// NotSent reports that the call did not reach the other entry.
func (e *NotSentError) NotSent() bool { return true }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	call := conn.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	var ping *rpc.Call
	for {
		select {
		case <-call.Done:
			var answered rpc.ServerError
			if call.Error != nil && !errors.As(call.Error, &answered) {
				c.drop(address, conn)
			}
			return call.Error
		case <-probe.C:
			if ping != nil && !isDone(ping) {
				c.drop(address, conn)
				return errSilent
			}
			ping = conn.Go(serviceName+".Ping", struct{}{}, &struct{}{}, make(chan *rpc.Call, 1))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func isDone(call *rpc.Call) bool { return len(call.Done) > 0 }

// errSilent: the other entry, or the connection to it, has gone silent.
var errSilent = errors.New("peer: the entry does not answer; the call may have been made")

// Phase asks the owner at an address for the phase of a job.
func (c *Client) Phase(ctx context.Context, address string, id workload.JobID) (ledger.Phase, bool, error) {
	reply := &PhaseReply{}
	if err := c.call(ctx, address, "Phase", PhaseArgs{id}, reply); err != nil {
		return 0, false, err
	}
	return reply.Phase, reply.Known, nil
}

// Owning asks the entry at an address whether it owns the placement.
func (c *Client) Owning(ctx context.Context, address string) (owning bool, err error) {
	err = c.call(ctx, address, "Owning", struct{}{}, &owning)
	return owning, err
}

// Nominate tells the entry at an address to claim the ownership that was released.
func (c *Client) Nominate(ctx context.Context, address string, released ledger.Claim) error {
	return c.call(ctx, address, "Nominate", released, &struct{}{})
}

// Advise makes the entry at an address call the advice service.
func (c *Client) Advise(ctx context.Context, address string, step workload.StepID, upstreams []workload.UpstreamID) (port.Tickets, error) {
	timeout := maxRelayTime
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	reply := &port.Tickets{}
	if err := c.call(ctx, address, "Advise", AdviseArgs{step, upstreams, timeout}, reply); err != nil {
		return port.Tickets{}, err
	}
	return *reply, nil
}

// Record makes the owner at an address record what a caller asked.
func (c *Client) Record(ctx context.Context, address string, r ledger.Record) error {
	reply := &AppendReply{}
	if err := c.call(ctx, address, "Record", r, reply); err != nil {
		return err
	}
	return reply.Fault.Err()
}

// Append appends to the log through the entry at an address.
func (c *Client) Append(ctx context.Context, address string, a port.Append) (int64, error) {
	reply := &AppendReply{}
	if err := c.call(ctx, address, "Append", a, reply); err != nil {
		return 0, err
	}
	return reply.Offset, reply.Fault.Err()
}

// Read reads the log through the entry at an address.
func (c *Client) Read(ctx context.Context, address string, args port.ReadQuery) (port.Batch, error) {
	reply := &ReadReply{}
	if err := c.call(ctx, address, "Read", args, reply); err != nil {
		return port.Batch{}, err
	}
	return reply.Batch, reply.Fault.Err()
}
