package dispatch

import metrics "github.com/rcrowley/go-metrics"

// ownerMetrics holds the counters, gauges and histograms of all terms of ownership.
type ownerMetrics struct {
	starts, ends, appends, appendFails, adviceCalls, adviceFailures metrics.Counter
	startLatency, planTime                                          metrics.Histogram
	jobs, runs, ready, unreachable                                  metrics.Gauge
	// commandsWaiting counts the commands to upstreams that wait to be sent.
	commandsWaiting metrics.Gauge
	evacuation      evacuationMetrics
	refused         refusalCounters
	forecastError   metrics.Histogram
	preemption      preemptionMetrics
	unrecorded      unrecordedMetrics
	// moves and copies count the moved runs and the copies of late tasks, learned the upstreams
	// with a learned speed; factors are those of the fastest and the slowest upstream of each
	// kind, in percent.
	moves, copies metrics.Counter
	losses        lossMetrics
	capacity      capacityMetrics
	records       recordMetrics
	learned       metrics.Gauge
	// silentDomains counts how often a failure domain stopped answering.
	silentDomains metrics.Counter
	// lostPolls counts the polls without a response while calls to upstreams were lost.
	lostPolls metrics.Counter
	factors   metrics.Histogram
}
