package machine

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// checkAccounting compares a machine's accounting with itself and with the attempts
// recorded on its upstreams.
func (w *simulation) checkAccounting(o *owner) {
	usage := map[state.TeamID]state.Vector{}
	for _, wk := range w.workers {
		u, ok := o.m.upstreams[wk.vm]
		if !ok {
			continue
		}
		committed := state.Vector{}
		for _, a := range u.attempts {
			committed = committed.Add(a.amount)
			usage[a.job.spec.Team] = usage[a.job.spec.Team].Add(a.amount)
			if o.m.attempts[a.id] != a {
				w.violation("attempt %s is not in the index of attempts", a.id)
			}
		}
		rec, _ := o.m.cell.Get(wk.vm)
		if u.incarnation != "" && !o.m.cfg.freeOnStop && rec.Free.Add(committed) != u.capacity {
			w.violation("upstream %s: free %s plus committed %s is not the capacity %s", wk.vm, rec.Free, committed, u.capacity)
		}
	}
	for _, t := range o.m.teamOrder {
		if !o.m.cfg.freeOnStop && t.usage != usage[t.id] {
			w.violation("team %s: recorded usage is %s, but its attempts sum to %s", t.id, t.usage, usage[t.id])
		}
	}
	queued := 0
	for _, j := range o.m.jobs {
		if j.queued {
			queued++
		}
		if j.state.Ended() && (j.item.Queued() || j.queued) {
			w.violation("ended job %s is queued", j.spec.ID)
		}
	}
	if queued != o.m.Stats().Queued {
		w.violation("%d jobs are queued, but Stats reports %d", queued, o.m.Stats().Queued)
	}
}

// runToCompletion delivers all messages and ends all tasks, and then expects that every
// job was answered.
func (w *simulation) runToCompletion() {
	for range 4000 {
		busy := false
		for _, o := range w.owners {
			for len(o.inFlight) > 0 {
				busy = true
				w.deliver(o)
			}
		}
		for _, wk := range w.workers {
			for len(wk.running) > 0 {
				busy = true
				w.endTask(wk, 0, EndSucceeded)
			}
		}
		w.now += 100 * time.Millisecond
		for _, o := range w.owners {
			w.step(o, Tick{})
		}
		if !busy && w.idle() {
			return
		}
		w.cancelStanding()
	}
	for _, a := range w.newest().m.attempts {
		w.violation("attempt %s on upstream %s is still recorded after all tasks have ended", a.id, a.up.vm)
	}
	for _, id := range w.openIDs(w.newest()) {
		v, _ := w.newest().m.Job(id)
		w.violation("the newest owner has not answered a job: %+v", v)
	}
}

func (w *simulation) idle() bool { return len(w.openIDs(w.newest())) == 0 }

func (w *simulation) cancelStanding() {
	o := w.newest()
	for _, id := range w.openIDs(o) {
		if w.submitted[id].Class == state.ClassStanding {
			w.stepForJob(o, id, CancelJob{Job: id, Team: w.submitted[id].Team})
		}
	}
}
