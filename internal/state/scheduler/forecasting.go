package scheduler

import (
	"math"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/forecast"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// forecasting is the forecast for one submitted job.
type forecasting struct {
	s         *Scheduler
	now       state.Time
	new       newWork
	outlook   *outlook
	supply    *forecast.Supply
	returning bool
}

// queue returns a queue on the supply from which the capacity that is promised to
// returning callers is reserved, except to those of workspaces that exceed their part of the
// service further.
func (f *forecasting) queue() forecast.Queue {
	q := f.supply.Queue()
	if f.returning {
		return q
	}
	for p := range f.s.admission.promises.all {
		if p.service == f.outlook.service && p.rank.compare(f.new.class()) <= 0 {
			q.Reserve(p.due-f.now, f.supply.Units(p.amount), p.runTime)
		}
	}
	return q
}

// ahead takes what waits ahead of work of a rank: jobs that were just accepted, and steps
// of the given part of the order.
func (f *forecasting) ahead(q *forecast.Queue, r rank, part func(lateness) bool) {
	for i := range f.outlook.waiting {
		w := &f.outlook.waiting[i]
		if w.rank.compare(r) >= 0 {
			return
		}
		if !part(w.rank.lateness) {
			continue
		}
		if start := take(q, f.supply.Units(w.amount), w.runTime, w.gang); start != forecast.Never {
			f.later(q, start, w.next, r)
		}
	}
}

// later takes what becomes ready a while after a start and goes ahead of work of a rank.
func (f *forecasting) later(q *forecast.Queue, start time.Duration, steps []laterStep, r rank) {
	for i := range steps {
		if l := &steps[i]; l.rank.compare(r) < 0 {
			q.Reserve(start+l.after, f.supply.Units(l.amount), l.runTime)
		}
	}
}

func (f *forecasting) onTimeAhead(q *forecast.Queue, r rank) {
	for p := range f.s.admission.accepted.all {
		inOutlook := p.addedAt > 0 && p.addedAt <= f.outlook.plannedAt
		if !inOutlook && p.work.rank.compare(r) < 0 && p.service == f.outlook.service {
			take(q, f.supply.Units(p.work.amount), p.work.runTime, p.work.gang)
		}
	}
	f.later(q, 0, f.outlook.later, r)
	f.ahead(q, r, func(l lateness) bool { return l == onTime })
}

func take(q *forecast.Queue, units float64, runTime time.Duration, gang bool) time.Duration {
	if gang {
		return q.TakeTogether(units, runTime)
	}
	return q.Take(units, runTime)
}

func (f *forecasting) takeNew(q *forecast.Queue) time.Duration {
	return take(q, f.supply.Units(f.new.amount), f.new.runTime, f.new.gang)
}

// startOnTime returns when the job starts while it can still be on time. Work with a
// shorter objective that arrives meanwhile goes ahead of it as long as it is due earlier.
func (f *forecasting) startOnTime(margin float64) time.Duration {
	q := f.queue()
	f.onTimeAhead(&q, f.new.rank)
	behind := q
	start := f.takeNew(&q)
	in, objective := f.s.admission.flow(f.now, f.outlook.service, f.new.class(), f.supply)
	overtaken := min(start, f.new.objective-objective)
	if start == 0 || start == forecast.Never || overtaken <= 0 {
		return start
	}
	behind.Take(margin*in.PerSecond*overtaken.Seconds(), in.RunTime)
	return f.takeNew(&behind)
}

// inflow returns all work that keeps being accepted for the service.
func (f *forecasting) inflow() forecast.Inflow {
	in, _ := f.s.admission.flow(f.now, f.outlook.service, rank{priority: math.MaxInt}, f.supply)
	return in
}

// startLate returns when the job starts once it is late: all work that can be on time goes
// ahead of it then, also what arrives until then.
func (f *forecasting) startLate(margin float64) time.Duration {
	q := f.queue()
	in := f.inflow()
	in.PerSecond *= margin
	f.lateAhead(&q, in)
	return f.takeNew(&q)
}

func (f *forecasting) lateAhead(q *forecast.Queue, in forecast.Inflow) {
	r := f.new.rank
	r.lateness = late
	f.onTimeAhead(q, r)
	q.Flow(in)
	f.ahead(q, r, func(l lateness) bool { return l != onTime })
}

// promiseReturn returns when the refused caller may return: when a job like this could
// start early enough to be on time. The capacity is promised to the caller until then, so
// that the next refused caller gets a later time.
func (f *forecasting) promiseReturn(id workload.JobID) time.Duration {
	a := &f.s.admission
	if p, ok := a.promises.get(id); ok && p.due > f.now {
		return p.due - f.now // it came back too early
	}
	q := f.queue()
	in := f.inflow()
	if most := returnShare * f.supply.Places() / max(in.RunTime.Seconds(), 0.001); in.PerSecond > most {
		in.PerSecond = most
	}
	f.lateAhead(&q, in)
	start := f.takeNew(&q)
	if start > maxReturn {
		return maxReturn
	}
	after := max(minReturn, start-(f.new.objective-f.new.chain))
	after = min(maxReturn, (after + returnStep - 1).Truncate(returnStep))
	a.promise(f.now, id, promise{due: f.now + after, service: f.outlook.service, rank: f.new.class(), amount: f.new.amount, runTime: f.new.runTime})
	return after
}
