package loadtool

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// The longest latency that is recorded, and the number of significant decimal digits.
const (
	maxLatency    = 10 * time.Minute
	latencyDigits = 3
)

// Report holds the results of a run.
type Report struct {
	Target  string  `json:"target"`
	Sent    int     `json:"sent"`
	Seconds float64 `json:"seconds"`
	// Rate is the number of completed calls per second, whatever their outcome.
	Rate float64 `json:"rate"`
	// Latency is that of the jobs that succeeded, counted from their due times.
	Latency Latency `json:"latency"`
	// SendDelay is the delay between the due time of a job and its sending by the tool.
	SendDelay Latency        `json:"send_delay"`
	Outcomes  []OutcomeCount `json:"outcomes"`
}

// Latency holds percentiles of a latency in milliseconds.
type Latency struct {
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// OutcomeCount is the number of calls that had an outcome.
type OutcomeCount struct {
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
}

// Count returns the number of calls that had an outcome.
func (r *Report) Count(outcome Outcome) int {
	for _, c := range r.Outcomes {
		if c.Outcome == outcome {
			return c.Count
		}
	}
	return 0
}

// recorder collects the measurements of one caller.
type recorder struct {
	latency  *hdr.Histogram
	delay    *hdr.Histogram
	outcomes map[Outcome]int
}

func newRecorder() *recorder {
	return &recorder{latency: newHistogram(), delay: newHistogram(), outcomes: map[Outcome]int{}}
}

func newHistogram() *hdr.Histogram {
	return hdr.New(1, maxLatency.Microseconds(), latencyDigits)
}

// measure makes a call to the target and records its delay, outcome and latency. start is
// the start of the run.
func (r *recorder) measure(ctx context.Context, target Target, call *Call, start time.Time) {
	due := start.Add(call.due)
	record(r.delay, time.Since(due))
	outcome := target.Do(ctx, call)
	r.outcomes[outcome]++
	if outcome == OutcomeSucceeded {
		record(r.latency, time.Since(due))
	}
}

// record adds a duration to a histogram. A duration out of range is clamped to it.
func record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, 0), maxLatency).Microseconds())
}

// newReport merges the measurements of all callers.
func newReport(name string, recorders []*recorder, elapsed time.Duration) *Report {
	r := &Report{Target: name, Seconds: elapsed.Seconds()}
	latency, delay := newHistogram(), newHistogram()
	outcomes := map[Outcome]int{}
	for _, rec := range recorders {
		latency.Merge(rec.latency)
		delay.Merge(rec.delay)
		for outcome, n := range rec.outcomes {
			outcomes[outcome] += n
			r.Sent += n
		}
	}
	for outcome, n := range outcomes {
		r.Outcomes = append(r.Outcomes, OutcomeCount{Outcome: outcome, Count: n})
	}
	slices.SortFunc(r.Outcomes, func(a, b OutcomeCount) int { return cmp.Compare(a.Outcome, b.Outcome) })
	r.Latency = summarize(latency)
	r.SendDelay = summarize(delay)
	r.Rate = float64(r.Sent) / r.Seconds
	return r
}

func summarize(h *hdr.Histogram) Latency {
	milliseconds := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
	return Latency{P50MS: milliseconds(50), P90MS: milliseconds(90), P99MS: milliseconds(99), P999MS: milliseconds(99.9), MaxMS: float64(h.Max()) / 1000}
}

// WriteJSON writes the reports as one JSON array.
func WriteJSON(w io.Writer, reports []*Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(reports), "load: can't write the reports as JSON")
}

// WriteTable writes a table with one line per report, and a second one with the count of
// each outcome.
func WriteTable(w io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "target\tsent\tper second\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\tsent late p99 ms")
	for _, r := range reports {
		l := r.Latency
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n",
			r.Target, r.Sent, r.Rate, l.P50MS, l.P90MS, l.P99MS, l.P999MS, l.MaxMS, r.SendDelay.P99MS)
	}
	fmt.Fprintln(table, "\ntarget\toutcome\tcount")
	for _, r := range reports {
		for _, c := range r.Outcomes {
			fmt.Fprintf(table, "%s\t%s\t%d\n", r.Target, c.Outcome, c.Count)
		}
	}
	return eris.Wrap(table.Flush(), "load: can't write the table of reports")
}
