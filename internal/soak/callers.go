package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

// callers submits jobs at a fixed interval and records the replies to each of them.
type callers struct {
	opts    Options
	cluster *cluster
	client  *http.Client

	mu   sync.Mutex
	jobs map[string]*sentJob
	// lasting are the long-running jobs.
	lasting []lastingJob
	// longestIdle is the longest time for which a task of them had no run.
	longestIdle time.Duration
}

// sentJob records the replies that a caller received for one job.
type sentJob struct {
	// acked, rejected and unknown are set by an acknowledged submission, by a
	// refusal (429 or 503) and by any other outcome. A retried job may have
	// several of them set.
	acked, rejected, unknown bool
	// cancelSent is set before a cancellation is sent, cancelled when it has been
	// acknowledged.
	cancelSent, cancelled bool
	// crashes is set if the tasks crash the runners that start them.
	crashes bool
	// lasting is set for a long-running job.
	lasting bool
	tasks   int
	// prefix is the path prefix of the job's queue, key the key of its calls if it is unknown.
	prefix, key string
	// unauthorized is set by a refusal of the key.
	unauthorized bool
	// occurrences is the number of times that the job repeats.
	occurrences int
	// large is set for a job that doesn't end before it is cancelled, overBound for one that must be
	// refused, invalid once it was; statuses are the answers to such a job.
	large, overBound, invalid bool
	statuses                  []int
}

const (
	// submitInterval is the pause between two submissions.
	submitInterval = 40 * time.Millisecond
	// sparseInterval is the same beside long-running jobs and long tasks: the work fits the workspace's limit,
	// so that none waits for long at the end of a run of minutes.
	sparseInterval = 160 * time.Millisecond
	// callTimeout bounds one HTTP request.
	callTimeout = 3 * time.Second
	// maxAttempts is how often a caller submits a job that is not acknowledged.
	maxAttempts = 3
)

func newCallers(opts Options) *callers {
	return &callers{opts: opts, client: &http.Client{Timeout: callTimeout}, jobs: map[string]*sentJob{}}
}

// submitted reports whether a job has been submitted at least once.
func (c *callers) submitted(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[job] != nil
}

// run submits random jobs until stop is closed, and then waits for the calls in
// flight.
func (c *callers) run(stop chan struct{}) {
	r := rand.New(rand.NewPCG(c.opts.Seed, 3))
	interval := submitInterval
	if c.opts.LastingJobs || c.opts.SilentRestarts {
		interval = sparseInterval
	}
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		id := fmt.Sprintf("%016x", r.Uint64())
		width := 1 + r.IntN(4)
		cpu := int64(500 + r.IntN(2000))
		body := fakewire.Job(fakewire.Spec{RunMS: int64(50 + r.IntN(600)), CPU: cpu}, cpu, width, r.IntN(4) == 0)
		cancel := r.IntN(12) == 0
		firstEntry := r.IntN(len(c.cluster.entries))
		c.mu.Lock()
		job := &sentJob{tasks: width, prefix: fakewire.Prefix}
		c.jobs[id] = job
		c.mu.Unlock()
		group.Go(func() { c.submit(id, job, body, firstEntry, cancel) })
	}
}

const (
	// lateInterval is the pause between two submissions of a job whose tasks take lateFactor
	// times as long as declared.
	lateInterval = 500 * time.Millisecond
	lateRunMS    = 1000
	lateFactor   = 6
)

// runLate submits jobs with tasks that resume from checkpoints and take much longer than
// declared. On a slow runner they end too late, on a fast one in time. Each has an image of its
// own: once an image is known to take longer than declared, its tasks avoid slow runners and none
// has to be moved.
func (c *callers) runLate(stop chan struct{}) {
	n := 0
	c.submitRegularly(stop, lateInterval, lateStream, func(*rand.Rand) (*sentJob, []byte) {
		n++
		spec := fakewire.Spec{RunMS: lateRunMS, ActualMS: lateFactor * lateRunMS, CPU: 300, Checkpoints: true, Image: fmt.Sprintf("late-%d", n)}
		return &sentJob{tasks: 1, prefix: fakewire.PatientPrefix}, fakewire.Job(spec, spec.CPU, 1, false)
	})
}

// Streams of random numbers of the further submissions, which leave that of the others alone.
const lateStream, crashingStream, lastingStream, openStream, largeStream, lateOrdersStream = 4, 5, 7, 20, 21, 22

// submitRegularly submits a job that next makes after each interval, until stop is closed, and
// then waits for the calls in flight.
func (c *callers) submitRegularly(stop chan struct{}, interval time.Duration, stream uint64, next func(r *rand.Rand) (*sentJob, []byte)) {
	r := rand.New(rand.NewPCG(c.opts.Seed, stream))
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		id := fmt.Sprintf("%016x", r.Uint64())
		job, body := next(r)
		firstEntry := r.IntN(len(c.cluster.entries))
		c.mu.Lock()
		c.jobs[id] = job
		c.mu.Unlock()
		group.Go(func() { c.submit(id, job, body, firstEntry, false) })
	}
}

