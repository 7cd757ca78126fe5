package devplatform

import "context"

// VMRole tells what a VM is for.
type VMRole string

// The roles of a VM.
const (
	RoleEntry    VMRole = "entry"
	RoleUpstream VMRole = "upstream"
)

// VMState is the platform's view of a VM.
type VMState string

// The states of a listed VM. A VM that is gone is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list.
type VM struct {
	// ID names the VM for as long as it exists; a replacement has another ID.
	ID string `json:"id"`
	// Incarnation changes at each restart of the VM. An address may be
	// reused; an incarnation never is.
	Incarnation string  `json:"incarnation"`
	Role        VMRole  `json:"role"`
	State       VMState `json:"state"`
	Region      string  `json:"region"`
	Domain      string  `json:"domain"`
	Rack        string  `json:"rack"`
	// Service is the customer service that an upstream belongs to; empty for
	// an entry VM.
	Service string `json:"service,omitempty"`
	// Address is IP:port of the worker's or the entry's internal listener.
	Address string `json:"address"`
	// Capacity is zero for an entry VM.
	Capacity Capacity `json:"capacity"`
}

// ListRequest asks for the list, or for what has changed in it.
type ListRequest struct {
	// Since is the version that the caller holds; 0 asks for the whole list.
	Since int64 `json:"since,omitempty"`
	// Domain leaves out the upstreams of other failure domains; empty asks for
	// all. Entries of every domain are always named.
	Domain string `json:"domain,omitempty"`
}

// VMListReply is the whole list, or what has changed in it. It lags behind the
// truth by seconds.
type VMListReply struct {
	// Version rises with every change.
	Version int64 `json:"version"`
	// Since is 0 when VMs is the whole list. Otherwise it is that of the
	// request, VMs holds the rows that are new or have changed after it, and
	// Gone the IDs of those that have been dropped; a row in both is listed.
	Since int64    `json:"since,omitempty"`
	VMs   []VM     `json:"vms"`
	Gone  []string `json:"gone,omitempty"`
}

// VMList is the port to the platform's list of live and leaving VMs.
// A list that doesn't remember the changes since the version of the request
// answers with the whole list. List fails with ErrUnavailable or ErrNotSent
// when the platform can't be reached.
type VMList interface {
	List(ctx context.Context, req ListRequest) (VMListReply, error)
}
