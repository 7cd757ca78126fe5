package emulator

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// Sample is the state of the cell at a virtual time.
type Sample struct {
	// At is the virtual time in seconds.
	At float64
	// Waiting is the number of jobs that wait for placement.
	Waiting int
	// InUse is the part of the capacity that is in use, between 0 and 1, of the
	// resource with the largest part.
	InUse float64
}

// serviceMeter accumulates the samples of a service in a domain that were taken while
// work within the limit of its team waited for the service.
type serviceMeter struct {
	samples int
	inUse   float64
	// realUse is what tasks actually use, at most the capacity of each upstream.
	realUse float64
	// stranded is the part of the accelerators that is free on upstreams without a free
	// slot or processor, while work waits for accelerators.
	stranded        float64
	strandedSamples int
}

// teamMeter accumulates the samples that were taken while a team had work waiting.
type teamMeter struct {
	samples   int
	share     float64
	fair      float64
	shortfall float64
}

// upstreamMeter counts samples of upstreams that run tasks, and those with more usage
// than capacity.
type upstreamMeter struct {
	busy     int
	overused int
}

// waitingWork is the work that waits in a domain at the time of a sample.
type waitingWork struct {
	services     map[state.Service]bool
	accelerators map[state.Service]bool
	teams        map[state.TeamID]bool
}

// sample takes one sample of the cell. It does nothing after the end of the trace.
func (e *Emulator) sample() {
	if e.now > e.trace.End() {
		return
	}
	e.waitingJobs = pruneWaiting(e.waitingJobs)
	total := Sample{At: e.now.Seconds(), Waiting: len(e.waitingJobs)}
	var used, capacity state.Vector
	for _, d := range e.domains {
		w := e.waitingIn(d)
		e.sampleServices(d, w)
		e.sampleTeams(d, w)
		e.sampleUpstreams(d)
		for _, t := range d.teams {
			used = used.Add(t.used)
		}
		capacity = capacity.Add(d.total)
	}
	total.InUse = used.DominantShare(capacity)
	e.meter.timeline = append(e.meter.timeline, total)
}

// pruneWaiting removes the jobs that no longer wait for placement.
func pruneWaiting(jobs []*record) []*record {
	kept := jobs[:0]
	for _, r := range jobs {
		if r.unstartedTasks > 0 && r.answers == 0 {
			kept = append(kept, r)
		}
	}
	return kept
}

// waitingIn returns the work that waits in a domain and is within the limit of its
// team.
func (e *Emulator) waitingIn(d *domain) waitingWork {
	w := waitingWork{services: map[state.Service]bool{}, accelerators: map[state.Service]bool{}, teams: map[state.TeamID]bool{}}
	for _, r := range e.waitingJobs {
		if r.domain != d {
			continue
		}
		use := d.team(r.spec.Team)
		each := r.spec.Each.Vector()
		demand := each
		if r.spec.Class == state.ClassGang {
			demand = each.Scale(int64(r.spec.Tasks))
		}
		if !use.used.Add(demand).Fits(use.limit) {
			continue
		}
		w.services[r.spec.Service] = true
		w.teams[r.spec.Team] = true
		if each.Accelerators > 0 {
			w.accelerators[r.spec.Service] = true
		}
	}
	return w
}

func (e *Emulator) sampleServices(d *domain, w waitingWork) {
	for _, s := range d.services {
		if !w.services[s.service] {
			continue
		}
		var used, realUse, free state.Vector
		for _, up := range d.workers {
			if up.spec.Service != s.service {
				continue
			}
			used = used.Add(up.used)
			realUse = realUse.Add(up.realUse().Min(up.capacity))
			left := up.capacity.Sub(up.used)
			if left.Slots == 0 || left.CPUMilli < minFreeCPUMilli {
				free = free.Add(left)
			}
		}
		m := e.meter.service(s.service)
		m.samples++
		m.inUse += used.DominantShare(s.capacity)
		m.realUse += realUse.DominantShare(s.capacity)
		if w.accelerators[s.service] && s.capacity.Accelerators > 0 {
			m.strandedSamples++
			m.stranded += float64(free.Accelerators) / float64(s.capacity.Accelerators)
		}
	}
}

// minFreeCPUMilli is the free processor time, in thousandths of a processor, below
// which the free accelerators of an upstream count as stranded.
const minFreeCPUMilli = 500

// sampleTeams compares the share of each team that waits with its weighted fair share
// among the teams that run or wait.
func (e *Emulator) sampleTeams(d *domain, w waitingWork) {
	weights := 0
	for _, t := range d.teams {
		if w.teams[t.team.ID] || !t.used.IsZero() {
			weights += t.team.Weight
		}
	}
	for _, t := range d.teams {
		if !w.teams[t.team.ID] {
			continue
		}
		fair := float64(t.team.Weight) / float64(weights)
		fair = min(fair, t.limit.DominantShare(d.total))
		share := t.used.DominantShare(d.total)
		m := e.meter.team(t.team.ID)
		m.samples++
		m.share += share
		m.fair += fair
		m.shortfall += max(fair-share, 0)
	}
}

// sampleUpstreams counts the upstreams that run tasks and those whose tasks actually
// use more than the capacity.
func (e *Emulator) sampleUpstreams(d *domain) {
	for _, w := range d.workers {
		if len(w.tasks) == 0 {
			continue
		}
		e.meter.upstreams.busy++
		if !w.realUse().Fits(w.capacity) {
			e.meter.upstreams.overused++
		}
	}
}
