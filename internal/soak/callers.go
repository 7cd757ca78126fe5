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

// callers submit jobs and remember what they were told.
type callers struct {
	opts    Options
	cluster *cluster
	client  *http.Client

	mu   sync.Mutex
	jobs map[string]*sent
}

// sent is a job as its caller knows it.
type sent struct {
	acked, rejected, unknown bool
	// cancelSent is set once a cancellation was sent, cancelled once it was
	// acknowledged.
	cancelSent, cancelled bool
	tasks                 int
}

const (
	// submitEvery is the pause between two jobs.
	submitEvery = 40 * time.Millisecond
	// callDeadline is how long a caller waits for an answer.
	callDeadline = 3 * time.Second
	// attempts is how often a caller tries a job.
	attempts = 3
)

func newCallers(opts Options) *callers {
	return &callers{opts: opts, client: &http.Client{Timeout: callDeadline}, jobs: map[string]*sent{}}
}

// submitted reports whether a job was ever sent.
func (c *callers) submitted(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[job] != nil
}

func (c *callers) run(stop chan struct{}) {
	r := rand.New(rand.NewPCG(c.opts.Seed, 3))
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(submitEvery):
		}
		id := fmt.Sprintf("%016x", r.Uint64())
		width := 1 + r.IntN(4)
		cpu := int64(500 + r.IntN(2000))
		body := fakewire.Job(fakewire.Spec{RunMS: int64(50 + r.IntN(600)), CPU: cpu}, cpu, width, r.IntN(4) == 0)
		cancel := r.IntN(12) == 0
		first := r.IntN(len(c.cluster.entries))
		c.mu.Lock()
		job := &sent{tasks: width}
		c.jobs[id] = job
		c.mu.Unlock()
		group.Go(func() { c.submit(id, job, body, first, cancel) })
	}
}

// submit tries a job at one entry after the other, as callers do.
func (c *callers) submit(id string, job *sent, body []byte, first int, cancel bool) {
	for i := range attempts {
		e := c.cluster.entries[(first+i)%len(c.cluster.entries)]
		status := c.call(http.MethodPost, e, id, body)
		c.mu.Lock()
		switch {
		case status/100 == 2:
			job.acked = true
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			job.rejected = true
		default:
			job.unknown = true
		}
		acked := job.acked
		c.mu.Unlock()
		if acked {
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
	if acked && c.call(http.MethodDelete, c.cluster.entries[first], id, nil)/100 == 2 {
		c.mu.Lock()
		job.cancelled = true
		c.mu.Unlock()
	}
}

// call makes one request and returns its status, or 0 without an answer.
func (c *callers) call(method string, e *entry, id string, body []byte) int {
	status, _ := c.ask(method, e, id, body)
	return status
}

func (c *callers) ask(method string, e *entry, id string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.callers+fakewire.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+fakewire.Key)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	data, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err != nil || closeErr != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return resp.StatusCode, ""
	}
	return resp.StatusCode, answer.State
}

// verify asks for every job until all have ended or the time is over.
func (c *callers) verify(wait time.Duration) Report {
	var report Report
	deadline := time.Now().Add(wait)
	for id, job := range c.jobs {
		if job.acked {
			report.Accepted++
		} else if job.rejected && !job.unknown {
			report.Rejected++
		} else {
			report.Unknown++
		}
		if !job.acked {
			continue
		}
		state := c.final(id, deadline)
		switch {
		case job.cancelSent && state == "cancelled", job.cancelled && state == "complete":
		case !job.cancelled && state == "complete":
			report.Complete++
			c.checkComplete(&report, id, job)
		default:
			report.Problems = append(report.Problems, fmt.Sprintf("LOST: job %s was accepted (cancelled %v) and is shown as %q", id, job.cancelled, state))
		}
	}
	for id, job := range c.jobs {
		if job.rejected && !job.unknown && !job.acked && c.cluster.fleet.Starts(id+".0.0.0") > 0 {
			report.Problems = append(report.Problems, fmt.Sprintf("REFUSED: job %s was refused by all and has run", id))
		}
	}
	return report
}

// checkComplete compares what a caller was shown with what the runners saw.
func (c *callers) checkComplete(report *Report, id string, job *sent) {
	for i := range job.tasks {
		if c.cluster.fleet.Starts(fmt.Sprintf("%s.0.0.%d", id, i)) == 0 {
			report.Problems = append(report.Problems, fmt.Sprintf("MIXED: job %s is complete and its task %d never ran", id, i))
		}
	}
	if n := c.cluster.fleet.Running(id); n > 0 {
		report.Problems = append(report.Problems, fmt.Sprintf("MIXED: job %s is complete and %d runs go on", id, n))
	}
}

// final returns the last state that an entry shows for a job.
func (c *callers) final(id string, deadline time.Time) string {
	state := ""
	for i := 0; ; i++ {
		status, shown := c.ask(http.MethodGet, c.cluster.entries[i%len(c.cluster.entries)], id, nil)
		switch status {
		case http.StatusOK:
			state = shown
		case http.StatusGone:
			state = "gone"
		}
		if state == "complete" || state == "cancelled" || state == "failed" || time.Now().After(deadline) {
			return state
		}
		time.Sleep(100 * time.Millisecond)
	}
}
