package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination/port"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/transport/callerlimit"
	"github.com/samphirerail/samphirerail/internal/transport/netopt"
)

// service holds the methods that are exposed through net/rpc.
type service struct {
	backend Backend
	ctx     context.Context
	logger  hclog.Logger
}

// errPanic is the result of a call whose handler panicked.
var errPanic = errors.New("peer: the handler of the call failed unexpectedly; see the log of the called entry")

// contain makes a panic of a handler the error of its call. net/rpc would let it end the
// process.
func (s *service) contain(call string, err *error) {
	if cause := recover(); cause != nil {
		s.logger.Error("unexpected failure of a peer call", "call", call, "panic", cause, "stack", string(debug.Stack()))
		*err = errPanic
	}
}

// Ping answers a probe.
func (s *service) Ping(struct{}, *struct{}) error { return nil }

// Owning reports whether this entry is the owner, to an entry that has read no recent
// record of the owner in the log.
func (s *service) Owning(_ struct{}, reply *bool) (err error) {
	defer s.contain("Owning", &err)
	*reply = s.backend.Owning()
	return nil
}

// Watch holds a call open so that its caller notices when this process ends.
func (s *service) Watch(struct{}, *struct{}) error {
	select {
	case <-s.ctx.Done():
	case <-time.After(maxWatchTime):
	}
	return nil
}

// Nominate accepts a handover from the previous owner to this entry.
func (s *service) Nominate(released ledger.Claim, _ *struct{}) (err error) {
	defer s.contain("Nominate", &err)
	s.backend.Nominate(released)
	return nil
}

// Phase returns the phase of a job, or port.ErrNotOwner if this entry is not the owner.
func (s *service) Phase(args PhaseArgs, reply *PhaseReply) (err error) {
	defer s.contain("Phase", &err)
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	if !s.backend.Owning() {
		return port.ErrNotOwner
	}
	reply.Phase, reply.Known = s.backend.Phase(ctx, args.Job)
	return ctx.Err()
}

// Advise calls the advice service for another entry.
func (s *service) Advise(args AdviseArgs, reply *port.Tickets) (err error) {
	defer s.contain("Advise", &err)
	ctx, cancel := context.WithTimeout(s.ctx, args.Timeout)
	defer cancel()
	*reply, err = s.backend.Advise(ctx, args.Step, args.Upstreams)
	return err
}

// Append appends to the log for another entry.
func (s *service) Append(args port.Append, reply *AppendReply) (err error) {
	defer s.contain("Append", &err)
	ctx, cancel := context.WithTimeout(s.ctx, maxRelayTime)
	defer cancel()
	offset, err := s.backend.Log().Append(ctx, args)
	reply.Offset, reply.Fault = offset, faultOf(err)
	return nil
}

// Record writes a record on behalf of another entry's caller.
func (s *service) Record(args ledger.Record, reply *AppendReply) (err error) {
	defer s.contain("Record", &err)
	ctx, cancel := context.WithTimeout(s.ctx, maxRelayTime)
	defer cancel()
	reply.Fault = faultOf(s.backend.Record(ctx, args))
	return nil
}

// Read reads a topic of the log for another entry.
func (s *service) Read(args port.ReadQuery, reply *ReadReply) (err error) {
	defer s.contain("Read", &err)
	ctx, cancel := context.WithTimeout(s.ctx, maxRelayTime)
	defer cancel()
	if args.Newest {
		reply.Batch, err = s.backend.Log().NewestPage(ctx, args.Topic, args.After)
	} else {
		reply.Batch, err = s.backend.Log().Read(ctx, args.Topic, args.From, args.Wait)
	}
	reply.Fault = faultOf(err)
	return nil
}

// Server accepts connections from other entries and passes their calls to a Backend.
type Server struct {
	listener  net.Listener
	cancel    context.CancelFunc
	admission *admission
}

// Serve listens on address and serves calls within limits until the returned server is closed.
func Serve(address string, backend Backend, limits Limits, logger hclog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("peer: cannot listen on %s: %w; check listen.internal", address, err)
	}
	if err := callerlimit.BoundBacklog(listener, maxBacklog); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return serve(listener, backend, limits, logger)
}

func serve(listener net.Listener, backend Backend, limits Limits, logger hclog.Logger) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{backend: backend, ctx: ctx, logger: logger}); err != nil {
		cancel()
		return nil, errors.Join(err, listener.Close())
	}
	s := &Server{listener: listener, cancel: cancel, admission: newAdmission(ctx, limits)}
	go s.accept(ctx, server, logger)
	return s, nil
}

// accept accepts connections until the listener is closed. After another error, such as
// a lack of file descriptors, it pauses and accepts again.
func (s *Server) accept(ctx context.Context, server *rpc.Server, logger hclog.Logger) {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logger.Warn("accepting a peer connection failed; accepting again after a pause", "pause", acceptPause, "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptPause):
			}
			continue
		}
		netopt.EnableKeepAlive(conn)
		if admitted := s.admission.admit(conn); admitted != nil {
			go server.ServeCodec(newServerCodec(admitted))
		}
	}
}

// Close stops listening, cancels the contexts of pending calls, and closes all
// connections.
func (s *Server) Close() error {
	s.cancel()
	return errors.Join(s.listener.Close(), s.admission.closeAll())
}
