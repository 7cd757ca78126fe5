// Package preemption decides which running work makes room for more urgent work, and how
// much capacity is kept free for urgent work ahead of its arrival. The load in question is
// a burst of short jobs with little slack on a service that is nearly full of work with
// much slack: a stop takes longer than the slack of a short job, so most of the room must
// be free before the burst, and the rest is freed as soon as the demand rises.
//
// The package knows neither jobs nor upstreams. Its callers describe runs and places.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Run describes a run that may be stopped. Callers leave out runs that must not be
// stopped.
type Run struct {
	// Place is the index of the place where the run is.
	Place int
	// Group is a number above 0 that is common to runs which are stopped together, or 0.
	Group int
	// Priority of the run's work; 0 is the most urgent.
	Priority int
	// Frees is the capacity that the end of the run frees.
	Frees state.Vector
	// Checkpoints says that the work resumes from a checkpoint.
	Checkpoints bool
	// Lost is the work that is done again after a stop.
	Lost time.Duration
	// Slack is how much later than now the run could be done and still be in time.
	Slack time.Duration
}

// Place describes where runs are and where the demand may be placed.
type Place struct {
	// Free is the capacity that is free, or becomes so about as soon as a stop takes, and
	// that nothing else is to use.
	Free state.Vector
	// Max bounds the tasks of the demand at the place; 0 for no bound.
	Max int
	// Barred places are not available to the demand.
	Barred bool
}

// Demand is what room is made for: a number of equal tasks.
type Demand struct {
	// Priority of the demand. Only runs with a larger number are stopped.
	Priority int
	Each     state.Vector
	Count    int
	// All says that room for some of the tasks is of no use.
	All bool
}

// Selection is the result of Select.
type Selection struct {
	// Victims are the indexes of the runs to stop.
	Victims []int
	// Tasks is the number of the demand's tasks by place, including those that fit
	// without a stop.
	Tasks []int
}

