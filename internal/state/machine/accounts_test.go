package machine

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// checkAccounts compares a machine's accounts with each other and with what
// runs on the workers that obey it.
func (w *world) checkAccounts(o *owner) {
	usage := map[state.TeamID]state.Vector{}
	for _, wk := range w.workers {
		u, ok := o.m.upstreams[wk.vm]
		if !ok {
			continue
		}
		committed := state.Vector{}
		for _, a := range u.tasks {
			committed = committed.Add(a.amount)
			usage[a.job.spec.Team] = usage[a.job.spec.Team].Add(a.amount)
			if o.m.tasks[a.id] != a {
				w.breach("task %s is not indexed", a.id)
			}
		}
		rec, _ := o.m.cell.Get(wk.vm)
		if u.incarnation != "" && !o.m.cfg.freeOnStop && rec.Free.Add(committed) != u.capacity {
			w.breach("%s: free %s and committed %s are not %s", wk.vm, rec.Free, committed, u.capacity)
		}
	}
	for _, t := range o.m.teamOrder {
		if !o.m.cfg.freeOnStop && t.usage != usage[t.id] {
			w.breach("team %s: usage %s, tasks %s", t.id, t.usage, usage[t.id])
		}
	}
	queued := 0
	for _, j := range o.m.jobs {
		if j.queued {
			queued++
		}
		if j.state.Ended() && (j.item.Queued() || j.queued) {
			w.breach("ended job %s is queued", j.spec.ID)
		}
	}
	if queued != o.m.Stats().Queued {
		w.breach("%d queued, counted %d", queued, o.m.Stats().Queued)
	}
}

// drain lets everything on its way arrive and every task end, then expects
// that each job is answered.
func (w *world) drain() {
	for range 4000 {
		busy := false
		for _, o := range w.owners {
			for len(o.flight) > 0 {
				busy = true
				w.deliver(o)
			}
		}
		for _, wk := range w.workers {
			for len(wk.running) > 0 {
				busy = true
				w.endAt(wk, 0, EndSucceeded)
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
	for _, a := range w.newest().m.tasks {
		w.breach("task %s on %s is still counted", a.id, a.up.vm)
	}
	for _, id := range w.openIDs(w.newest()) {
		v, _ := w.newest().m.Job(id)
		w.breach("the newest owner did not come to rest: %+v", v)
	}
}

func (w *world) idle() bool { return len(w.openIDs(w.newest())) == 0 }

func (w *world) cancelStanding() {
	o := w.newest()
	for _, id := range w.openIDs(o) {
		if w.sent[id].Class == state.ClassStanding {
			w.stepAbout(o, id, CancelJob{Job: id, Team: w.sent[id].Team})
		}
	}
}
