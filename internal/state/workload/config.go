package workload

import (
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Advice describes the cost of advice requests for the jobs of a queue.
type Advice struct {
	// DecisionMS is the base duration of a request, PerUpstreamMS the additional
	// duration for each upstream in it, both in milliseconds.
	DecisionMS    float64
	PerUpstreamMS float64
	// ValidMS is how long a ticket is valid.
	ValidMS int64
}

// CallMS returns the duration of a request about n upstreams, in milliseconds.
func (a *Advice) CallMS(n int) float64 { return a.DecisionMS + a.PerUpstreamMS*float64(n) }

// Queue is the target of job submissions.
type Queue struct {
	Name QueueName
	// Host and PathPrefix select the queue for a caller's request.
	Host       string
	PathPrefix string
	// Service is the pool that runs the queue's tasks.
	Service ServiceName
	// Priority ranks queues; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of a task at which its job fails; 0 for no
	// limit.
	MaxAttempts int
	// A job is on time if it takes at most Stretch times its longest chain of steps,
	// plus TargetMS.
	Stretch  float64
	TargetMS int64
	// TimeoutMS is the time limit of a caller's request.
	TimeoutMS int64
	// Anonymous queues accept requests without an API key.
	Anonymous bool
	// Advice is nil if any upstream of the service may run the tasks.
	Advice *Advice
}

// Workspace is the contract of a customer team.
type Workspace struct {
	Name WorkspaceName
	// Keys are the API keys of the team.
	Keys []string
	// Weight is the team's share under full load, in jobs per second.
	Weight float64
	// Maximum is the quota for the team's running tasks; a resource with 0 is
	// unlimited.
	Maximum state.Vector
}

// Service is a pool of upstreams.
type Service struct {
	Name ServiceName
	// EnforcesCapacity says that the upstreams refuse tasks for which they lack capacity.
	EnforcesCapacity bool
	// Standby pools have their VMs switched off.
	Standby    bool
	HealthPath string
	// ColdPerSecond is the maximum rate of starts on an upstream that is still slow after its
	// start; 0 for no limit.
	ColdPerSecond float64
}

// CallerLimits bounds what an entry reads from a caller.
type CallerLimits struct {
	HeaderBytes     int
	BodyBytes       int64
	HeaderTimeoutMS int64
	IdleTimeoutMS   int64
}

// Config is one version of the operators' configuration. Once indexed, it is read-only
// and safe for concurrent use.
type Config struct {
	Version    int64
	Queues     []Queue
	Workspaces []Workspace
	Services   []Service
	Limits     CallerLimits

	queues     map[QueueName]*Queue
	workspaces map[WorkspaceName]*Workspace
	keys       map[string]WorkspaceName
	hosts      map[string][]*Queue
}

// Index builds the lookup tables. It must be called once before any lookup.
func (c *Config) Index() {
	c.queues = make(map[QueueName]*Queue, len(c.Queues))
	c.hosts = map[string][]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.queues[q.Name] = q
		host := strings.ToLower(q.Host)
		c.hosts[host] = append(c.hosts[host], q)
	}
	c.workspaces = make(map[WorkspaceName]*Workspace, len(c.Workspaces))
	c.keys = map[string]WorkspaceName{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		c.workspaces[w.Name] = w
		for _, key := range w.Keys {
			c.keys[key] = w.Name
		}
	}
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name QueueName) *Queue { return c.queues[name] }

// Workspace returns the workspace with the given name, or nil.
func (c *Config) Workspace(name WorkspaceName) *Workspace { return c.workspaces[name] }

// Service returns the service with the given name, or nil. The list is short.
func (c *Config) Service(name ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// WorkspaceOfKey returns the workspace that an API key belongs to, and whether there is
// one.
func (c *Config) WorkspaceOfKey(key string) (WorkspaceName, bool) {
	name, ok := c.keys[key]
	return name, ok
}

// Route returns the queue of the host whose path prefix is the longest match, and the
// rest of the path. The port of the host is ignored. The queue is nil if none matches.
func (c *Config) Route(host, path string) (queue *Queue, rest string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, q := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.PathPrefix) && (queue == nil || len(q.PathPrefix) > len(queue.PathPrefix)) {
			queue = q
		}
	}
	if queue == nil {
		return nil, ""
	}
	return queue, path[len(queue.PathPrefix):]
}

// Upstream is the registration of an upstream, which runs tasks.
type Upstream struct {
	ID      UpstreamID
	Service ServiceName
	Address string
	Domain  state.DomainID
	// StartedUnixMS is when the upstream started, in Unix milliseconds; it identifies
	// the incarnation among those with the same ID.
	StartedUnixMS int64
	Draining      bool
	// RemainingMS is the least time until a draining upstream shuts down.
	RemainingMS int64
	// ColdLeftMS is how much longer the upstream is slow after its start.
	ColdLeftMS int64
	Capacity   state.Vector
	// Labels holds the kind of the upstream, followed by its rack.
	Labels  []string
	Machine string
}

// HasLabel reports whether the upstream has a label.
func (u *Upstream) HasLabel(label string) bool {
	for _, l := range u.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Rack returns the upstream's rack, or "" if it has none.
func (u *Upstream) Rack() string {
	if len(u.Labels) > 1 {
		return u.Labels[len(u.Labels)-1]
	}
	return ""
}
