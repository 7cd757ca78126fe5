package standin

import (
	"net/http"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/vmlist"
)

// Faults holds the fault switches of a Platform.
type Faults struct {
	Log logservice.Faults `json:"log,omitzero"`
	VMs vmlist.Faults     `json:"vms,omitzero"`
}

// Platform serves a log service and a VM list on one listener.
type Platform struct {
	Log *logservice.Service
	VMs *vmlist.Service

	gate *faults.Gate
	mux  *http.ServeMux
}

// NewPlatform returns a stand-in for the platform. Its Faults are read and set at
// faults.AdminPath, as one object for both services. The services count their connections
// together from then on.
func NewPlatform(log *logservice.Service, vms *vmlist.Service) *Platform {
	p := &Platform{Log: log, VMs: vms, mux: http.NewServeMux()}
	p.gate = log.Gate()
	vms.Gate().ShareConnections(p.gate)
	p.mux.Handle("/v1/log/", log)
	p.mux.Handle(logservice.StatsPath, log)
	p.mux.Handle(devplatform.PathVMs, vms)
	p.mux.Handle(devplatform.PathVMs+"/", vms)
	faults.Register(p.mux, p.Faults, p.SetFaults)
	return p
}

// ServeHTTP serves both services and the fault switches.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Gate returns the gate that counts the connections of both services.
func (p *Platform) Gate() *faults.Gate { return p.gate }

// Faults returns the fault switches of both services.
func (p *Platform) Faults() Faults {
	return Faults{Log: p.Log.Faults(), VMs: p.VMs.Faults()}
}

// SetFaults replaces the fault switches of both services. It fails with
// devplatform.ErrInvalid; the switches of the log service may have been replaced then.
func (p *Platform) SetFaults(f Faults) error {
	if err := p.Log.SetFaults(f.Log); err != nil {
		return err
	}
	return p.VMs.SetFaults(f.VMs)
}
