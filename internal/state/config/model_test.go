package config

import (
	"fmt"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

// process is one incarnation of an entry in the model.
type process struct {
	id     state.EntryID
	domain state.DomainID
	fold   *Fold
	alive  bool
}

// mayOwn reports whether the process may own upstreams: it is alive and has
// folded its own registration.
func (p *process) mayOwn() bool {
	_, ok := p.fold.entries.rows[p.id]
	return p.alive && ok
}

// model simulates several entries that follow one stream at different offsets,
// the owners among them and the running work. Records reach the stream late, out
// of order, more than once, or not at all.
type model struct {
	draw func(n int) int
	// limitsFall allows limits to be reduced and contracts to be withdrawn.
	limitsFall bool
	// head is the fold of the whole log, and limits the team's limit at each offset.
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

func newModel(draw func(n int) int, limitsFall, skipConfirm, skipSettle bool) *model {
	m := &model{
		draw: draw, limitsFall: limitsFall, head: NewFold(),
		owners: map[state.DomainID]*process{}, running: map[state.DomainID]int64{},
	}
	m.head.skipConfirm, m.head.skipSettle = skipConfirm, skipSettle
	m.putDomains()
	m.append(m.record(NoVersion, PutContract{Contract: modelContract(modelLimit)}))
	for _, domain := range modelDomains {
		for range entriesPerDomain {
			m.startProcess(fmt.Sprintf("vm%d/1", m.newVM()), domain)
		}
		m.joinUpstream(domain)
	}
	for len(m.inflight) > 0 {
		m.deliver()
	}
	for _, p := range m.procs {
		m.advance(p, len(m.log))
	}
	return m
}

func modelContract(limit int64) Contract {
	return Contract{
		Team: modelTeam, Services: []state.Service{"s"}, Classes: []state.Class{state.ClassBatch},
		SubmitRate: 1, SubmitBurst: 1, Weight: 1, PartitionPolicy: PartitionServe,
		Limit: state.Vector{CPUMilli: 7 * limit, MemoryMB: 3, Slots: limit},
	}
}

func (m *model) newVM() int {
	m.vms++
	return m.vms
}

func (m *model) record(base int64, body Body) Record {
	m.writes++
	return Record{ID: fmt.Sprintf("w%d", m.writes), Base: base, Body: body}
}

func (m *model) append(record Record) {
	offset := int64(len(m.log))
	m.log = append(m.log, record)
	m.head.Apply(offset, record)
	m.limits = append(m.limits, m.head.contracts.rows[modelTeam].Limit)
}

func (m *model) send(base int64, body Body) { m.inflight = append(m.inflight, m.record(base, body)) }

// deliver appends one of the records in flight, and sometimes leaves it in flight
// as a duplicate.
func (m *model) deliver() {
	if len(m.inflight) == 0 {
		return
	}
	i := m.draw(len(m.inflight))
	m.append(m.inflight[i])
	if m.draw(4) != 0 {
		m.inflight = slices.Delete(m.inflight, i, i+1)
	}
}

func (m *model) drop() {
	if len(m.inflight) > 0 {
		i := m.draw(len(m.inflight))
		m.inflight = slices.Delete(m.inflight, i, i+1)
	}
}

func (m *model) randomProcess() *process { return m.procs[m.draw(len(m.procs))] }

func (m *model) randomDomain() state.DomainID { return modelDomains[m.draw(len(modelDomains))] }

// startProcess starts a process from a snapshot of the newest state.
func (m *model) startProcess(id string, domain state.DomainID) {
	fold := restore(m.head.View().encodedState())
	fold.skipConfirm, fold.skipSettle = m.head.skipConfirm, m.head.skipSettle
	p := &process{id: state.EntryID(id), domain: domain, fold: fold, alive: true}
	m.procs = append(m.procs, p)
	m.register(p)
}

func (m *model) register(p *process) {
	base := NoVersion
	if earlier, ok := p.fold.View().EntryOn(p.id.VM()); ok {
		base = earlier.Registered
	}
	m.send(base, RegisterEntry{Entry: p.id, Domain: p.domain})
}

func (m *model) advance(p *process, maxRecords int) {
	if !p.alive {
		return
	}
	for range maxRecords {
		next := p.fold.Version() + 1
		if next >= int64(len(m.log)) {
			return
		}
		p.fold.Apply(next, m.log[next])
	}
}

// fits reports whether all running work in an owner's domain fits the allotment in
// the owner's fold.
func (m *model) fits(p *process) bool {
	return m.running[p.domain] <= p.fold.View().Allotment(modelTeam, p.domain).Slots
}

func (m *model) confirm(p *process) {
	if !p.alive {
		return
	}
	if !p.mayOwn() {
		m.register(p)
		return
	}
	owner := m.owners[p.domain] == p
	due, settle := p.fold.View().ConfirmDue(p.id)
	if owner && !m.fits(p) && !p.fold.skipSettle {
		return
	}
	if due || settle && owner {
		m.send(AnyVersion, Confirm{Entry: p.id, Version: p.fold.Version(), Settled: owner})
	}
}

// killOrReplace kills a live process, or restarts a dead one on the same VM or on a
// new one.
func (m *model) killOrReplace(p *process) {
	if p.alive {
		p.alive = false
		if m.owners[p.domain] == p {
			delete(m.owners, p.domain)
		}
		return
	}
	m.procs = slices.DeleteFunc(m.procs, func(q *process) bool { return q == p })
	if m.draw(2) == 0 {
		m.startProcess(fmt.Sprintf("%s/%d", p.id.VM(), m.newVM()), p.domain)
		return
	}
	m.send(AnyVersion, UnregisterEntry{Entry: p.id})
	m.startProcess(fmt.Sprintf("vm%d/1", m.newVM()), p.domain)
}

func (m *model) takeOwnership(p *process) {
	if p.mayOwn() {
		m.owners[p.domain] = p
	}
}

func (m *model) startWork(domain state.DomainID) {
	owner := m.owners[domain]
	if owner == nil {
		return
	}
	available := owner.fold.View().Allotment(modelTeam, domain).Slots - m.running[domain]
	if available > 0 {
		m.running[domain] += available
		m.starts++
	}
}

func (m *model) finishWork(domain state.DomainID) {
	if m.running[domain] > 0 {
		m.running[domain] -= 1 + int64(m.draw(int(m.running[domain])))
	}
}

func (m *model) moveAllotment() {
	view := m.randomProcess().fold.View()
	amount := state.Vector{CPUMilli: int64(m.draw(9)), Slots: 1 + int64(m.draw(3))}
	m.send(view.AllotmentVersion(modelTeam), MoveAllotment{Team: modelTeam, From: m.randomDomain(), To: m.randomDomain(), Amount: amount})
}

func (m *model) putContract() {
	limit := m.head.contracts.rows[modelTeam].Limit.Slots
	switch {
	case m.limitsFall && m.draw(6) == 0:
		m.append(m.record(AnyVersion, WithdrawContract{Team: modelTeam}))
		return
	case m.limitsFall:
		limit = int64(m.draw(3 * modelLimit))
	default:
		limit += int64(m.draw(3))
	}
	m.append(m.record(AnyVersion, PutContract{Contract: modelContract(limit)}))
}

func (m *model) putDomains() {
	list := make([]Domain, 0, len(modelDomains))
	for _, id := range modelDomains {
		list = append(list, Domain{ID: id, Weight: 1 + int64(m.draw(5))})
	}
	m.append(m.record(AnyVersion, PutDomains{Domains: list}))
}

func (m *model) joinUpstream(domain state.DomainID) {
	m.joins++
	id := state.VMID(fmt.Sprintf("u%d", m.joins))
	m.append(m.record(NoVersion, JoinUpstreams{Domain: domain, Upstreams: []Upstream{{ID: id, Service: "s"}}}))
}

// step performs one random action.
func (m *model) step() {
	steps := [...]struct {
		weight int
		do     func()
	}{
		{10, func() { m.advance(m.randomProcess(), 1+m.draw(6)) }},
		{10, func() { m.advance(m.randomProcess(), len(m.log)) }},
		{15, func() { m.confirm(m.randomProcess()) }},
		{25, m.deliver},
		{3, m.drop},
		{1, func() { m.killOrReplace(m.randomProcess()) }},
		{6, func() { m.takeOwnership(m.randomProcess()) }},
		{15, func() { m.startWork(m.randomDomain()) }},
		{3, func() { m.finishWork(m.randomDomain()) }},
		{8, m.moveAllotment},
		{1, m.putContract},
		{1, m.putDomains},
		{2, func() { m.joinUpstream(m.randomDomain()) }},
	}
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	choice := m.draw(total)
	for _, s := range steps {
		if choice -= s.weight; choice < 0 {
			s.do()
			return
		}
	}
}

// usableAllotments returns the sum over the domains of the largest allotment that
// a live entry there has in its own fold, and the limit that the sum must not
// exceed: the largest that was in force since the oldest of these folds.
func (m *model) usableAllotments() (sum, limit state.Vector) {
	maxByDomain := map[state.DomainID]state.Vector{}
	oldest := m.head.Version()
	for _, p := range m.procs {
		if p.mayOwn() {
			maxByDomain[p.domain] = maxByDomain[p.domain].Max(p.fold.View().Allotment(modelTeam, p.domain))
			oldest = min(oldest, p.fold.Version())
		}
	}
	for _, amount := range maxByDomain {
		sum = sum.Add(amount)
	}
	for _, atVersion := range m.limits[oldest:] {
		limit = limit.Max(atVersion)
	}
	return sum, limit
}

// property is a property that must always hold in the model.
type property string

const (
	allotmentsWithinLimit property = "allotments within the limit"
	workWithinLimit       property = "running work within the limit"
	upstreamsKnown        property = "upstreams known to every entry"
)

// violation is a property that does not hold, with details.
type violation struct {
	property property
	detail   string
}

// violations returns the properties that do not hold in the current state.
func (m *model) violations() []violation {
	var out []violation
	if sum, limit := m.usableAllotments(); !sum.Fits(limit) {
		out = append(out, violation{allotmentsWithinLimit, fmt.Sprintf("%s of %s", sum, limit)})
	}
	if total := m.running["d0"] + m.running["d1"] + m.running["d2"]; !m.limitsFall && total > m.head.contracts.rows[modelTeam].Limit.Slots {
		out = append(out, violation{workWithinLimit, fmt.Sprintf("%d", total)})
	}
	for _, p := range m.procs {
		for _, q := range m.procs {
			if p.mayOwn() && q.mayOwn() && p.domain == q.domain {
				out = append(out, unknownUpstreams(p, q)...)
			}
		}
	}
	return out
}

// unknownUpstreams returns a violation for each upstream that p uses and q does
// not know.
func unknownUpstreams(p, q *process) []violation {
	var out []violation
	for _, u := range p.fold.View().Upstreams(p.domain) {
		if !q.fold.upstreams.rows[p.domain].has(u.ID) {
			out = append(out, violation{upstreamsKnown, fmt.Sprintf("%s uses upstream %s, which is unknown to %s", p.id, u.ID, q.id)})
		}
	}
	return out
}
