package httpapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/samphirerail/samphirerail/internal/coordination"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/callerlimit"
)

// submit handles POST /v1/jobs.
func (a *api) submit(c *gin.Context) {
	if refusal := a.refusedBeforeBody(c.Request); refusal != nil {
		refuse(c, refusal)
		return
	}
	var request v1.SubmitRequest
	err := readMessage(c, MaxBodyBytes, &request)
	team, refusal := a.submittingTeam(c, &request)
	if refusal != nil {
		refuseSubmission(c, refusal, &request)
		return
	}
	if err == nil {
		err = request.Validate()
	}
	if err != nil {
		refuse(c, bodyRefusal(err))
		return
	}
	if refusal := a.admit(team, &request); refusal != nil {
		refuseSubmission(c, refusal, &request)
		return
	}
	if request.ID == "" {
		request.ID = a.Jobs.IssueIDs(1)[0]
		request.FirstAttempt = true
	}
	status, err := a.Jobs.Submit(c.Request.Context(), request.Submission(team))
	if err != nil {
		refuseJob(c, request.ID, err)
		return
	}
	replySubmitted(c, request.ID, status)
}

// refusedBeforeBody refuses a long submission with a key that is not valid before its body is read.
// The verdict is unknown, because the body may name a job that has run. Without a key, the queue
// that the body names decides.
func (a *api) refusedBeforeBody(r *http.Request) *v1.Refusal {
	if _, hasKey := bearer(r); !hasKey || !callerlimit.LongBody(r) {
		return nil
	}
	_, refusal := identify(a.Auth, r)
	if refusal != nil {
		refusal.NotRun = state.Unknown
	}
	return refusal
}

// submittingTeam returns the team whose quota a submission counts against. Only
// open queues accept a submission without a key.
func (a *api) submittingTeam(c *gin.Context, request *v1.SubmitRequest) (state.TeamID, *v1.Refusal) {
	queue, found := a.Auth.Queue(request.Queue)
	open := found && queue.Open
	if _, hasKey := bearer(c.Request); !hasKey && open {
		return a.applyQueue(request, queue), nil
	}
	identity, refusal := identify(a.Auth, c.Request)
	if refusal != nil {
		return "", refusal
	}
	if open {
		return a.applyQueue(request, queue), nil
	}
	if identity.Team == "" {
		return "", forbidden("an operator's key runs no jobs", "use a key of a team")
	}
	if request.Queue == "" {
		return identity.Team, nil
	}
	if !found || queue.Team != identity.Team {
		return "", forbidden("the key's team has no queue "+strconv.Quote(string(request.Queue)), "name a queue of the team, an open queue, or none")
	}
	return a.applyQueue(request, queue), nil
}

// applyQueue sets the defaults of the queue in the request and returns the
// queue's team.
func (a *api) applyQueue(request *v1.SubmitRequest, queue Queue) state.TeamID {
	if request.Class == "" {
		request.Class = queue.DefaultClass
	}
	return queue.Team
}

// admit runs the admission checks that this entry can make on its own: the job
// class, the team's contract and its submit rate.
func (a *api) admit(team state.TeamID, request *v1.SubmitRequest) *v1.Refusal {
	if request.Class == "" {
		refusal := v1.RefusalOf(&v1.FieldError{Field: "class", Problem: "is missing and the queue has no default class", Remedy: "use request, batch, gang or standing"})
		return &refusal
	}
	quota, ok := a.Auth.Quota(team)
	if !ok {
		a.limiter.remove(team)
		return forbidden("the team has no contract", "ask an operator for a contract")
	}
	delay := a.limiter.reserve(team, quota, time.Now())
	if delay == 0 {
		return nil
	}
	return &v1.Refusal{
		Reason:       state.ReasonRateExceeded,
		NotRun:       state.NotRun,
		Detail:       "the team submits more than " + strconv.FormatFloat(quota.SubmitRate, 'g', -1, 64) + " jobs a second here",
		Remedy:       "submit again after the given time, or ask an operator for a higher submit rate",
		RetryAfterMS: max(delay.Milliseconds(), 1),
	}
}

// refuseSubmission refuses a submission that this entry did not forward. An
// earlier call with the same job ID may have been forwarded, so the outcome is
// unknown unless the caller marked the call as the first attempt.
func refuseSubmission(c *gin.Context, refusal *v1.Refusal, request *v1.SubmitRequest) {
	if request.ID != "" && v1.CheckJobID(request.ID) == nil {
		refusal.ID = request.ID
		if !request.FirstAttempt {
			refusal.NotRun = state.Unknown
		}
	}
	refuse(c, refusal)
}

