package devplatform

import "context"

// VMRole is the purpose of a VM.
type VMRole string

// The roles of a VM.
const (
	RoleEntry    VMRole = "entry"
	RoleUpstream VMRole = "upstream"
)

// VMState is the state of a VM according to the platform.
type VMState string

// The states of a listed VM. A VM that no longer exists is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list.
type VM struct {
	// ID identifies the VM for as long as it exists; a replacement has another ID.
	ID string `json:"id"`
	// Incarnation changes at each restart of the VM. Addresses may be reused,
	// incarnations never are.
	Incarnation string  `json:"incarnation"`
	Role        VMRole  `json:"role"`
	State       VMState `json:"state"`
	Region      string  `json:"region"`
	Domain      string  `json:"domain"`
	Rack        string  `json:"rack"`
	// Service is the customer service that an upstream belongs to; empty for an entry VM.
	Service string `json:"service,omitempty"`
	// Address is the IP:port of the worker, or of the entry's internal listener.
	Address string `json:"address"`
	// Capacity is zero for an entry VM.
	Capacity Capacity `json:"capacity"`
}

// ListRequest requests the list of VMs, or the changes of it.
type ListRequest struct {
	// SinceVersion is the version that the caller has; 0 requests the whole list.
	SinceVersion int64 `json:"since,omitempty"`
	// Domain leaves out the upstreams of other failure domains; empty requests all. Entries
	// of every domain are always included.
	Domain string `json:"domain,omitempty"`
}

// VMListReply is the whole list of VMs, or the changes of it. It may be several seconds
// out of date.
type VMListReply struct {
	// Version increases with every change.
	Version int64 `json:"version"`
	// SinceVersion is 0 if VMs is the whole list. Otherwise it is that of the request: VMs
	// holds the rows that were added or changed after that version, and Removed the IDs of
	// the rows that were removed. A VM in both is listed, since it was added again.
	SinceVersion int64    `json:"since,omitempty"`
	VMs          []VM     `json:"vms"`
	Removed      []string `json:"gone,omitempty"`
}

// VMList is the interface to the platform's list of live and leaving VMs. If the changes
// since the version of the request are no longer known, List returns the whole list. List
// fails with ErrUnavailable or ErrNotSent if the platform can't be reached.
type VMList interface {
	List(ctx context.Context, req ListRequest) (VMListReply, error)
}
