package emulator

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// Sample is the state of the cell at a virtual time.
type Sample struct {
	// At is the virtual time in seconds.
	At float64
	// Waiting counts the jobs that wait to be placed.
	Waiting int
	// InUse is the largest part of any kind of the capacity that is in use,
	// between 0 and 1.
	InUse float64
}

// serviceMeter sums up the samples of a service in a domain while work that its
// team's limit allows waits for it.
type serviceMeter struct {
	samples int
	inUse   float64
	// realUse is what tasks really use, at most what each upstream has.
	realUse float64
	// stranded is the free accelerators on upstreams without a free slot or
	// processor, as a part of all, while work waits for accelerators.
	stranded        float64
	strandedSamples int
}

// teamMeter sums up the samples in which a team has work waiting.
type teamMeter struct {
	samples   int
	share     float64
	fair      float64
	shortfall float64
}

// upstreamMeter counts samples of upstreams that run something.
type upstreamMeter struct {
	busy     int
	overused int
}

// waiting is the work that waits in a domain at the time of a sample.
type waiting struct {
	services     map[state.Service]bool
	accelerators map[state.Service]bool
	teams        map[state.TeamID]bool
}

// sample measures the cell. Nothing is measured after the trace's end.
func (e *Emulator) sample() {
	if e.now > e.trace.End() {
		return
	}
	e.waiters = prune(e.waiters)
	total := Sample{At: e.now.Seconds(), Waiting: len(e.waiters)}
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

// prune drops the jobs that wait no more.
func prune(waiters []*record) []*record {
	kept := waiters[:0]
	for _, r := range waiters {
		if r.waitsFor > 0 && r.answers == 0 {
			kept = append(kept, r)
		}
	}
	return kept
}

// waitingIn returns what waits in a domain and is allowed by its team's limit.
func (e *Emulator) waitingIn(d *domain) waiting {
	w := waiting{services: map[state.Service]bool{}, accelerators: map[state.Service]bool{}, teams: map[state.TeamID]bool{}}
	for _, r := range e.waiters {
		if r.domain != d {
			continue
		}
		use := d.team(r.spec.Team)
		each := r.spec.Each.Vector()
		need := each
		if r.spec.Class == state.ClassGang {
			need = each.Scale(int64(r.spec.Tasks))
		}
		if !use.used.Add(need).Fits(use.limit) {
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

func (e *Emulator) sampleServices(d *domain, w waiting) {
	for _, s := range d.services {
		if !w.services[s.service] {
			continue
		}
		var used, really, free state.Vector
		for _, up := range d.workers {
			if up.spec.Service != s.service {
				continue
			}
			used = used.Add(up.used)
			really = really.Add(up.realUse().Min(up.capacity))
			left := up.capacity.Sub(up.used)
			if left.Slots == 0 || left.CPUMilli < leastCPU {
				free = free.Add(left)
			}
		}
		m := e.meter.service(s.service)
		m.samples++
		m.inUse += used.DominantShare(s.capacity)
		m.realUse += really.DominantShare(s.capacity)
		if w.accelerators[s.service] && s.capacity.Accelerators > 0 {
			m.strandedSamples++
			m.stranded += float64(free.Accelerators) / float64(s.capacity.Accelerators)
		}
	}
}

// leastCPU is the free processor time, in thousandths, below which an
// upstream's accelerators count as stranded.
const leastCPU = 500

// sampleTeams measures how near each team that waits is to its weighted share
// among the teams that run or wait.
func (e *Emulator) sampleTeams(d *domain, w waiting) {
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

// sampleUpstreams counts upstreams whose tasks really use more than there is.
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