// refuseJob responds with an error that the job service returned for a job.
func refuseJob(c *gin.Context, id state.JobID, err error) {
	refusal := v1.RefusalOf(err)
	if refusal.Reason == v1.ReasonInternal {
		_ = c.Error(err)
	}
	refusal.ID = id
	refuse(c, &refusal)
}

// replySubmitted responds to a submission with the status that the job service
// returned.
func replySubmitted(c *gin.Context, id state.JobID, status coordination.JobStatus) {
	switch status.State {
	case state.JobRefused, state.JobUnknown:
		if status.Refusal != nil {
			refuseJob(c, id, status.Refusal)
			return
		}
		refuseJob(c, id, errors.New("httpapi: the job was refused without a reason"))
	case state.JobQueued, state.JobRunning:
		c.Header("Location", "/v1/jobs/"+string(status.ID))
		reply(c, http.StatusAccepted, v1.NewJobStatus(status))
	default:
		reply(c, http.StatusOK, v1.NewJobStatus(status))
	}
}

// authenticateJobCall returns the caller's team and the job ID of a call about an
// existing job. If it returns false, it has sent a refusal. The verdict of an
// authentication refusal is unknown, because the job may have run.
func (a *api) authenticateJobCall(c *gin.Context) (state.TeamID, state.JobID, bool) {
	identity, refusal := identify(a.Auth, c.Request)
	if refusal == nil && identity.Team == "" {
		refusal = forbidden("an operator's key has no jobs", "use a key of the job's team, or GET /v1/jobs/{id}/explain")
	}
	if refusal != nil {
		refusal.NotRun = state.Unknown
		refuse(c, refusal)
		return "", "", false
	}
	id := state.JobID(c.Param("id"))
	if err := v1.CheckJobID(id); err != nil {
		refuseError(c, err)
		return "", "", false
	}
	return identity.Team, id, true
}

// get handles GET /v1/jobs/{id}.
func (a *api) get(c *gin.Context) {
	team, id, ok := a.authenticateJobCall(c)
	if !ok {
		return
	}
	wait, err := waitParam(c)
	if err != nil {
		refuseError(c, err)
		return
	}
	status, err := a.await(c.Request.Context(), team, id, wait)
	if err != nil {
		refuseJob(c, id, err)
		return
	}
	reply(c, http.StatusOK, v1.NewJobStatus(status))
}

// await waits up to wait for the job to end. If the entry starts draining first,
// it returns the job's current status, so that shutdown does not interrupt the
// call.
func (a *api) await(ctx context.Context, team state.TeamID, id state.JobID, wait time.Duration) (coordination.JobStatus, error) {
	if wait == 0 {
		return a.Jobs.Get(ctx, team, id, 0)
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(a.Health.draining, cancel)
	defer stop()
	status, err := a.Jobs.Get(waitCtx, team, id, wait)
	if err != nil && waitCtx.Err() != nil && ctx.Err() == nil {
		return a.Jobs.Get(ctx, team, id, 0)
	}
	return status, err
}

// waitParam parses the wait_ms query parameter; 0 if it is absent.
func waitParam(c *gin.Context) (time.Duration, error) {
	text := c.Query("wait_ms")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > v1.MaxWait.Milliseconds() {
		limit := strconv.FormatInt(v1.MaxWait.Milliseconds(), 10)
		return 0, &v1.FieldError{Field: "wait_ms", Problem: "is not a number from 0 to " + limit, Remedy: "send milliseconds inside the range"}
	}
	return time.Duration(n) * time.Millisecond, nil
}

// cancel handles DELETE /v1/jobs/{id}.
func (a *api) cancel(c *gin.Context) {
	team, id, ok := a.authenticateJobCall(c)
	if !ok {
		return
	}
	status, err := a.Jobs.Cancel(c.Request.Context(), team, id)
	if err != nil {
		refuseJob(c, id, err)
		return
	}
	reply(c, http.StatusOK, v1.NewJobStatus(status))
}

// issueIDs handles POST /v1/ids.
func (a *api) issueIDs(c *gin.Context) {
	if _, refusal := identify(a.Auth, c.Request); refusal != nil {
		refuse(c, refusal)
		return
	}
	var request v1.IDRequest
	err := readMessage(c, MaxBodyBytes, &request)
	if err == nil {
		err = request.Validate()
	}
	if err != nil {
		refuse(c, bodyRefusal(err))
		return
	}
	reply(c, http.StatusOK, v1.IDBatch{IDs: a.Jobs.IssueIDs(request.Count)})
}