// submit submits a job, retrying at the next entry until one acknowledges it. If
// cancel is set, it then cancels an acknowledged job.
func (c *callers) submit(id string, job *sentJob, body []byte, firstEntry int, cancel bool) {
	for i := range maxAttempts {
		e := c.cluster.entries[(firstEntry+i)%len(c.cluster.entries)]
		status := c.call(http.MethodPost, e, id, body)
		c.mu.Lock()
		switch {
		case status/100 == 2:
			job.acked = true
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			job.rejected = true
		case status == http.StatusUnauthorized:
			job.unauthorized = true
		case job.overBound && status == http.StatusBadRequest:
			job.invalid = true
		default:
			job.unknown = true
		}
		if job.overBound {
			job.statuses = append(job.statuses, status)
		}
		answered := job.acked || job.unauthorized || job.invalid
		c.mu.Unlock()
		if answered {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !cancel {
		return
	}
	c.mu.Lock()
	acked := job.acked
	job.cancelSent = acked
	c.mu.Unlock()
	if acked && c.call(http.MethodDelete, c.cluster.entries[firstEntry], id, nil)/100 == 2 {
		c.mu.Lock()
		job.cancelled = true
		c.mu.Unlock()
	}
}

// call makes one request and returns its HTTP status, or 0 if there was no response.
func (c *callers) call(method string, e *entry, id string, body []byte) int {
	status, _ := c.request(method, e, id, body)
	return status
}

// get requests a path and returns the HTTP status, or 0 if there was no response.
func (c *callers) get(e *entry, path string) int {
	status, _ := c.send(http.MethodGet, e, path, fakewire.Key, nil)
	return status
}

// request makes one request for a job and returns its HTTP status and the job state in
// the reply. It returns 0 if there was no complete response.
func (c *callers) request(method string, e *entry, id string, body []byte) (int, string) {
	c.mu.Lock()
	job := c.jobs[id]
	c.mu.Unlock()
	return c.send(method, e, job.prefix+id, job.keyFor(), body)
}

// send makes one request for a path with a key, or with none if it is empty; see request.
func (c *callers) send(method string, e *entry, path, key string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	data, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err != nil || closeErr != nil {
		return 0, ""
	}
	var reply struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &reply) != nil {
		return resp.StatusCode, ""
	}
	return resp.StatusCode, reply.State
}

// checkConfiguration publishes two changes, of which one is large, and checks that each
// is in force at every entry in time. It returns the violations.
func (c *callers) checkConfiguration() []string {
	time.Sleep(recoveryTime)
	var problems []string
	for range 2 {
		c.cluster.publishConfig()
		version, published := c.cluster.newestVersion(), time.Now()
		for _, e := range c.cluster.entries {
			status := c.get(e, fakewire.VersionPrefix(version))
			for status != http.StatusOK && time.Since(published) < applyBound {
				time.Sleep(10 * time.Millisecond)
				status = c.get(e, fakewire.VersionPrefix(version))
			}
			if status != http.StatusOK {
				problems = append(problems, fmt.Sprintf("CONFIG: %s answers with status %d for a queue of version %d, published %s ago", e.name, status, version, time.Since(published).Round(time.Millisecond)))
			}
		}
	}
	return problems
}

// verify polls the state of every acknowledged job until all have ended or wait has
// passed, and compares it with the replies to the callers and the runs on the runners.
func (c *callers) verify(wait time.Duration) Report {
	var report Report
	deadline := time.Now().Add(wait)
	for _, l := range c.lasting {
		if l.job.acked {
			c.checkLasting(&report, l.id, l.job, deadline)
		}
	}
	for id, job := range c.jobs {
		if job.key != "" {
			c.checkUnknownKey(&report, id, job)
			continue
		}
		if job.overBound {
			c.checkOverBound(&report, id, job)
			continue
		}
		if job.acked {
			report.Accepted++
		} else if job.rejected && !job.unknown {
			report.Rejected++
		} else {
			report.Unknown++
		}
		if !job.acked || job.lasting {
			continue
		}
		state := c.finalState(id, deadline)
		switch {
		case job.cancelSent && state == "cancelled", job.cancelled && state == "complete":
		case state == "failed" && c.mayHaveFailed(id):
			report.GivenUp++
			if !job.crashes {
				report.Innocent++
			}
		case job.crashes && state == "complete":
			report.Problems = append(report.Problems, fmt.Sprintf("MIXED: job %s crashes every runner but is reported complete", id))
		case !job.cancelled && state == "complete":
			report.Complete++
			c.checkComplete(&report, id, job)
		default:
			report.Problems = append(report.Problems, fmt.Sprintf("LOST: job %s was accepted (cancelled %v) but its reported state is %q", id, job.cancelled, state))
		}
	}
	for id, job := range c.jobs {
		if job.rejected && !job.unknown && !job.acked && c.cluster.fleet.Starts(id+".0.0.0") > 0 {
			report.Problems = append(report.Problems, fmt.Sprintf("REFUSED: job %s was refused by every entry but was started", id))
		}
	}
	return report
}

// checkComplete checks that every task of a job reported as complete was started and
// that none is still running.
func (c *callers) checkComplete(report *Report, id string, job *sentJob) {
	for occurrence := range max(1, job.occurrences) {
		for i := range job.tasks {
			if c.cluster.fleet.Starts(fmt.Sprintf("%s.%d.0.%d", id, occurrence, i)) == 0 {
				report.Problems = append(report.Problems, fmt.Sprintf("MIXED: job %s is reported complete but its task %d of occurrence %d was never started", id, i, occurrence))
			}
		}
	}
	if n := c.cluster.fleet.Running(id); n > 0 {
		report.Problems = append(report.Problems, fmt.Sprintf("MIXED: job %s is reported complete but %d of its runs are still running", id, n))
	}
}

// finalState polls the entries in turn until one reports a final state of the job or
// the deadline has passed, and returns the last state reported.
func (c *callers) finalState(id string, deadline time.Time) string {
	state := ""
	for i := 0; ; i++ {
		status, reported := c.request(http.MethodGet, c.cluster.entries[i%len(c.cluster.entries)], id, nil)
		switch status {
		case http.StatusOK:
			state = reported
		case http.StatusGone:
			state = "gone"
		}
		if state == "complete" || state == "cancelled" || state == "failed" || time.Now().After(deadline) {
			return state
		}
		time.Sleep(100 * time.Millisecond)
	}
}
