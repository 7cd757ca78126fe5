package membership

import (
	"errors"
	"time"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// The defaults of Config.
const (
	DefaultInterval        = 500 * time.Millisecond
	DefaultRemoteInterval  = 2 * time.Second
	DefaultSuspectAfter    = 1250 * time.Millisecond
	DefaultDeadAfter       = 2 * time.Second
	DefaultRemoteDeadAfter = time.Minute
	DefaultForgetAfter     = 10 * time.Minute
	DefaultCallTimeout     = time.Second
	DefaultPauseBound      = time.Second
	DefaultListInterval    = 2 * time.Second
	DefaultListMaxInterval = 15 * time.Second
	DefaultDomainFanout    = 4
	DefaultRemoteFanout    = 1
	DefaultDomainFacts     = 3
	DefaultRemoteFacts     = 6
)

// ErrNoIdentity says that the configuration lacks the entry's own identity.
var ErrNoIdentity = errors.New("membership: entry ID, domain or address is empty; set them in the settings")

// Config is what a Service needs to know. A zero duration or count takes its
// default.
type Config struct {
	Self    coordination.EntryID
	Domain  state.DomainID
	Address string
	// Seeds are addresses (IP:port) of entries to contact at the start.
	Seeds []string
	// Interval is the time between heartbeats to an entry of the own domain.
	Interval time.Duration
	// RemoteInterval is the time between rounds of heartbeats to entries of
	// other domains and to entries that are dead or not yet known.
	RemoteInterval time.Duration
	// SuspectAfter and DeadAfter are the silences after which an entry of the
	// own domain is suspected and dead.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// RemoteDeadAfter is DeadAfter for entries of other domains. With many of
	// them it is longer: a RemoteInterval for each.
	RemoteDeadAfter time.Duration
	// ForgetAfter is how long a silent entry that the VM list does not name
	// is still contacted.
	ForgetAfter time.Duration
	// CallTimeout bounds one heartbeat call.
	CallTimeout time.Duration
	// PauseBound is the delay of the own loop beyond which the entry was
	// paused and what it knows is stale.
	PauseBound time.Duration
	// ListInterval is the time between reads of the VM list; after failures
	// it grows to ListMaxInterval.
	ListInterval    time.Duration
	ListMaxInterval time.Duration
	// DomainFanout is the most entries of the own domain contacted in one
	// Interval, RemoteFanout those of other domains in one RemoteInterval.
	DomainFanout int
	RemoteFanout int
	// DomainFacts and RemoteFacts are the most facts passed on in a heartbeat
	// to an entry of the own domain and of another domain.
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
	setDefault(&c.ForgetAfter, DefaultForgetAfter)
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
