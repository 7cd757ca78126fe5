package workload

import (
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Advice says what a call to the advice service costs for jobs of a queue.
type Advice struct {
	// DecisionMS is the time of a call, PerUpstreamMS what each upstream that
	// is asked about adds.
	DecisionMS    float64
	PerUpstreamMS float64
	// ValidMS is how long a ticket can be used.
	ValidMS int64
}

// CallMS returns the time of a call about n upstreams, in milliseconds.
func (a *Advice) CallMS(n int) float64 { return a.DecisionMS + a.PerUpstreamMS*float64(n) }

// Queue is where jobs are submitted.
type Queue struct {
	Name QueueName
	// Host and PathPrefix select the queue for a caller's request.
	Host       string
	PathPrefix string
	// Service is the pool that runs the queue's tasks.
	Service ServiceName
	// Priority 0 goes first.
	Priority    int
	MaxAttempts int
	// A job is on time when it takes at most Stretch times its longest chain
	// of work and TargetMS more.
	Stretch  float64
	TargetMS int64
	// TimeoutMS bounds one request of a caller.
	TimeoutMS int64
	// Anonymous queues need no key.
	Anonymous bool
	// Advice is nil when any upstream of the service may run the tasks.
	Advice *Advice
}

// Workspace is the contract of a customer team.
type Workspace struct {
	Name WorkspaceName
	// Keys are the API keys of the team.
	Keys []string
	// Weight is the team's share when all is full, in jobs a second.
	Weight float64
	// Maximum bounds what the team may have running; 0 in a part for no bound.
	Maximum state.Vector
}

// Service is a pool of upstreams.
type Service struct {
	Name ServiceName
	// GuardsCapacity says that upstreams refuse tasks for which they have no room.
	GuardsCapacity bool
	// Standby pools have their VMs switched off.
	Standby    bool
	HealthPath string
}

// CallerLimits bounds what an entry reads from a caller.
type CallerLimits struct {
	HeaderBytes     int
	BodyBytes       int64
	HeaderTimeoutMS int64
	IdleTimeoutMS   int64
}

// Config is one version of what the operators configured.
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

// Index prepares the look-ups. It must be called once before them.
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

// Queue returns the queue with a name, or nil.
func (c *Config) Queue(name QueueName) *Queue { return c.queues[name] }

// Workspace returns the workspace with a name, or nil.
func (c *Config) Workspace(name WorkspaceName) *Workspace { return c.workspaces[name] }

// KeyOwner returns the workspace that a key belongs to.
func (c *Config) KeyOwner(key string) (WorkspaceName, bool) {
	name, ok := c.keys[key]
	return name, ok
}

// Route returns the queue with the longest path prefix that matches a request,
// and the rest of the path; nil when there is none.
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

// Upstream is a runner of tasks as it registered itself.
type Upstream struct {
	ID      UpstreamID
	Service ServiceName
	Address string
	Domain  state.DomainID
	// BornUnixMS tells lives of an upstream with the same ID apart.
	BornUnixMS int64
	Draining   bool
	// RemainingMS is the least time that a draining upstream stays.
	RemainingMS int64
	Capacity    state.Vector
	// Labels are the kind of the upstream and its rack.
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

// Rack returns the upstream's rack, or "".
func (u *Upstream) Rack() string {
	if len(u.Labels) > 1 {
		return u.Labels[len(u.Labels)-1]
	}
	return ""
}
