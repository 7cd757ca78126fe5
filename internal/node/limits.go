package node

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/settings"
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
	// peerDescriptorShare is the part of the descriptors beside the reserved ones that other entries
	// may use, 1/n.
	peerDescriptorShare = 2
	// minPeers is the smallest bound of the connections of other entries.
	minPeers = 32
	// messageOverhead is what a relayed append has beside its records, in bytes.
	messageOverhead = 1 << 20
)

// limits bounds what callers of each listener hold.
type limits struct {
	callers callerlimit.Limits
	peers   peer.Limits
}

// listenerLimits derives the bounds from the settings and the descriptors of the process.
func listenerLimits(s *settings.Node) (limits, error) {
	descriptors := s.Limits.Descriptors
	if descriptors == 0 {
		var err error
		if descriptors, err = callerlimit.Descriptors(); err != nil {
			return limits{}, err
		}
	}
	callers := callerlimit.ForVM(descriptors, s.Limits.MemoryMB)
	return limits{
		callers: callers,
		peers: peer.Limits{
			Connections:  max(minPeers, (descriptors-callerlimit.ReservedDescriptors)/peerDescriptorShare),
			MessageBytes: s.Platform.Limits().WithDefaults().RequestBytes + messageOverhead,
			CallBytes:    callers.RequestBytes,
		},
	}, nil
}

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
