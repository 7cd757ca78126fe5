package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// generatorStream is the second half of the seed of the random generator.
const generatorStream = 0x73616d7068697265

// Shares of the generated jobs, in percent unless stated otherwise.
const (
	requestPercent        = 70
	batchPercent          = 20
	gangPercent           = 5
	urgentPercent         = 10
	deadlinePercent       = 40
	idempotentPercent     = 70
	preemptiblePercent    = 40
	cancelPercent         = 4
	failPercent           = 1
	undeclaredPercent     = 25
	firstFleetPercent     = 65
	acceleratorPercent    = 50
	neverRunnablePerMille = 5
	// loadSwing is the amplitude of the load as a part of its average.
	loadSwing = 0.5
	// loadCycles is the number of load cycles within a trace.
	loadCycles = 3
	// declaredError is the standard deviation of the logarithm of the ratio of declared
	// to actual amounts.
	declaredError = 0.8
)

type generator struct {
	plan   plan
	opts   Options
	random *rand.Rand
	events []Event
	vms    []state.VMID
	now    time.Duration
	jobs   int
}

// Generate generates a trace. The same options give the same trace.
func Generate(opts Options) (*Trace, error) {
	p, err := planOf(opts.Deployment)
	if err != nil {
		return nil, err
	}
	g := &generator{plan: p, opts: opts, random: rand.New(rand.NewPCG(opts.Seed, generatorStream))}
	g.upstreams()
	g.teams()
	g.submissions()
	g.faults()
	g.burst()
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.AtMicros, b.AtMicros) })
	header := Header{Format: Format, Deployment: opts.Deployment, Seed: opts.Seed}
	return &Trace{Header: header, Events: g.events}, nil
}

func (g *generator) add(at time.Duration, e Event) {
	e.AtMicros = at.Microseconds()
	g.events = append(g.events, e)
}

func (g *generator) upstreams() {
	for _, f := range g.plan.fleets {
		for i := range f.count {
			domain := g.plan.domains[i%len(g.plan.domains)]
			vm := state.VMID(fmt.Sprintf("%s-%02d", f.service, i))
			rack := fmt.Sprintf("%s-r%d", domain, i/len(g.plan.domains)%racksPerDomain)
			g.vms = append(g.vms, vm)
			g.add(0, Event{Kind: KindUpstream, Upstream: &Upstream{
				VM: vm, Domain: domain, Rack: rack, Service: f.service, Capacity: AmountOf(f.capacity),
			}})
		}
	}
}

// maxQueued is the maximum number of queued jobs of a team in a failure domain.
const maxQueued = 20_000

func (g *generator) teams() {
	total := g.plan.domainCapacity()
	for _, t := range g.plan.teams {
		limit := state.Vector{
			CPUMilli:     total.CPUMilli * t.limitPercent / 100,
			MemoryMB:     total.MemoryMB * t.limitPercent / 100,
			Accelerators: total.Accelerators * t.limitPercent / 100,
			Slots:        total.Slots * t.limitPercent / 100,
		}
		g.add(0, Event{Kind: KindTeam, Team: &Team{ID: t.id, Weight: t.weight, MaxQueued: maxQueued, Limit: AmountOf(limit)}})
	}
}

// meanSlotSeconds is the average number of slot seconds that a generated job uses.
const meanSlotSeconds = 24.0

func (g *generator) submissions() {
	rate := float64(g.plan.slots()) * float64(g.opts.Load) / 100 / meanSlotSeconds
	length := float64(g.opts.Submissions) / rate
	for range g.opts.Submissions {
		phase := g.now.Seconds() / length * loadCycles * 2 * math.Pi
		currentRate := rate * (1 + loadSwing*math.Sin(phase))
		g.now += seconds(g.random.ExpFloat64() / currentRate)
		g.submit()
	}
}

func (g *generator) submit() {
	job := g.job(g.class())
	g.add(g.now, Event{Kind: KindSubmit, Submit: job})
	switch {
	case job.Class == state.ClassStanding:
		after := seconds(standingRunTime.Seconds() * (0.5 + g.random.Float64()))
		g.add(g.now+after, Event{Kind: KindCancel, Job: job.ID})
	case job.Class != state.ClassRequest && g.chance(cancelPercent):
		g.add(g.now+seconds(g.random.ExpFloat64()*batchRunTime.Seconds()), Event{Kind: KindCancel, Job: job.ID})
	}
}

func (g *generator) class() state.Class {
	switch n := g.random.IntN(100); {
	case n < requestPercent:
		return state.ClassRequest
	case n < requestPercent+batchPercent:
		return state.ClassBatch
	case n < requestPercent+batchPercent+gangPercent:
		return state.ClassGang
	}
	return state.ClassStanding
}

func (g *generator) job(class state.Class) *Submit {
	g.jobs++
	domain := g.plan.domains[g.random.IntN(len(g.plan.domains))]
	f := &g.plan.fleets[1]
	if g.chance(firstFleetPercent) {
		f = &g.plan.fleets[0]
	}
	job := &Submit{
		ID:         state.JobID(fmt.Sprintf("%s.%06d", domain, g.jobs)),
		Domain:     domain,
		Team:       g.team(),
		Class:      class,
		Service:    f.service,
		Tasks:      1,
		Urgent:     g.chance(urgentPercent),
		Idempotent: g.chance(idempotentPercent),
		Fails:      g.chance(failPercent),
	}
	g.setTasks(job, f)
	g.setRunTimes(job)
	if g.random.IntN(1000) < neverRunnablePerMille {
		job.Each.CPUMilli = 2 * f.capacity.CPUMilli
	}
	return job
}