// Select chooses runs whose end makes room for a demand. Only as many are chosen as are
// needed; none if there is room without.
func Select(d Demand, places []Place, runs []Run) Selection {
	s := selector{demand: d, places: slices.Clone(places), runs: runs, tasks: make([]int, len(places)), chosen: make([]bool, len(runs))}
	left := d.Count
	for i := range s.places {
		for left > 0 && s.fits(i, s.places[i].Free) {
			s.take(i)
			left--
		}
	}
	if left == 0 {
		return Selection{Tasks: s.tasks}
	}
	s.index(d.Priority)
	options := make([]option, len(places))
	for i := range options {
		options[i] = s.option(i)
	}
	for ; left > 0; left-- {
		best := -1
		for i := range options {
			if len(options[i].victims) > 0 && (best < 0 || options[i].harm.compare(options[best].harm) < 0) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		grouped := s.stop(options[best].victims)
		s.take(best)
		for i := range options {
			if i == best || grouped {
				options[i] = s.option(i)
			}
		}
		// A stopped run may have been larger than the task that it made room for.
		for i := range s.places {
			for left > 1 && (i == best || grouped) && s.fits(i, s.places[i].Free) {
				s.take(i)
				left--
				options[i] = s.option(i)
			}
		}
	}
	if left > 0 && d.All {
		return Selection{}
	}
	out := Selection{Tasks: s.tasks}
	for i, chosen := range s.chosen {
		if chosen {
			out.Victims = append(out.Victims, i)
		}
	}
	return out
}

// selector is the state of one Select.
type selector struct {
	demand Demand
	places []Place
	runs   []Run
	tasks  []int
	chosen []bool
	// at holds the runs of each place, in the order in which they are stopped.
	at [][]int
	// groups holds the runs of each group.
	groups map[int][]int
}

// option is the least harmful way to make room for one more task at a place.
type option struct {
	victims []int
	harm    harm
}

// harm compares sets of victims.
type harm struct {
	// priority is the most urgent priority among the victims.
	priority int
	// whole counts the victims without checkpoints.
	whole int
	// lost is the work done again, in core-milliseconds or accelerator-milliseconds.
	lost  int64
	count int
}

func (h harm) compare(other harm) int {
	return cmp.Or(-cmp.Compare(h.priority, other.priority), cmp.Compare(h.whole, other.whole), cmp.Compare(h.lost, other.lost), cmp.Compare(h.count, other.count))
}

// fits reports whether another task of the demand fits at a place with the given capacity.
func (s *selector) fits(place int, free state.Vector) bool {
	p := &s.places[place]
	return !p.Barred && (p.Max == 0 || s.tasks[place] < p.Max) && s.demand.Each.Fits(free)
}

func (s *selector) take(place int) {
	s.tasks[place]++
	s.places[place].Free = s.places[place].Free.Sub(s.demand.Each)
}

// index sorts the runs that the demand may stop by place.
func (s *selector) index(priority int) {
	s.at, s.groups = make([][]int, len(s.places)), map[int][]int{}
	for i := range s.runs {
		r := &s.runs[i]
		if r.Priority <= priority {
			continue
		}
		s.at[r.Place] = append(s.at[r.Place], i)
		if r.Group > 0 {
			s.groups[r.Group] = append(s.groups[r.Group], i)
		}
	}
	for _, at := range s.at {
		slices.SortStableFunc(at, func(a, b int) int { return s.runs[a].compare(&s.runs[b]) })
	}
}

// lostStep is the resolution of the work lost when runs are compared. Checkpoints are
// written every one or two seconds of work.
const lostStep = 500 * time.Millisecond

// compare orders runs by how much better it is to stop them than others.
func (r *Run) compare(other *Run) int {
	return cmp.Or(
		-cmp.Compare(r.Priority, other.Priority),
		cmp.Compare(boolInt(r.Group > 0), boolInt(other.Group > 0)),
		-cmp.Compare(boolInt(r.Checkpoints), boolInt(other.Checkpoints)),
		cmp.Compare(r.Lost/lostStep, other.Lost/lostStep),
		-cmp.Compare(r.Slack, other.Slack),
	)
}

// option returns the least harmful way to make room for one more task at a place.
func (s *selector) option(place int) option {
	free := s.places[place].Free
	if s.places[place].Barred || (s.places[place].Max > 0 && s.tasks[place] >= s.places[place].Max) {
		return option{}
	}
	var victims []int
	for _, i := range s.at[place] {
		if s.chosen[i] || !s.relieves(i, free) {
			continue
		}
		victims = append(victims, i)
		if free = free.Add(s.runs[i].Frees); s.demand.Each.Fits(free) {
			return s.withHarm(s.prune(victims, free))
		}
	}
	return option{}
}

// relieves reports whether the end of a run frees a resource of which the demand lacks
// some.
func (s *selector) relieves(i int, free state.Vector) bool {
	return relieves(s.runs[i].Frees, s.demand.Each.Sub(free))
}

func relieves(frees, missing state.Vector) bool {
	return missing.CPUMilli > 0 && frees.CPUMilli > 0 || missing.MemoryMB > 0 && frees.MemoryMB > 0 ||
		missing.Accelerators > 0 && frees.Accelerators > 0 || missing.Slots > 0 && frees.Slots > 0
}

// prune leaves out victims without which the task still fits, the most harmful first.
func (s *selector) prune(victims []int, free state.Vector) []int {
	for i := len(victims) - 1; i >= 0; i-- {
		if without := free.Sub(s.runs[victims[i]].Frees); s.demand.Each.Fits(without) {
			free, victims = without, slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// withHarm adds the other runs of the victims' groups and computes the harm.
func (s *selector) withHarm(victims []int) option {
	all := slices.Clone(victims)
	for _, i := range victims {
		if g := s.runs[i].Group; g > 0 {
			for _, j := range s.groups[g] {
				if !slices.Contains(all, j) {
					all = append(all, j)
				}
			}
		}
	}
	o := option{victims: all, harm: harm{priority: s.runs[all[0]].Priority, count: len(all)}}
	for _, i := range all {
		r := &s.runs[i]
		o.harm.priority = min(o.harm.priority, r.Priority)
		o.harm.whole += boolInt(!r.Checkpoints)
		o.harm.lost += LostWork(r)
	}
	return o
}

// LostWork returns the work that is done again after a stop, in core-milliseconds, or in
// accelerator-milliseconds for a run with accelerators.
func LostWork(r *Run) int64 {
	if r.Frees.Accelerators > 0 {
		return r.Frees.Accelerators * r.Lost.Milliseconds()
	}
	return r.Frees.CPUMilli * r.Lost.Milliseconds() / 1000
}

// stop counts the victims as ended. It reports whether there are any in other places.
func (s *selector) stop(victims []int) (grouped bool) {
	for _, i := range victims {
		s.chosen[i] = true
		p := s.runs[i].Place
		s.places[p].Free = s.places[p].Free.Add(s.runs[i].Frees)
		grouped = grouped || s.runs[i].Group > 0
	}
	return grouped
}

// SelectAmount chooses runs whose end frees an amount in all, wherever they are. It serves
// demand in small tasks that may be placed anywhere. It chooses what there is if that is
// less.
func SelectAmount(priority int, amount state.Vector, runs []Run) (victims []int) {
	var order []int
	groups := map[int][]int{}
	for i := range runs {
		r := &runs[i]
		if r.Priority <= priority || !relieves(r.Frees, amount) {
			continue
		}
		if r.Group > 0 {
			groups[r.Group] = append(groups[r.Group], i)
			if len(groups[r.Group]) > 1 {
				continue
			}
		}
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int { return runs[a].compare(&runs[b]) })
	frees := func(i int) (sum state.Vector) {
		if runs[i].Group == 0 {
			return runs[i].Frees
		}
		for _, member := range groups[runs[i].Group] {
			sum = sum.Add(runs[member].Frees)
		}
		return sum
	}
	amount.Slots = 0
	missing := amount
	var units []int
	for _, i := range order {
		if !positive(missing) {
			break
		}
		if f := frees(i); relieves(f, missing) {
			units = append(units, i)
			missing = missing.Sub(f)
		}
	}
	for k := len(units) - 1; k >= 0; k-- {
		if without := missing.Add(frees(units[k])); !positive(without) {
			missing, units = without, slices.Delete(units, k, k+1)
		}
	}
	for _, i := range units {
		if g := runs[i].Group; g > 0 {
			victims = append(victims, groups[g]...)
		} else {
			victims = append(victims, i)
		}
	}
	slices.Sort(victims)
	return victims
}

// positive reports whether any resource, slots aside, is above 0.
func positive(v state.Vector) bool {
	return v.CPUMilli > 0 || v.MemoryMB > 0 || v.Accelerators > 0
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
