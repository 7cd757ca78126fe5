package apiclient

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	pathJobs = "/v1/jobs"
	pathIDs  = "/v1/ids"
	// jobPollInterval is the minimum time between two polls of a job's status.
	jobPollInterval = 100 * time.Millisecond
)

func jobPath(id state.JobID) string { return pathJobs + "/" + url.PathEscape(string(id)) }

// IssueIDs returns count new job IDs. Errors are *v1.Refusal and *UnreachableError,
// or an untyped error if the entry returns another number of IDs.
func (c *Client) IssueIDs(ctx context.Context, count int) ([]state.JobID, error) {
	var batch v1.IDBatch
	err := c.doIdempotent(ctx, &apiCall{method: http.MethodPost, path: pathIDs, body: v1.IDRequest{Count: count}}, &batch)
	if err != nil {
		return nil, err
	}
	if len(batch.IDs) != count {
		return nil, eris.Errorf("apiclient: the entry issued %d job IDs in place of %d; update the entry or the client", len(batch.IDs), count)
	}
	return batch.IDs, nil
}

// Submit submits a job. If the request has no ID and the client has a key, Submit
// first obtains an ID from an entry, so that the submission can be retried with the
// same ID after a lost response. Errors are *v1.Refusal, *UnreachableError and
// *OutcomeUnknownError.
func (c *Client) Submit(ctx context.Context, request v1.SubmitRequest) (v1.JobStatus, error) {
	s := &submission{client: c, request: request, issueID: request.ID == "" && c.cfg.Key != ""}
	var status v1.JobStatus
	err := c.retry(ctx, func() error { return s.attempt(ctx, &status) }, s.decideRetry)
	return status, s.finalError(err)
}

// submission is the state of one Submit call across its attempts.
type submission struct {
	client  *Client
	request v1.SubmitRequest
	// issueID says that the job ID is obtained from an entry.
	issueID bool
	// responseLost says that a response to a call with the current ID was lost.
	responseLost bool
}

func (s *submission) attempt(ctx context.Context, status *v1.JobStatus) error {
	if s.issueID && s.request.ID == "" {
		ids, err := s.client.IssueIDs(ctx, 1)
		if err != nil {
			return &issueIDError{err: err}
		}
		s.request.ID = ids[0]
		s.request.FirstAttempt = true
	}
	call := &apiCall{
		method:     http.MethodPost,
		path:       pathJobs,
		body:       s.request,
		serverWait: s.serverWait(),
	}
	err := s.client.sendToAnyEntry(ctx, call, status)
	if isResponseLost(err) {
		s.responseLost = true
		s.clearFirstAttempt()
		if s.client.newIDOnRetry {
			s.resetID()
		}
	}
	return err
}

// serverWait returns how long the entry may hold the call open. A request waits for
// its end even if WaitMS is 0, and an empty class may become request by the default
// of the queue.
func (s *submission) serverWait() time.Duration {
	mayBeRequest := s.request.Class == "" || s.request.Class == state.ClassRequest
	if s.request.WaitMS == 0 && mayBeRequest {
		return v1.MaxWait
	}
	return time.Duration(s.request.WaitMS) * time.Millisecond
}

// decideRetry retries after a lost response only if the retry carries the same job
// ID. A refusal with the verdict state.NotRun proves that the job did not run, so the
// retry may use a new ID.
func (s *submission) decideRetry(err error) retryDecision {
	var refusal *v1.Refusal
	switch {
	case isIssueIDError(err):
		return retryDecision{}
	case isResponseLost(err):
		return retryDecision{retry: s.request.ID != "" || s.client.newIDOnRetry}
	case !errors.As(err, &refusal):
		return retryDecision{retry: isUnreachable(err)}
	case refusal.RetryAfterMS == 0:
		return retryDecision{}
	case refusal.NotRun == state.NotRun:
		s.resetID()
		return retryDecision{retry: true, delay: refusal.RetryAfter()}
	}
	s.clearFirstAttempt()
	return retryDecision{retry: refusal.NotRun == state.Unknown && s.request.ID != "", delay: refusal.RetryAfter()}
}

// clearFirstAttempt records that an earlier call may have carried the job ID.
func (s *submission) clearFirstAttempt() {
	s.request.FirstAttempt = s.request.FirstAttempt && s.client.keepFirstAttempt
}

// resetID prepares a retry after an attempt that is known not to have run the job. An
// ID that was issued for the attempt is dropped.
func (s *submission) resetID() {
	s.clearFirstAttempt()
	if s.issueID {
		s.request.ID = ""
		s.responseLost = false
	}
}

// finalError converts the error of the last attempt to the error that Submit returns.
// A refusal is returned even after a lost response, because its verdict covers all
// calls with the job ID.
func (s *submission) finalError(err error) error {
	var issue *issueIDError
	if errors.As(err, &issue) {
		return issue.err
	}
	var refusal *v1.Refusal
	if err == nil || errors.As(err, &refusal) || !s.responseLost {
		return err
	}
	return &OutcomeUnknownError{Call: http.MethodPost + " " + pathJobs, Job: s.request.ID, Err: err}
}

// issueIDError reports that no job ID was issued, so that nothing was submitted.
type issueIDError struct{ err error }

func (e *issueIDError) Error() string { return e.err.Error() }

func isIssueIDError(err error) bool {
	var issue *issueIDError
	return errors.As(err, &issue)
}

// Job returns the status of a job. It waits up to wait, at most v1.MaxWait, for the
// job to end. Errors are *v1.Refusal and *UnreachableError.
func (c *Client) Job(ctx context.Context, id state.JobID, wait time.Duration) (v1.JobStatus, error) {
	wait = min(wait, v1.MaxWait)
	call := &apiCall{method: http.MethodGet, path: jobPath(id), serverWait: wait}
	if wait > 0 {
		call.query = url.Values{"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	}
	var status v1.JobStatus
	err := c.doIdempotent(ctx, call, &status)
	return status, err
}

// Wait polls a job until it has ended and returns its status. It fails with a
// *WaitTimeoutError if ctx ends first, and with the errors of Job.
func (c *Client) Wait(ctx context.Context, id state.JobID) (v1.JobStatus, error) {
	last := v1.JobStatus{ID: id}
	for {
		status, err := c.Job(ctx, id, remaining(ctx, v1.MaxWait))
		if err != nil && ctx.Err() == nil {
			return status, err
		}
		if err == nil {
			last = status
		}
		if last.State != "" && last.State.Ended() {
			return last, nil
		}
		if err := sleep(ctx, jobPollInterval); err != nil {
			return last, &WaitTimeoutError{Last: last, Err: err}
		}
	}
}

// Cancel cancels a job and returns its status. Errors are *v1.Refusal,
// *UnreachableError and *OutcomeUnknownError.
func (c *Client) Cancel(ctx context.Context, id state.JobID) (v1.JobStatus, error) {
	var status v1.JobStatus
	err := c.doIdempotent(ctx, &apiCall{method: http.MethodDelete, path: jobPath(id), jobID: id}, &status)
	return status, err
}

// remaining returns the time until the deadline of ctx, at least 0 and at most limit.
func remaining(ctx context.Context, limit time.Duration) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return max(0, min(limit, time.Until(end)))
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
