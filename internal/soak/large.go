package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/platform/fakewire"
)

// largeShape is the form of a job at a bound of what is accepted, or just over it.
type largeShape struct {
	// counts holds the tasks of each step.
	counts  []int
	gang    bool
	lasting bool
	// payload is the number of bytes of the payload; 0 for no padding.
	payload int
	// repeat is the number of occurrences, which are due every periodMS.
	repeat   int
	periodMS int64
	// over is set for a job that must be refused, short for one that ends within the run.
	over, short bool
}

const hourMS = 3_600_000

// largeShapes are at the bounds in docs/CONFIGURATION.md, each followed by one over the same bound.
// The state of the first two takes 36,864 bytes.
var largeShapes = []largeShape{
	{counts: append(slices.Repeat([]int{20_000}, 14), 12_032)},
	{counts: append(slices.Repeat([]int{20_000}, 14), 12_033), over: true},
	{counts: slices.Repeat([]int{960}, 256)},
	{counts: slices.Repeat([]int{1}, 257), over: true},
	{counts: []int{1}, repeat: 1_000_000, periodMS: 1},
	{counts: []int{1}, repeat: 1_000_001, periodMS: 1, over: true},
	{counts: []int{1}, repeat: 4, periodMS: 600, short: true, payload: 4_000},
	{counts: []int{1}, payload: 4_001, over: true},
	{counts: []int{3_000}, gang: true},
	{counts: []int{3_001}, gang: true, over: true},
	{counts: []int{1}, repeat: 1_000_000, periodMS: hourMS},
	{counts: []int{3_001}, lasting: true, over: true},
	{counts: []int{20_001}, over: true},
}

const (
	// largeInterval is the pause between two submissions of such jobs.
	largeInterval = 600 * time.Millisecond
	// firstAfter is how long after its submission the first occurrence of a job is due.
	firstAfter = 400 * time.Millisecond
	// largeEnd bounds the time until the jobs that don't end within the run are cancelled.
	largeEnd = 10 * time.Second
	// largeCPUMilli is the demand of their tasks: some 240 fit the runners, so that calls to the fake stay
	// quick and the rest wait.
	largeCPUMilli = 400
)

// runLarge submits jobs of largeShapes in turn, until stop is closed.
func (c *callers) runLarge(stop chan struct{}) {
	n := 0
	c.submitRegularly(stop, largeInterval, largeStream, func(r *rand.Rand) (*sentJob, []byte) {
		shape := &largeShapes[n%len(largeShapes)]
		n++
		spec := fakewire.Spec{RunMS: int64(200 + r.IntN(600)), CPU: largeCPUMilli, Anonymous: true, Repeat: shape.repeat, PeriodMS: shape.periodMS}
		if shape.repeat > 0 {
			spec.FirstMS = time.Now().Add(firstAfter).UnixMilli()
		}
		if shape.lasting {
			spec.RunMS = -1
		}
		job := &sentJob{tasks: shape.counts[0], occurrences: shape.repeat, prefix: fakewire.OpenPrefix, overBound: shape.over, large: !shape.over && !shape.short}
		return job, fakewire.SizedJob(spec, shape.counts, shape.gang, shape.payload)
	})
}

// cancelLarge cancels the jobs that don't end within the run, also those whose acceptance is not known.
func (c *callers) cancelLarge() {
	until := time.Now().Add(largeEnd)
	var group sync.WaitGroup
	defer group.Wait()
	for id, job := range c.jobs {
		if !job.large {
			continue
		}
		job.cancelSent = true
		group.Go(func() {
			for i := 0; !job.cancelled && time.Now().Before(until); i++ {
				status := c.call(http.MethodDelete, c.cluster.entries[i%len(c.cluster.entries)], id, nil)
				if status == http.StatusGone && !job.acked {
					return
				}
				job.cancelled = status/100 == 2
				if !job.cancelled {
					time.Sleep(lastingSampleInterval)
				}
			}
		})
	}
}

// checkOverBound checks that a job over a bound was refused by the first entry that routed it and was
// never started.
func (c *callers) checkOverBound(report *Report, id string, job *sentJob) {
	if job.invalid {
		report.Invalid++
	}
	// Entries without a configuration answer 503, and faults leave calls without an answer.
	for _, status := range job.statuses {
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusBadRequest {
			report.Problems = append(report.Problems, fmt.Sprintf("REFUSED: job %s is over a bound but was answered with status %d", id, status))
		}
	}
	if n := c.cluster.fleet.StartsOf(id); n > 0 {
		report.Problems = append(report.Problems, fmt.Sprintf("REFUSED: job %s is over a bound but %d runs were started", id, n))
	}
}
