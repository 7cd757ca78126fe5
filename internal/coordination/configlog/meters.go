package configlog

import "github.com/rcrowley/go-metrics"

// meters holds the metrics of the package.
type meters struct {
	version        metrics.Gauge
	appends        metrics.Counter
	appendFailures metrics.Counter
	readFailures   metrics.Counter
	malformed      metrics.Counter
	rejected       metrics.Counter
	skipped        metrics.Counter
	snapshots      metrics.Counter
	adopted        metrics.Counter
}

func newMeters(registry metrics.Registry) meters {
	return meters{
		version:        metrics.GetOrRegisterGauge("config.version", registry),
		appends:        metrics.GetOrRegisterCounter("config.appends", registry),
		appendFailures: metrics.GetOrRegisterCounter("config.append_failures", registry),
		readFailures:   metrics.GetOrRegisterCounter("config.read_failures", registry),
		malformed:      metrics.GetOrRegisterCounter("config.malformed_records", registry),
		rejected:       metrics.GetOrRegisterCounter("config.rejected_records", registry),
		skipped:        metrics.GetOrRegisterCounter("config.skipped_records", registry),
		snapshots:      metrics.GetOrRegisterCounter("config.snapshots_written", registry),
		adopted:        metrics.GetOrRegisterCounter("config.peer_updates_adopted", registry),
	}
}
