// Package journal keeps the accepted and unfinished jobs of a failure domain in
// a stream of the platform's log, so that they outlive their owner. Many entries
// share one append. Every append is conditional on the tail that the writer
// knows, so that an owner can't write past the takeover of a newer one.
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

// ErrFenced says that a newer owner has taken the stream over.
var ErrFenced = errors.New("journal: a newer owner writes the journal; stop and forward to that owner")

const (
	streamPrefix = "jobs."
	// maxGroupBytes bounds the entries of one append that were added since
	// the last one, but for a single larger job.
	maxGroupBytes = 448 << 10
	// maxJobBytes is the largest encoded job that the journal takes.
	maxJobBytes = devplatform.MaxRecordBytes - batchOverhead
	// batchOverhead bounds the encoded size of a batch without its entries.
	batchOverhead = 4 << 10
)

// Stream returns the name of the log stream of a failure domain.
func Stream(domain state.DomainID) string { return streamPrefix + string(domain) }

// Config is what a Journal is made of. DefaultLimits fills what is zero.
type Config struct {
	Log    devplatform.Log
	Domain state.DomainID
	Epoch  devplatform.Epoch
	// OnRecovered is called once, from Run, with the unfinished jobs of
	// earlier owners, oldest first.
	OnRecovered func([]Job)
	// OnStalled is called, from Run, each time that the log fails before
	// OnRecovered was called.
	OnStalled func(error)
	Logger    hclog.Logger

	// MaxDelay is how long an entry may wait for others to share its append.
	MaxDelay time.Duration
	// AppendsPerSecond bounds the appends.
	AppendsPerSecond float64
	// MaxPending bounds the entries that wait for the log, in bytes.
	MaxPending int
	// CarryAfter is the age of the base at which unfinished jobs are written
	// again; it must lie well inside the retention of the log.
	CarryAfter time.Duration
	// CarryBytes is the least size of what a new owner would have to read,
	// in bytes, at which unfinished jobs are written again.
	CarryBytes int
	// Call bounds one call to the log.
	Call time.Duration

	// unconditional appends without regard to the tail and to newer owners.
	unconditional bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxDelay, 20*time.Millisecond)
	setDefault(&c.AppendsPerSecond, 25)
	setDefault(&c.MaxPending, 32<<20)
	setDefault(&c.CarryAfter, 5*time.Minute)
	setDefault(&c.CarryBytes, 8<<20)
	setDefault(&c.Call, 2*time.Second)
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
	// written says that a record with the job may be in the log.
	written bool
	ended   state.JobState
	// order rises from job to job.
	order int
}

// op is an entry to write: the acceptance of the job, or its end.
type op struct {
	job *openJob
	end bool
}

// group is what shares one append.
type group struct {
	ops    []op
	bytes  int
	commit *Commit
	// sent says that the group is on its way to the log and takes no more.
	sent bool
}

// Journal writes the journal of one owner of a shard. Accept, End, Accepted and
// Ending are safe for concurrent use; Run is called once.
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
	// openBytes is the size of the open jobs.
	openBytes int
	order     int
	// ending are the ends of idempotent jobs that are not in the log yet.
	ending map[state.JobID]*Commit
	fenced bool
}

// New returns a Journal that writes once Run is called.
func New(cfg Config) *Journal {
	cfg = cfg.withDefaults()
	return &Journal{
		cfg:     cfg,
		log:     cfg.Logger,
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), 1),
		wake:    make(chan struct{}, 1),
		open:    map[state.JobID]*openJob{},
		ending:  map[state.JobID]*Commit{},
	}
}

// Accept adds an accepted job. A job that is known already is not added again.
func (j *Journal) Accept(job Job) *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	if known, ok := j.open[job.ID]; ok {
		return known.commit
	}
	size := job.size()
	if j.fenced || size > maxJobBytes || j.pending+size > j.cfg.MaxPending {
		return settled(false)
	}
	o := &openJob{job: job}
	j.insert(o)
	o.commit = j.add(op{job: o}, size)
	return o.commit
}

// insert makes a job known.
func (j *Journal) insert(o *openJob) {
	j.order++
	o.order = j.order
	j.open[o.job.ID] = o
	j.openBytes += o.job.size()
}

// End adds the end of a job. A job that the journal does not know is left out.
func (j *Journal) End(id state.JobID, s state.JobState) *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	o, ok := j.open[id]
	if !ok {
		return settled(true)
	}
	delete(j.open, id)
	j.openBytes -= o.job.size()
	o.ended = s
	switch {
	case !o.written:
		return settled(true)
	case j.fenced:
		return j.noteEnding(o, settled(false))
	}
	return j.noteEnding(o, j.add(op{job: o, end: true}, endedSize+len(id)))
}

func (j *Journal) noteEnding(o *openJob, c *Commit) *Commit {
	if o.job.Idempotent {
		j.ending[o.job.ID] = c
	}
	return c
}

// Accepted returns the commit of an unfinished job; nil when there is none.
func (j *Journal) Accepted(id state.JobID) *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o, ok := j.open[id]; ok {
		return o.commit
	}
	return nil
}

// Written reports whether an unfinished job may be in the log, so that a new
// owner may find it. Idempotent tells whether that owner may then run it.
func (j *Journal) Written(id state.JobID) (written, idempotent bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	o, ok := j.open[id]
	if !ok {
		return false, false
	}
	return o.written, o.job.Idempotent
}

// Ending returns the commit of the end of an idempotent job, which a new owner
// may run again until the end is stored; nil when none waits.
func (j *Journal) Ending(id state.JobID) *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ending[id]
}

// Last returns the commit of everything added so far.
func (j *Journal) Last() *Commit {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.groups) == 0 {
		return settled(!j.fenced)
	}
	return j.groups[len(j.groups)-1].commit
}

// add puts an entry into the group to be written last.
func (j *Journal) add(o op, size int) *Commit {
	j.pending += size
	last := len(j.groups) - 1
	if last < 0 || j.groups[last].sent || j.groups[last].bytes+size > maxGroupBytes {
		j.groups = append(j.groups, &group{commit: newCommit()})
		last = len(j.groups) - 1
	}
	g := j.groups[last]
	g.ops = append(g.ops, o)
	g.bytes += size
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return g.commit
}
