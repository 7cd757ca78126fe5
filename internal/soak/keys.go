package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

const (
	// openInterval is the pause between two submissions to a queue that needs no key; every second
	// one carries an unknown key.
	openInterval = 200 * time.Millisecond
	unknownKey   = "unknown-key"
)

// runOpen submits jobs to a queue that needs no key, half of them with an unknown key.
func (c *callers) runOpen(stop chan struct{}) {
	n := 0
	c.submitRegularly(stop, openInterval, openStream, func(r *rand.Rand) (*sentJob, []byte) {
		n++
		job := &sentJob{tasks: 1, prefix: fakewire.OpenPrefix}
		if n%2 == 0 {
			job.key = unknownKey
		}
		spec := fakewire.Spec{RunMS: int64(50 + r.IntN(200)), CPU: 100, Anonymous: true}
		return job, fakewire.Job(spec, spec.CPU, 1, false)
	})
}

// checkUnknownKey checks that a job that was submitted with an unknown key was refused and never
// started.
func (c *callers) checkUnknownKey(report *Report, id string, job *sentJob) {
	if job.unauthorized {
		report.Unauthorized++
	}
	if job.acked {
		report.Problems = append(report.Problems, fmt.Sprintf("ROUTE: job %s with an unknown key was accepted", id))
	}
	if n := c.cluster.fleet.Starts(id + ".0.0.0"); n > 0 {
		report.Problems = append(report.Problems, fmt.Sprintf("ROUTE: a task of job %s with an unknown key was started %d times", id, n))
	}
	for _, e := range c.cluster.entries {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			if status := c.call(method, e, id, nil); status != http.StatusUnauthorized {
				report.Problems = append(report.Problems, fmt.Sprintf("ROUTE: %s answers a %s of job %s with an unknown key with status %d", e.name, method, id, status))
			}
		}
	}
}

// keyFor returns the key of the calls for a job, or "" for none.
func (j *sentJob) keyFor() string {
	switch {
	case j.key != "" || j.prefix == fakewire.OpenPrefix:
		return j.key
	case j.lasting:
		return fakewire.LastingKey
	}
	return fakewire.Key
}
