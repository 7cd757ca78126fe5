package routing

import (
	"context"
	"crypto/rand"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	"github.com/samphirerail/samphirerail/internal/coordination/retry"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/jobid"
)

const tracerName = "github.com/samphirerail/samphirerail/internal/coordination/routing"

// LocalOwner is the owner in this process. All its errors are *state.Refusal.
type LocalOwner interface {
	// Owns reports whether this process owns the shard and accepts work for it.
	Owns(shard coordination.ShardID) bool
	Submit(ctx context.Context, shard coordination.ShardID, s coordination.Submission) (coordination.JobStatus, error)
	Get(ctx context.Context, shard coordination.ShardID, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error)
	Cancel(ctx context.Context, shard coordination.ShardID, team state.TeamID, id state.JobID) (coordination.JobStatus, error)
}

// Router implements coordination.JobService. It is safe for concurrent use.
type Router struct {
	self    coordination.EntryID
	domain  state.DomainID
	members func() *membership.Snapshot
	local   LocalOwner
	peers   coordination.Peers
	limiter *retry.Limiter
	tracer  trace.Tracer
	cfg     Config
	// trustLaterVerdicts passes on a "not run" that follows an attempt without a
	// response. Only tests set it, to show that this verdict can be wrong.
	trustLaterVerdicts bool
}

var _ coordination.JobService = (*Router)(nil)

// New returns a Router for the entry self in a domain. members returns the current
// membership.
func New(self coordination.EntryID, domain state.DomainID, members func() *membership.Snapshot, local LocalOwner, peers coordination.Peers, cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		self:    self,
		domain:  domain,
		members: members,
		local:   local,
		peers:   peers,
		limiter: retry.NewLimiter(cfg.Retry),
		tracer:  otel.Tracer(tracerName),
		cfg:     cfg,
	}
}

// IssueIDs returns n new job IDs whose home is this entry's domain, or another one while it
// is evacuated.
func (r *Router) IssueIDs(n int) []state.JobID {
	home := r.domain
	if r.cfg.Home != nil {
		home = r.cfg.Home()
	}
	ids := make([]state.JobID, 0, n)
	for range n {
		// crypto/rand.Reader never fails.
		id, _ := jobid.New(home, time.Now(), rand.Reader)
		ids = append(ids, id)
	}
	return ids
}

// Submit sends a job to the owner of its home shard. Every error is a *state.Refusal
// whose verdict is NotRun only if no owner can have started the job.
func (r *Router) Submit(ctx context.Context, s coordination.Submission) (coordination.JobStatus, error) {
	if s.ID == "" {
		s.ID = r.IssueIDs(1)[0]
		s.Fresh = true
	}
	shard, err := r.homeShard(s.ID)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	if s.RetriesLeft == 0 && s.Hops == 0 {
		s.RetriesLeft = r.cfg.Retries
	}
	ctx, span := r.tracer.Start(ctx, "route submit", trace.WithAttributes(
		attribute.String("job.id", string(s.ID)), attribute.String("shard", string(shard))))
	defer span.End()
	c := &call{
		router:     r,
		shard:      shard,
		submission: s,
		attempts:   r.limiter.Begin(s.RetriesLeft),
		search:     r.newSearch(shard),
		started:    time.Now(),
	}
	status, err := c.submit(ctx)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return status, err
}

// Get returns a job's status from the owner of its home shard, after waiting for the
// job's end for at most wait. Every error is a *state.Refusal.
func (r *Router) Get(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	shard, err := r.homeShard(id)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	ctx, span := r.tracer.Start(ctx, "route get", trace.WithAttributes(attribute.String("job.id", string(id))))
	defer span.End()
	local := func(ctx context.Context) (coordination.JobStatus, error) {
		return r.local.Get(ctx, shard, team, id, wait)
	}
	remote := func(ctx context.Context, address string) (coordination.JobStatus, error) {
		return r.peers.Get(ctx, address, team, id, wait)
	}
	return r.callOwner(ctx, shard, id, wait, local, remote)
}

// Cancel cancels a job at the owner of its home shard. Every error is a
// *state.Refusal.
func (r *Router) Cancel(ctx context.Context, team state.TeamID, id state.JobID) (coordination.JobStatus, error) {
	shard, err := r.homeShard(id)
	if err != nil {
		return coordination.JobStatus{}, err
	}
	ctx, span := r.tracer.Start(ctx, "route cancel", trace.WithAttributes(attribute.String("job.id", string(id))))
	defer span.End()
	local := func(ctx context.Context) (coordination.JobStatus, error) {
		return r.local.Cancel(ctx, shard, team, id)
	}
	remote := func(ctx context.Context, address string) (coordination.JobStatus, error) {
		return r.peers.Cancel(ctx, address, team, id)
	}
	return r.callOwner(ctx, shard, id, 0, local, remote)
}

// homeShard returns the home shard of a job, which deduplicates its submissions.
func (r *Router) homeShard(id state.JobID) (coordination.ShardID, error) {
	parts, err := jobid.Parse(id)
	if err != nil {
		return "", invalidID(id)
	}
	return coordination.DomainShard(parts.Home, 0), nil
}
