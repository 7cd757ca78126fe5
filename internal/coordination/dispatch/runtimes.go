package dispatch

import (
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/runtimes"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
)

// runTimesInterval is the minimum time between two records of the learned run times. An
// upstream ends 1 to 3 runs a second, so that little is lost when the owner dies.
const runTimesInterval = 5 * time.Second

// loadRunTimes returns the model of run times for a term, which starts from the newest
// record, or nil if declared run times are to be used. A record that can't be read is left
// aside.
func (p *ownerDeps) loadRunTimes() *runtimes.Model {
	if !p.learnRunTimes {
		return nil
	}
	var data []byte
	p.replica.View(func(t *ledger.Table, _ int64) { data = t.RunTimes() })
	if data == nil {
		return runtimes.New()
	}
	model, err := runtimes.Decode(data)
	if err != nil {
		p.logger.Warn("learned run times not loaded", "bytes", len(data), "error", err)
		return runtimes.New()
	}
	p.logger.Info("learned run times loaded", "bytes", len(data))
	return model
}

// noteMoves logs the moves of late runs.
func (o *owner) noteMoves(moves []scheduler.Move) {
	o.metrics.moves.Inc(int64(len(moves)))
	for i := range moves {
		m := &moves[i]
		o.logger.Info("run moved", "task", m.Task, "run", m.Number, "upstream", m.Upstream, "target", m.Target, "percent", m.Percent,
			"rest_ms", m.Rest.Milliseconds(), "moved_rest_ms", m.MovedRest.Milliseconds(), "left_ms", m.Left.Milliseconds())
	}
}

// noteCopies logs the copies of late tasks.
func (o *owner) noteCopies(copies []scheduler.Copy) {
	o.metrics.copies.Inc(int64(len(copies)))
	for i := range copies {
		c := &copies[i]
		o.logger.Info("task copied", "task", c.Task, "run", c.Number, "upstream", c.Upstream, "original", c.Original,
			"rest_ms", c.Rest.Milliseconds(), "copy_ms", c.CopyTime.Milliseconds(), "left_ms", c.Left.Milliseconds())
	}
}

// reportRunTimes logs what was learned about each kind of upstream, and updates the metrics.
func (o *owner) reportRunTimes() {
	upstreams := 0
	for _, k := range o.runTimes.Stats() {
		upstreams += k.Upstreams
		o.logger.Info("learned run times", "service", k.Pool, "kind", k.Label, "upstreams", k.Upstreams,
			"fastest", round(k.Fastest), "median", round(k.Median), "slowest", round(k.Slowest))
		o.metrics.factors.Update(int64(math.Round(k.Fastest * percent)))
		o.metrics.factors.Update(int64(math.Round(k.Slowest * percent)))
	}
	o.metrics.learned.Update(int64(upstreams))
}

const percent = 100

// round returns a factor with two decimal places.
func round(factor float64) float64 { return math.Round(factor*percent) / percent }

// appendRunTimes appends the record of the learned run times to those of an append, if it is
// due and they have changed noticeably.
func (o *owner) appendRunTimes(now time.Time, records []ledger.Record) []ledger.Record {
	if o.runTimes == nil || now.Sub(o.runTimesAt) < runTimesInterval {
		return records
	}
	o.runTimesAt = now
	o.reportRunTimes()
	data, changed := o.runTimes.Encode()
	if !changed {
		return records
	}
	return append(records, ledger.RunTimesRecord(data))
}
