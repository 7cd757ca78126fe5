package membership

import (
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Default values of the Config fields.
const (
	DefaultInterval        = 500 * time.Millisecond
	DefaultRemoteInterval  = 2 * time.Second
	DefaultSuspectAfter    = 1250 * time.Millisecond
	DefaultDeadAfter       = 2 * time.Second
	DefaultRemoteDeadAfter = time.Minute
	DefaultExpireAfter     = 10 * time.Minute
	DefaultCallTimeout     = time.Second
	DefaultPauseBound      = time.Second
	DefaultListInterval    = 2 * time.Second
	DefaultListMaxInterval = 15 * time.Second
	DefaultDomainFanout    = 4
	DefaultRemoteFanout    = 1
	DefaultDomainFacts     = 3
	DefaultRemoteFacts     = 6
)

// ErrNoIdentity is returned by New when Config lacks the entry's ID, domain or address.
var ErrNoIdentity = errors.New("membership: entry ID, domain or address is empty; set them in the settings")

// Config holds the identity, the timing and the limits of a Service. A zero duration or
// count selects the default.
type Config struct {
	Self    coordination.EntryID
	Domain  state.DomainID
	Address string
	// Seeds are addresses (IP:port) of entries to contact on start.
	Seeds []string
	// Interval is the time between heartbeats to an entry of the own domain.
	Interval time.Duration
	// RemoteInterval is the time between rounds of heartbeats to entries of
	// other domains and to entries that are dead or not yet known.
	RemoteInterval time.Duration
	// SuspectAfter and DeadAfter are the times without a heartbeat after which an entry
	// of the own domain is suspect and dead.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// RemoteDeadAfter is DeadAfter for entries of other domains. With many remote
	// entries the effective timeout is longer: at least one RemoteInterval for each of
	// them.
	RemoteDeadAfter time.Duration
	// ExpireAfter is how long an entry that does not respond and is not in the VM list
	// is still contacted.
	ExpireAfter time.Duration
	// CallTimeout is the timeout of one heartbeat call.
	CallTimeout time.Duration
	// PauseBound is the longest accepted delay of the control loop. A longer delay
	// means that the process was paused and that its view is stale.
	PauseBound time.Duration
	// ListInterval is the time between reads of the VM list. After failures the
	// interval backs off up to ListMaxInterval.
	ListInterval    time.Duration
	ListMaxInterval time.Duration
	// DomainFanout is the maximum number of entries of the own domain contacted in one
	// Interval, RemoteFanout that of entries of other domains contacted in one
	// RemoteInterval.
	DomainFanout int
	RemoteFanout int
	// DomainFacts and RemoteFacts are the maximum numbers of facts gossiped in one
	// heartbeat to an entry of the own domain and of another domain.
	DomainFacts int
	RemoteFacts int
}

func (c Config) withDefaults() (Config, error) {
	if c.Self == "" || c.Domain == "" || c.Address == "" {
		return c, ErrNoIdentity
	}
	setDefault(&c.Interval, DefaultInterval)
	setDefault(&c.RemoteInterval, DefaultRemoteInterval)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.DeadAfter, DefaultDeadAfter)
	setDefault(&c.RemoteDeadAfter, DefaultRemoteDeadAfter)
	setDefault(&c.ExpireAfter, DefaultExpireAfter)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.PauseBound, DefaultPauseBound)
	setDefault(&c.ListInterval, DefaultListInterval)
	setDefault(&c.ListMaxInterval, DefaultListMaxInterval)
	setDefault(&c.DomainFanout, DefaultDomainFanout)
	setDefault(&c.RemoteFanout, DefaultRemoteFanout)
	setDefault(&c.DomainFacts, DefaultDomainFacts)
	setDefault(&c.RemoteFacts, DefaultRemoteFacts)
	return c, nil
}

func setDefault[T time.Duration | int](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
