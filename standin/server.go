package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/samphirerail/samphirerail/standin/faults"
)

// headerTimeout bounds the time in which a client must send the header of a request.
const headerTimeout = 10 * time.Second

// Handler is a stand-in that a Server can serve.
type Handler interface {
	http.Handler
	// Gate returns the gate that counts the connections and applies the fault switches.
	Gate() *faults.Gate
}

// Server serves one stand-in on an address.
type Server struct {
	address string
	server  *http.Server
	cancel  context.CancelFunc
	// served is closed when the server has ended; err is set before that.
	served chan struct{}
	err    error
}

// Listen serves a stand-in on an address (IP:port); port 0 selects a free port. It fails
// if the address can't be used.
func Listen(address string, handler Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("standin: can't listen; choose another address: %w", err)
	}
	return Serve(listener, handler), nil
}

// Serve serves a stand-in on a listener. The server closes the listener when it stops.
func Serve(listener net.Listener, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{address: listener.Addr().String(), cancel: cancel, served: make(chan struct{})}
	s.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       handler.Gate().ConnContext,
		ConnState:         handler.Gate().ConnState,
	}
	go func() {
		defer close(s.served)
		s.err = s.server.Serve(listener)
	}()
	return s
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.address }

// Stop stops the server. Calls that wait for data return early. Other calls may finish
// until ctx ends; after that their connections are closed.
func (s *Server) Stop(ctx context.Context) error {
	s.cancel()
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	<-s.served
	if !errors.Is(s.err, http.ErrServerClosed) {
		return errors.Join(err, s.err)
	}
	return err
}

// Kill closes the listener and all connections immediately, as the loss of the VM would.
func (s *Server) Kill() {
	s.cancel()
	_ = s.server.Close()
	<-s.served
}
