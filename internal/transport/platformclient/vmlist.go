package platformclient

import (
	"context"
	"net/http"

	"github.com/samphirerail/samphirerail/platform"
)

// VMList is the client of the list of VMs.
type VMList struct{ caller *caller }

var _ platform.VMList = (*VMList)(nil)

// NewVMList returns a client of the VM list behind the endpoints (IP:port).
func NewVMList(endpoints []string, options Options) *VMList {
	return &VMList{caller: newCaller(endpoints, options)}
}

// Close drops the idle connections.
func (v *VMList) Close() { v.caller.close() }

// List implements platform.VMList.
func (v *VMList) List(ctx context.Context) (platform.VMListReply, error) {
	var reply platform.VMListReply
	_, err := v.caller.do(ctx, call{
		name: "vms.list", method: http.MethodGet, path: platform.PathVMs,
		timeout: v.caller.options.Timeout,
	}, &reply)
	return reply, err
}
