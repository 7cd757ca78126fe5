package node

import (
	"fmt"
	"syscall"
	"time"

	"github.com/samphirerail/samphirerail/internal/settings"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/transport/callerlimit"
	"github.com/samphirerail/samphirerail/internal/transport/peer"
)

// Limits of a request that the configuration does not set.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 64 << 10
)

const (
	// reservedDescriptors is the number of descriptors that sockets may not use.
	reservedDescriptors = 200
	// callerDescriptorShare and peerDescriptorShare are the parts of the others that callers and
	// other entries may use, 1/n each. The owner needs many for its upstreams.
	callerDescriptorShare = 4
	peerDescriptorShare   = 2
	// callerMemoryShare is the part of the VM's memory that connections of callers may take, and
	// the part for their requests, 1/n each.
	callerMemoryShare = 8
	// connectionBytes is the memory of a connection without its request.
	connectionBytes = 24 << 10
	// defaultMemoryBytes is the memory of a VM whose size is not set.
	defaultMemoryBytes = 512 << 20
	// messageOverhead is what a relayed append has beside its records, in bytes.
	messageOverhead = 1 << 20
	// minConnections is the smallest bound of a listener.
	minConnections = 32
	// monitorConnections and monitorBytes bound what callers of the ready and metrics listeners hold.
	monitorConnections = 32
	monitorBytes       = 1 << 20
)

// limits bounds what callers of each listener hold.
type limits struct {
	callers, monitors callerlimit.Limits
	peers             peer.Limits
}

// listenerLimits derives the bounds from the memory and the descriptors of the VM.
func listenerLimits(s settings.NodeLimits, log ledger.Limits) (limits, error) {
	memory := int64(s.MemoryMB) << 20
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	descriptors := s.Descriptors
	if descriptors == 0 {
		var process syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &process); err != nil {
			return limits{}, fmt.Errorf("node: cannot read the limit of open files: %w; set limits.descriptors", err)
		}
		descriptors = int(min(process.Cur, maxDescriptors))
	}
	share := func(n int) int { return max(minConnections, (descriptors-reservedDescriptors)/n) }
	return limits{
		callers: callerlimit.Limits{
			Connections:  max(minConnections, min(share(callerDescriptorShare), int(memory/callerMemoryShare/connectionBytes))),
			RequestBytes: memory / callerMemoryShare,
		},
		monitors: callerlimit.Limits{Connections: monitorConnections, RequestBytes: monitorBytes},
		peers:    peer.Limits{Connections: share(peerDescriptorShare), MessageBytes: log.WithDefaults().RequestBytes + messageOverhead},
	}, nil
}

// maxDescriptors is the most that a limit of open files counts, where it is not bounded.
const maxDescriptors = 1 << 20

// requestLimits returns the limits of a request that the configuration sets.
func (p *parts) requestLimits() callerlimit.RequestLimits {
	out := callerlimit.RequestLimits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	config := p.replica.Config()
	if config == nil {
		return out
	}
	set := config.Limits
	if set.HeaderBytes > 0 {
		out.HeaderBytes = set.HeaderBytes
	}
	if set.HeaderTimeoutMS > 0 {
		out.HeaderTimeout = time.Duration(min(set.HeaderTimeoutMS, maxTimeoutMS)) * time.Millisecond
	}
	if set.IdleTimeoutMS > 0 {
		out.IdleTimeout = time.Duration(min(set.IdleTimeoutMS, maxTimeoutMS)) * time.Millisecond
	}
	return out
}

// maxTimeoutMS keeps timeouts of the configuration in the range of a time.Duration.
const maxTimeoutMS = int64(time.Hour / time.Millisecond)
