package config

import (
	"fmt"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// process is one run of an entry in the model.
type process struct {
	id     state.EntryID
	domain state.DomainID
	fold   *Fold
	alive  bool
}

// acts reports whether the process may own upstreams: it has folded its own
// registration.
func (p *process) acts() bool {
	_, ok := p.fold.entries.rows[p.id]
	return p.alive && ok
}

// world is a model of several entries that follow one stream at different
// offsets, of their owners and of the work that runs. Records reach the stream
// late, in any order, more than once, or not at all.
type world struct {
	draw func(n int) int
	// shrinks lets limits fall and contracts end.
	shrinks  bool
	head     *Fold
	log      []Record
	limits   []state.Vector
	inflight []Record
	procs    []*process
	owners   map[state.DomainID]*process
	running  map[state.DomainID]int64
	starts   int
	writes   int
	vms      int
	joins    int
}

var modelDomains = []state.DomainID{"d0", "d1", "d2"}

const (
	modelTeam        = state.TeamID("a")
	modelLimit       = 12
	entriesPerDomain = 2
)

func newWorld(draw func(n int) int, shrinks, skipConfirm, skipSettle bool) *world {
	w := &world{
		draw: draw, shrinks: shrinks, head: NewFold(),
		owners: map[state.DomainID]*process{}, running: map[state.DomainID]int64{},
	}
	w.head.skipConfirm, w.head.skipSettle = skipConfirm, skipSettle
	w.putDomains()
	w.append(w.record(NoVersion, PutContract{Contract: modelContract(modelLimit)}))
	for _, domain := range modelDomains {
		for range entriesPerDomain {
			w.spawn(fmt.Sprintf("vm%d/1", w.newVM()), domain)
		}
		w.join(domain)
	}
	for len(w.inflight) > 0 {
		w.deliver()
	}
	for _, p := range w.procs {
		w.advance(p, len(w.log))
	}
	return w
}

func modelContract(limit int64) Contract {
	return Contract{
		Team: modelTeam, Services: []state.Service{"s"}, Classes: []state.Class{state.ClassBatch},
		SubmitRate: 1, SubmitBurst: 1, Weight: 1, OnCut: CutServe,
		Limit: state.Vector{CPUMilli: 7 * limit, MemoryMB: 3, Slots: limit},
	}
}

func (w *world) newVM() int {
	w.vms++
	return w.vms
}

func (w *world) record(base int64, body Body) Record {
	w.writes++
	return Record{ID: fmt.Sprintf("w%d", w.writes), Base: base, Body: body}
}

func (w *world) append(record Record) {
	offset := int64(len(w.log))
	w.log = append(w.log, record)
	w.head.Apply(offset, record)
	w.limits = append(w.limits, w.head.contracts.rows[modelTeam].Limit)
}

func (w *world) send(base int64, body Body) { w.inflight = append(w.inflight, w.record(base, body)) }

// deliver appends a record that is on its way, and sometimes leaves a copy.
func (w *world) deliver() {
	if len(w.inflight) == 0 {
		return
	}
	i := w.draw(len(w.inflight))
	w.append(w.inflight[i])
	if w.draw(4) != 0 {
		w.inflight = slices.Delete(w.inflight, i, i+1)
	}
}

func (w *world) lose() {
	if len(w.inflight) > 0 {
		i := w.draw(len(w.inflight))
		w.inflight = slices.Delete(w.inflight, i, i+1)
	}
}

func (w *world) proc() *process { return w.procs[w.draw(len(w.procs))] }

func (w *world) domain() state.DomainID { return modelDomains[w.draw(len(modelDomains))] }

// spawn starts a process from a snapshot of the newest state.
func (w *world) spawn(id string, domain state.DomainID) {
	fold := restore(w.head.View().image())
	fold.skipConfirm, fold.skipSettle = w.head.skipConfirm, w.head.skipSettle
	p := &process{id: state.EntryID(id), domain: domain, fold: fold, alive: true}
	w.procs = append(w.procs, p)
	w.register(p)
}

func (w *world) register(p *process) {
	base := NoVersion
	if earlier, ok := p.fold.View().EntryOn(p.id.VM()); ok {
		base = earlier.Registered
	}
	w.send(base, RegisterEntry{Entry: p.id, Domain: p.domain})
}

func (w *world) advance(p *process, most int) {
	if !p.alive {
		return
	}
	for range most {
		next := p.fold.Version() + 1
		if next >= int64(len(w.log)) {
			return
		}
		p.fold.Apply(next, w.log[next])
	}
}

// fits reports whether all that runs in the domain of an owner fits its fold.
func (w *world) fits(p *process) bool {
	return w.running[p.domain] <= p.fold.View().Allotment(modelTeam, p.domain).Slots
}

func (w *world) confirm(p *process) {
	if !p.alive {
		return
	}
	if !p.acts() {
		w.register(p)
		return
	}
	owner := w.owners[p.domain] == p
	due, settle := p.fold.View().ConfirmDue(p.id)
	if owner && !w.fits(p) && !p.fold.skipSettle {
		return
	}
	if due || settle && owner {
		w.send(AnyVersion, Confirm{Entry: p.id, Version: p.fold.Version(), Settled: owner})
	}
}

// end lets a process die, restarts a dead one, or replaces its VM.
func (w *world) end(p *process) {
	if p.alive {
		p.alive = false
		if w.owners[p.domain] == p {
			delete(w.owners, p.domain)
		}
		return
	}
	w.procs = slices.DeleteFunc(w.procs, func(q *process) bool { return q == p })
	if w.draw(2) == 0 {
		w.spawn(fmt.Sprintf("%s/%d", p.id.VM(), w.newVM()), p.domain)
		return
	}
	w.send(AnyVersion, UnregisterEntry{Entry: p.id})
	w.spawn(fmt.Sprintf("vm%d/1", w.newVM()), p.domain)
}

func (w *world) own(p *process) {
	if p.acts() {
		w.owners[p.domain] = p
	}
}

func (w *world) start(domain state.DomainID) {
	owner := w.owners[domain]
	if owner == nil {
		return
	}
	room := owner.fold.View().Allotment(modelTeam, domain).Slots - w.running[domain]
	if room > 0 {
		w.running[domain] += room
		w.starts++
	}
}

func (w *world) finish(domain state.DomainID) {
	if w.running[domain] > 0 {
		w.running[domain] -= 1 + int64(w.draw(int(w.running[domain])))
	}
}

func (w *world) move() {
	view := w.proc().fold.View()
	amount := state.Vector{CPUMilli: int64(w.draw(9)), Slots: 1 + int64(w.draw(3))}
	w.send(view.AllotmentVersion(modelTeam), MoveAllotment{Team: modelTeam, From: w.domain(), To: w.domain(), Amount: amount})
}

func (w *world) putContract() {
	limit := w.head.contracts.rows[modelTeam].Limit.Slots
	switch {
	case w.shrinks && w.draw(6) == 0:
		w.append(w.record(AnyVersion, WithdrawContract{Team: modelTeam}))
		return
	case w.shrinks:
		limit = int64(w.draw(3 * modelLimit))
	default:
		limit += int64(w.draw(3))
	}
	w.append(w.record(AnyVersion, PutContract{Contract: modelContract(limit)}))
}

func (w *world) putDomains() {
	list := make([]Domain, 0, len(modelDomains))
	for _, id := range modelDomains {
		list = append(list, Domain{ID: id, Weight: 1 + int64(w.draw(5))})
	}
	w.append(w.record(AnyVersion, PutDomains{Domains: list}))
}

func (w *world) join(domain state.DomainID) {
	w.joins++
	id := state.VMID(fmt.Sprintf("u%d", w.joins))
	w.append(w.record(NoVersion, JoinUpstreams{Domain: domain, Upstreams: []Upstream{{ID: id, Service: "s"}}}))
}

// step does one random thing.
func (w *world) step() {
	steps := [...]struct {
		weight int
		do     func()
	}{
		{10, func() { w.advance(w.proc(), 1+w.draw(6)) }},
		{10, func() { w.advance(w.proc(), len(w.log)) }},
		{15, func() { w.confirm(w.proc()) }},
		{25, w.deliver},
		{3, w.lose},
		{1, func() { w.end(w.proc()) }},
		{6, func() { w.own(w.proc()) }},
		{15, func() { w.start(w.domain()) }},
		{3, func() { w.finish(w.domain()) }},
		{8, w.move},
		{1, w.putContract},
		{1, w.putDomains},
		{2, func() { w.join(w.domain()) }},
	}
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	choice := w.draw(total)
	for _, s := range steps {
		if choice -= s.weight; choice < 0 {
			s.do()
			return
		}
	}
}

// usable returns the sum over the domains of the most that a live entry there
// may use by its own fold, and the limit it must respect: the largest that was
// in force since the oldest of these folds.
func (w *world) usable() (sum, limit state.Vector) {
	most := map[state.DomainID]state.Vector{}
	oldest := w.head.Version()
	for _, p := range w.procs {
		if p.acts() {
			most[p.domain] = most[p.domain].Max(p.fold.View().Allotment(modelTeam, p.domain))
			oldest = min(oldest, p.fold.Version())
		}
	}
	for _, amount := range most {
		sum = sum.Add(amount)
	}
	for _, at := range w.limits[oldest:] {
		limit = limit.Max(at)
	}
	return sum, limit
}

// property names what must always hold in the model.
type property string

const (
	allotmentsWithinLimit property = "allotments within the limit"
	workWithinLimit       property = "running work within the limit"
	upstreamsKnown        property = "upstreams known to every entry"
)

// fault is a property that does not hold.
type fault struct {
	property property
	detail   string
}

// faults returns the properties that do not hold now.
func (w *world) faults() []fault {
	var out []fault
	if sum, limit := w.usable(); !sum.Fits(limit) {
		out = append(out, fault{allotmentsWithinLimit, fmt.Sprintf("%s of %s", sum, limit)})
	}
	if total := w.running["d0"] + w.running["d1"] + w.running["d2"]; !w.shrinks && total > w.head.contracts.rows[modelTeam].Limit.Slots {
		out = append(out, fault{workWithinLimit, fmt.Sprintf("%d", total)})
	}
	for _, p := range w.procs {
		for _, q := range w.procs {
			if p.acts() && q.acts() && p.domain == q.domain {
				out = append(out, unknownTo(p, q)...)
			}
		}
	}
	return out
}

// unknownTo lists the upstreams that p uses and q does not know.
func unknownTo(p, q *process) []fault {
	var out []fault
	for _, u := range p.fold.View().Upstreams(p.domain) {
		if !q.fold.shards.rows[p.domain].has(u.ID) {
			out = append(out, fault{upstreamsKnown, fmt.Sprintf("%s uses %s, not known to %s", p.id, u.ID, q.id)})
		}
	}
	return out
}
