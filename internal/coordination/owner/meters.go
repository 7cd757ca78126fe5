package owner

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/machine"
)

// decisionSamples is the sample size of the decision latency histogram.
const decisionSamples = 1024

// meters holds the metrics of the owned shard.
type meters struct {
	starts     metrics.Counter
	resolves   metrics.Counter
	stops      metrics.Counter
	decisionUS metrics.Histogram
	answers    map[state.JobState]metrics.Counter

	queued    metrics.Gauge
	running   metrics.Gauge
	upstreams metrics.Gauge
	fenced    metrics.Gauge
	ejected   metrics.Gauge
}

// answerStates are the final states of a job.
var answerStates = []state.JobState{
	state.JobSucceeded, state.JobFailed, state.JobCancelled, state.JobRefused, state.JobUnknown,
}

// newMeters registers the metrics. With a nil registry they are not exported.
func newMeters(registry metrics.Registry) *meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	m := &meters{
		starts:     metrics.GetOrRegisterCounter("owner.starts", registry),
		resolves:   metrics.GetOrRegisterCounter("owner.starts_without_answer", registry),
		stops:      metrics.GetOrRegisterCounter("owner.stops", registry),
		decisionUS: metrics.GetOrRegisterHistogram("owner.decision_us", registry, metrics.NewUniformSample(decisionSamples)),
		answers:    map[state.JobState]metrics.Counter{},
		queued:     metrics.GetOrRegisterGauge("owner.queued", registry),
		running:    metrics.GetOrRegisterGauge("owner.running", registry),
		upstreams:  metrics.GetOrRegisterGauge("owner.upstreams", registry),
		fenced:     metrics.GetOrRegisterGauge("owner.upstreams_fenced", registry),
		ejected:    metrics.GetOrRegisterGauge("owner.upstreams_ejected", registry),
	}
	for _, s := range answerStates {
		m.answers[s] = metrics.GetOrRegisterCounter("owner.answers."+string(s), registry)
	}
	return m
}

// count increments the counter of an action.
func (m *meters) count(action machine.Action) {
	switch a := action.(type) {
	case machine.Start:
		m.starts.Inc(1)
	case machine.ResolveStart:
		m.resolves.Inc(1)
	case machine.Stop:
		m.stops.Inc(1)
	case machine.Answer:
		if c, ok := m.answers[a.State]; ok {
			c.Inc(1)
		}
	case machine.Accept:
	}
}

// observeDecision records how long the machine took to process an event.
func (m *meters) observeDecision(begin time.Time) {
	m.decisionUS.Update(time.Since(begin).Microseconds())
}

// setGauges sets the gauges from the machine's statistics.
func (m *meters) setGauges(s machine.Stats) {
	m.queued.Update(int64(s.Queued))
	m.running.Update(int64(s.Running))
	m.upstreams.Update(int64(s.Upstreams))
	m.fenced.Update(int64(s.Fenced))
	m.ejected.Update(int64(s.Ejected))
}
