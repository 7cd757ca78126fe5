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
	// pollPause is the least time between two reads of a job's status.
	pollPause = 100 * time.Millisecond
)

func jobPath(id state.JobID) string { return pathJobs + "/" + url.PathEscape(string(id)) }

// IssueIDs returns count fresh job IDs. Errors are *v1.Refusal and
// *UnreachableError.
func (c *Client) IssueIDs(ctx context.Context, count int) ([]state.JobID, error) {
	var batch v1.IDBatch
	err := c.do(ctx, &call{method: http.MethodPost, path: pathIDs, body: v1.IDRequest{Count: count}}, &batch)
	if err != nil {
		return nil, err
	}
	if len(batch.IDs) != count {
		return nil, eris.Errorf("apiclient: the entry issued %d job IDs in place of %d; update the entry or the client", len(batch.IDs), count)
	}
	return batch.IDs, nil
}

// Submit submits a job. Without an ID in the request, and with a key, it takes
// one from the entry first, so that a submission whose answer was lost can be
// repeated with the same ID. Errors are *v1.Refusal, *UnreachableError and
// *OutcomeUnknownError.
func (c *Client) Submit(ctx context.Context, request v1.SubmitRequest) (v1.JobStatus, error) {
	s := &submission{client: c, request: request, issue: request.ID == "" && c.cfg.Key != ""}
	var status v1.JobStatus
	err := c.repeat(ctx, func() error { return s.attempt(ctx, &status) }, s.judge)
	return status, s.settle(err)
}

// submission is a job on its way to an entry.
type submission struct {
	client  *Client
	request v1.SubmitRequest
	// issue says that the ID comes from the entry.
	issue bool
	// lost says that an answer about the present ID was lost.
	lost bool
}

func (s *submission) attempt(ctx context.Context, status *v1.JobStatus) error {
	if s.issue && s.request.ID == "" {
		ids, err := s.client.IssueIDs(ctx, 1)
		if err != nil {
			return &issueError{err: err}
		}
		s.request.ID = ids[0]
		s.request.FirstAttempt = true
	}
	do := &call{
		method: http.MethodPost,
		path:   pathJobs,
		body:   s.request,
		wait:   s.wait(),
	}
	err := s.client.exchange(ctx, do, status)
	if isLost(err) {
		s.lost = true
		s.withdrawPromise()
		if s.client.newIDs {
			s.renew()
		}
	}
	return err
}

// wait is how long the entry may hold the call. The class may come from the
// queue, and a request waits even when it does not say how long.
func (s *submission) wait() time.Duration {
	mayBeRequest := s.request.Class == "" || s.request.Class == state.ClassRequest
	if s.request.WaitMS == 0 && mayBeRequest {
		return v1.MaxWait
	}
	return time.Duration(s.request.WaitMS) * time.Millisecond
}

// judge repeats a lost submission only with its ID. A refusal that proves that
// the job did not run frees the client to take a fresh ID.
func (s *submission) judge(err error) verdict {
	var refusal *v1.Refusal
	switch {
	case isIssueError(err):
		return verdict{}
	case isLost(err):
		return verdict{again: s.request.ID != "" || s.client.newIDs}
	case !errors.As(err, &refusal):
		return verdict{again: isUnreachable(err)}
	case refusal.RetryAfterMS == 0:
		return verdict{}
	case refusal.NotRun == state.NotRun:
		s.renew()
		return verdict{again: true, after: refusal.RetryAfter()}
	}
	s.withdrawPromise()
	return verdict{again: refusal.NotRun == state.Unknown && s.request.ID != "", after: refusal.RetryAfter()}
}

// withdrawPromise notes that an earlier call may have carried the ID.
func (s *submission) withdrawPromise() {
	s.request.FirstAttempt = s.request.FirstAttempt && s.client.keepPromise
}

// renew prepares a new attempt after one that is known not to have run.
func (s *submission) renew() {
	s.withdrawPromise()
	if s.issue {
		s.request.ID = ""
		s.lost = false
	}
}

// settle turns the last error into the one that the caller sees. The verdict of
// a refusal is about the job, whatever was lost before.
func (s *submission) settle(err error) error {
	var issue *issueError
	if errors.As(err, &issue) {
		return issue.err
	}
	var refusal *v1.Refusal
	if err == nil || errors.As(err, &refusal) || !s.lost {
		return err
	}
	return &OutcomeUnknownError{Call: http.MethodPost + " " + pathJobs, Job: s.request.ID, Err: err}
}

// issueError says that no job ID was issued, so that nothing was submitted.
type issueError struct{ err error }

func (e *issueError) Error() string { return e.err.Error() }

func isIssueError(err error) bool {
	var issue *issueError
	return errors.As(err, &issue)
}

// Job returns the status of a job after waiting for its end for at most wait,
// which is cut to v1.MaxWait. Errors are *v1.Refusal and *UnreachableError.
func (c *Client) Job(ctx context.Context, id state.JobID, wait time.Duration) (v1.JobStatus, error) {
	wait = min(wait, v1.MaxWait)
	do := &call{method: http.MethodGet, path: jobPath(id), wait: wait}
	if wait > 0 {
		do.query = url.Values{"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	}
	var status v1.JobStatus
	err := c.do(ctx, do, &status)
	return status, err
}

// Wait returns the status of a job once it has ended. It fails with a
// *WaitTimeoutError when ctx ends first, and as Job does.
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
		if err := pause(ctx, pollPause); err != nil {
			return last, &WaitTimeoutError{Last: last, Err: err}
		}
	}
}

// Cancel cancels a job and returns its status. Errors are *v1.Refusal,
// *UnreachableError and *OutcomeUnknownError.
func (c *Client) Cancel(ctx context.Context, id state.JobID) (v1.JobStatus, error) {
	var status v1.JobStatus
	err := c.do(ctx, &call{method: http.MethodDelete, path: jobPath(id), job: id}, &status)
	return status, err
}

// remaining returns the time left of ctx, at most limit.
func remaining(ctx context.Context, limit time.Duration) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return max(0, min(limit, time.Until(end)))
}

// pause waits for d. It fails when ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