func (g *generator) team() state.TeamID {
	totalWeight := 0
	for _, t := range g.plan.teams {
		totalWeight += t.submitWeight
	}
	n := g.random.IntN(totalWeight)
	for _, t := range g.plan.teams {
		if n < t.submitWeight {
			return t.id
		}
		n -= t.submitWeight
	}
	return g.plan.teams[0].id
}

// setTasks sets the number and the size of the tasks.
func (g *generator) setTasks(job *Submit, f *fleet) {
	share := state.Vector{CPUMilli: f.capacity.CPUMilli / slotsPerUpstream, MemoryMB: f.capacity.MemoryMB / slotsPerUpstream}
	size := 0.6
	switch job.Class {
	case state.ClassRequest:
		size = 0.3
	case state.ClassBatch:
		job.Tasks = 1 + g.random.IntN(5)
		job.Preemptible = job.Idempotent && g.chance(preemptiblePercent)
	case state.ClassGang:
		job.Tasks = 2 + g.random.IntN(7)
	case state.ClassStanding:
		job.Tasks = 1 + g.random.IntN(3)
		job.Idempotent = true
		job.Fails = false
	}
	job.Each = Amount{
		CPUMilli: g.randomAmount(share.CPUMilli, size, f.capacity.CPUMilli),
		MemoryMB: g.randomAmount(share.MemoryMB, size, f.capacity.MemoryMB),
		Slots:    1,
	}
	if f.capacity.Accelerators > 0 && g.chance(acceleratorPercent) {
		job.Each.Accelerators = 1 + int64(g.random.IntN(3))
	}
}

// randomAmount returns a log-normally distributed amount, with the given fraction of
// share as its median and between 1 and limit.
func (g *generator) randomAmount(share int64, fraction float64, limit int64) int64 {
	amount := float64(share) * fraction * math.Exp(g.random.NormFloat64()*declaredError)
	return min(max(int64(amount), 1), limit)
}

// setRunTimes sets the actual and declared run times, the actual use and the deadline.
func (g *generator) setRunTimes(job *Submit) {
	mean := time.Duration(0)
	switch job.Class {
	case state.ClassRequest:
		mean = requestRunTime
	case state.ClassBatch:
		mean = batchRunTime
	case state.ClassGang:
		mean = gangRunTime
	case state.ClassStanding:
	}
	job.UsePercent = max(int64(100*math.Exp(g.random.NormFloat64()*declaredError/2)), 1)
	if mean == 0 {
		return
	}
	actual := float64(mean) * math.Exp(g.random.NormFloat64()*declaredError/2)
	job.ActualMicros = time.Duration(actual).Microseconds()
	if !g.chance(undeclaredPercent) {
		declared := actual * math.Exp(g.random.NormFloat64()*declaredError)
		job.DeclaredMicros = time.Duration(declared).Microseconds()
	}
	if g.chance(deadlinePercent) {
		job.DeadlineMicros = (time.Duration(actual*(1+4*g.random.Float64())) + deadlineMargin(job.Class)).Microseconds()
	}
}

// deadlineMargin returns the minimum time that a deadline leaves for waiting.
func deadlineMargin(c state.Class) time.Duration {
	if c == state.ClassRequest {
		return 2 * time.Second
	}
	return 20 * time.Second
}

// faults adds the loss and the restart of an upstream in each tenth of the trace, and
// makes two upstreams faulty for a time.
func (g *generator) faults() {
	const parts = 10
	part := g.now / parts
	for i := range parts {
		vm := g.vms[g.random.IntN(len(g.vms))]
		at := part*time.Duration(i) + seconds(part.Seconds()*g.random.Float64()/2)
		g.add(at, Event{Kind: KindLost, VM: vm})
		g.add(at+part/3, Event{Kind: KindBack, VM: vm})
	}
	for i := range 2 {
		vm := g.vms[g.random.IntN(len(g.vms))]
		at := part * time.Duration(2+4*i)
		g.add(at, Event{Kind: KindFaulty, VM: vm})
		g.add(at+2*part, Event{Kind: KindRepaired, VM: vm})
	}
}

// burst adds many batch jobs that one team submits all at once and cancels all at once.
func (g *generator) burst() {
	if g.opts.Burst == 0 {
		return
	}
	submitted := g.now / 3
	cancelled := submitted + 5*time.Second
	domain := g.plan.domains[0]
	for range g.opts.Burst {
		job := g.job(state.ClassBatch)
		job.ID = state.JobID(fmt.Sprintf("%s.wave%06d", domain, g.jobs))
		job.Domain = domain
		job.Team = g.plan.teams[0].id
		job.DeadlineMicros = 0
		g.add(submitted, Event{Kind: KindSubmit, Submit: job})
		g.add(cancelled, Event{Kind: KindCancel, Job: job.ID})
	}
}

func (g *generator) chance(percent int) bool { return g.random.IntN(100) < percent }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
