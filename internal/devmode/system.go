package devmode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/agent"
	"github.com/samphirerail/samphirerail/internal/settings"
	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/vmlist"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// readyTimeout bounds each wait during the start of the system.
const readyTimeout = 30 * time.Second

// readyPollInterval is the interval between readiness checks.
const readyPollInterval = 50 * time.Millisecond

// loopback is the listen address of all stand-ins and entries; the operating system
// picks the port.
const loopback = "127.0.0.1:0"

// domains are the failure domains of the development system.
var domains = []string{"north", "south"}

// Options configures a System.
type Options struct {
	// LogLevel is the log level of the entries.
	LogLevel string
	// Trace is the trace exporter: none or stdout.
	Trace string
	// LogOutput receives the logs of the entries.
	LogOutput io.Writer
}

// System is a small complete system in one process: a stand-in platform, stand-in
// upstreams, and entries.
type System struct {
	// CallersAddress is the IP:port on which the first entry serves callers.
	CallersAddress string
	// OperatorKey and TeamKey are bearer tokens for the operator and the caller API.
	OperatorKey string
	TeamKey     string

	vms     *vmlist.Service
	servers []*standin.Server
	workers []*worker.Worker
	agents  []*agent.Agent
}

// Start starts a stand-in platform and two failure domains with three upstreams and one
// entry each, and configures a contract and keys. On an error, it stops what it has
// started.
func Start(ctx context.Context, opts Options) (*System, error) {
	s := &System{vms: vmlist.New()}
	log := logservice.New(logservice.Config{})
	address, err := s.serve(standin.NewPlatform(log, s.vms))
	if err != nil {
		return nil, err
	}
	for _, domain := range domains {
		if err := s.startUpstreams(domain); err != nil {
			return nil, errors.Join(err, s.Stop(ctx))
		}
	}
	for _, domain := range domains {
		if err := s.startEntry(ctx, domain, address, opts); err != nil {
			return nil, errors.Join(err, s.Stop(ctx))
		}
	}
	s.CallersAddress = s.agents[0].CallersAddress()
	if err := s.configure(ctx); err != nil {
		return nil, errors.Join(err, s.Stop(ctx))
	}
	return s, nil
}

// serve starts a stand-in on a free loopback port and returns its address.
func (s *System) serve(handler standin.Handler) (string, error) {
	server, err := standin.Listen(loopback, handler)
	if err != nil {
		return "", eris.Wrap(err, "devmode: can't listen on the loopback address")
	}
	s.servers = append(s.servers, server)
	return server.Address(), nil
}

// startUpstreams starts the upstreams of a failure domain and lists their VMs.
func (s *System) startUpstreams(domain string) error {
	for i, u := range []Upstream{
		{Service: "fitting", Rack: "r1", CPUMilli: 32000, MemoryMB: 65536, Slots: 8},
		{Service: "fitting", Rack: "r2", CPUMilli: 32000, MemoryMB: 65536, Slots: 8},
		{Service: "design", Rack: "r1", CPUMilli: 32000, MemoryMB: 131072, Accelerators: 8, Slots: 8},
	} {
		u.Domain = domain
		u.VM = fmt.Sprintf("%s-up%d", domain, i+1)
		w := newWorker(u)
		s.workers = append(s.workers, w)
		address, err := s.serve(w)
		if err != nil {
			return err
		}
		if err := s.vms.Put(w.Row(address)); err != nil {
			return err
		}
	}
	return nil
}

// startEntry starts the entry of a failure domain and lists its VM.
func (s *System) startEntry(ctx context.Context, domain, platformAddress string, opts Options) error {
	conf := settings.Default()
	conf.Entry = settings.Entry{VM: domain + "-entry1", Domain: domain, Region: "dev"}
	internal, err := freeAddress()
	if err != nil {
		return err
	}
	conf.Listen = settings.Listen{Callers: loopback, Internal: internal, Operators: loopback}
	conf.Platform.Log = []string{platformAddress}
	conf.Platform.VMList = []string{platformAddress}
	conf.Platform.BootstrapKey = bootstrapKey
	conf.Log.Level = opts.LogLevel
	conf.Trace.Exporter = opts.Trace
	conf.Trace.SampleRatio = 1
	conf.Shutdown.BalancerDelay = 0
	a, err := agent.New(conf, agent.Options{LogOutput: opts.LogOutput})
	if err != nil {
		return eris.Wrap(err, "devmode: can't create an entry")
	}
	if err := a.Start(ctx); err != nil {
		return eris.Wrap(err, "devmode: can't start an entry")
	}
	s.agents = append(s.agents, a)
	return s.vms.Put(devplatform.VM{
		ID: conf.Entry.VM, Incarnation: "1", Role: devplatform.RoleEntry, State: devplatform.VMLive,
		Region: "dev", Domain: domain, Rack: "r1", Address: internal,
	})
}

// freeAddress uses ports below the range from which operating systems take the ports of
// outgoing connections.
const (
	firstPort = 12000
	lastPort  = 32000
)

// freeAddress returns a loopback address on which nothing listens. Entries need to know
// their internal address before they start, so they can't let the system pick the port.
func freeAddress() (string, error) {
	first := rand.IntN(lastPort - firstPort)
	for i := range lastPort - firstPort {
		port := firstPort + (first+i)%(lastPort-firstPort)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", eris.New("devmode: no free port on the loopback address; stop other programs")
}

// waitReady waits until every entry is ready.
func (s *System) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, a := range s.agents {
		for a.Ready() != nil {
			select {
			case <-ctx.Done():
				return eris.Wrap(a.Ready(), "devmode: an entry did not become ready in time")
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Stop stops the entries and then the stand-ins. Calls in flight may finish until ctx
// ends.
func (s *System) Stop(ctx context.Context) error {
	var err error
	for _, a := range s.agents {
		err = errors.Join(err, a.Stop(ctx))
	}
	for _, w := range s.workers {
		w.Close()
	}
	for _, server := range s.servers {
		err = errors.Join(err, server.Stop(ctx))
	}
	return err
}
