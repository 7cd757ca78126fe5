// Package journal stores the accepted and unfinished jobs of a failure domain in
// a stream of the platform's log, so that they survive the failure of their
// owner. Events of many jobs are written in one append (group commit). Every
// append is conditional on the tail that the writer knows, so that an owner can't
// write after the takeover by a newer one.
package journal

import (
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// ErrFenced is returned once a newer owner has taken the stream over.
var ErrFenced = errors.New("journal: a newer owner writes the journal; stop and forward to that owner")

const (
	streamPrefix = "jobs."
	// maxGroupBytes is the largest size of the new events of one append, in
	// bytes. A single larger job forms a group of its own.
	maxGroupBytes = 448 << 10
	// maxJobBytes is the largest encoded job that the journal accepts, in
	// bytes.
	maxJobBytes = devplatform.MaxRecordBytes - batchOverhead
	// batchOverhead is an upper bound of the encoded size of a batch without
	// its events, in bytes.
	batchOverhead = 4 << 10
)

// Stream returns the name of the log stream of a failure domain.
func Stream(domain state.DomainID) string { return streamPrefix + string(domain) }

// Config configures a Journal. Log, Domain and Epoch are required; zero durations
// and limits take their defaults.
type Config struct {
	Log    devplatform.Log
	Domain state.DomainID
	Epoch  devplatform.Epoch
	// OnRecovered is called by Run once, with the unfinished jobs of earlier
	// owners, oldest first.
	OnRecovered func([]Job)
	// OnStalled is called by Run each time that the log fails before the
	// recovery is complete.
	OnStalled func(error)
	Logger    hclog.Logger

	// MaxDelay is how long an event waits for others to share its append.
	MaxDelay time.Duration
	// AppendsPerSecond is the highest rate of appends.
	AppendsPerSecond float64
	// MaxPending is the largest size of the events that wait for the log, in
	// bytes.
	MaxPending int
	// CompactAfter is the age of the base at which a compaction starts. It must
	// be well below the retention of the log.
	CompactAfter time.Duration
	// CompactBytes is the size of the records that a new owner would have to
	// read, in bytes, below which only CompactAfter starts a compaction.
	CompactBytes int
	// CallTimeout bounds one call to the log.
	CallTimeout time.Duration

	// unconditional makes appends ignore the tail and newer owners. Only tests
	// set it.
	unconditional bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxDelay, 20*time.Millisecond)
	setDefault(&c.AppendsPerSecond, 25)
	setDefault(&c.MaxPending, 32<<20)
	setDefault(&c.CompactAfter, 5*time.Minute)
	setDefault(&c.CompactBytes, 8<<20)
	setDefault(&c.CallTimeout, 2*time.Second)
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// openJob is a job that has not ended.
type openJob struct {
	job    Job
	commit *Commit
	// written reports whether a record with the job may be in the log.
	written    bool
	finalState state.JobState
	// order is the position in the order in which jobs were added.
	order int
}

// pendingEvent is an event to write: the acceptance of a job, or its end.
type pendingEvent struct {
	job *openJob
	end bool
}

// group is the set of events that share one append.
type group struct {
	events []pendingEvent
	bytes  int
	commit *Commit
	// sent reports that the group's append has started, so that no more events
	// may be added.
	sent bool
}

// Journal writes the journal of one owner of a shard. Run must be called once;
// all other methods are safe for concurrent use.
type Journal struct {
	cfg     Config
	log     hclog.Logger
	limiter *rate.Limiter
	wake    chan struct{}
	writer  writer

	mu      sync.Mutex
	open    map[state.JobID]*openJob
	groups  []*group
	pending int
	// openBytes is the size of the open jobs, in bytes.
	openBytes int
	order     int
	// endCommits holds the commits of the ends of idempotent jobs that are not in
	// the log yet.
	endCommits map[state.JobID]*Commit
	fenced     bool
}

// New returns a Journal. It queues events at once and writes them in Run.
func New(cfg Config) *Journal {
	cfg = cfg.withDefaults()
	return &Journal{
		cfg:        cfg,
		log:        cfg.Logger,
		limiter:    rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), 1),
		wake:       make(chan struct{}, 1),
		open:       map[state.JobID]*openJob{},
		endCommits: map[state.JobID]*Commit{},
	}
}

// Accept adds an accepted job and returns its commit; for a job that is already
// known, the existing one. The commit reports at once that the job is not stored
// if the journal is fenced, the job is too large, or too many events are pending.
func (j *Journal) Accept(job Job) *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	if known, ok := j.open[job.ID]; ok {
		return known.commit
	}
	size := job.size()
	if j.fenced || size > maxJobBytes || j.pending+size > j.cfg.MaxPending {
		return resolvedCommit(false)
	}
	o := &openJob{job: job}
	j.insert(o)
	o.commit = j.add(pendingEvent{job: o}, size)
	return o.commit
}

// insert adds a job to the open jobs.
func (j *Journal) insert(o *openJob) {
	j.order++
	o.order = j.order
	j.open[o.job.ID] = o
	j.openBytes += o.job.size()
}

// End adds the end of a job and returns its commit. It writes nothing for a job
// that the journal does not know or that was never written to the log.
func (j *Journal) End(id state.JobID, s state.JobState) *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	o, ok := j.open[id]
	if !ok {
		return resolvedCommit(true)
	}
	delete(j.open, id)
	j.openBytes -= o.job.size()
	o.finalState = s
	switch {
	case !o.written:
		return resolvedCommit(true)
	case j.fenced:
		return j.trackEndCommit(o, resolvedCommit(false))
	}
	return j.trackEndCommit(o, j.add(pendingEvent{job: o, end: true}, endEventSize+escapedBytes*len(id)))
}

func (j *Journal) trackEndCommit(o *openJob, c *Commit) *Commit {
	if o.job.Idempotent {
		j.endCommits[o.job.ID] = c
	}
	return c
}

// AcceptCommit returns the commit of an unfinished job, or nil if the journal does
// not know the job.
func (j *Journal) AcceptCommit(id state.JobID) *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o, ok := j.open[id]; ok {
		return o.commit
	}
	return nil
}

// Written reports whether an unfinished job may be in the log, so that a new
// owner may find it, and whether it is idempotent, so that this owner may run it
// again.
func (j *Journal) Written(id state.JobID) (written, idempotent bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	o, ok := j.open[id]
	if !ok {
		return false, false
	}
	return o.written, o.job.Idempotent
}

// EndCommit returns the commit of the end of an idempotent job, or nil if no such
// end is pending. Until the end is stored, a new owner may run the job again.
func (j *Journal) EndCommit(id state.JobID) *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.endCommits[id]
}

// LastCommit returns a commit that covers every event added so far.
func (j *Journal) LastCommit() *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.groups) == 0 {
		return resolvedCommit(!j.fenced)
	}
	return j.groups[len(j.groups)-1].commit
}

// add appends an event to the last group, or to a new one if that is sent or full.
func (j *Journal) add(o pendingEvent, size int) *Commit {
	j.pending += size
	last := len(j.groups) - 1
	if last < 0 || j.groups[last].sent || j.groups[last].bytes+size > maxGroupBytes {
		j.groups = append(j.groups, &group{commit: newCommit()})
		last = len(j.groups) - 1
	}
	g := j.groups[last]
	g.events = append(g.events, o)
	g.bytes += size
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return g.commit
}
