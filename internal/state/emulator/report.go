package emulator

import (
	"cmp"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirerail/samphirerail/internal/state"
)

// The range of recorded waiting times, and their precision in significant decimal
// digits.
const (
	maxWait    = 2 * time.Hour
	waitDigits = 3
)

// urgentGroup is the group of urgent jobs of all classes.
const urgentGroup = "urgent"

// Report is the outcome of a replay.
type Report struct {
	Policy     string `json:"policy"`
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Jobs       int    `json:"jobs"`
	// Succeeded, Cancelled, Failed, Refused and Unknown count the jobs by their final
	// answer.
	Succeeded int `json:"succeeded"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	Refused   int `json:"refused"`
	Unknown   int `json:"unknown"`
	// Waits has one element for each class, then one for all urgent jobs.
	Waits []Wait `json:"waits"`
	// Late counts the jobs with a deadline that did not succeed by it. Cancelled jobs
	// and those that can never run are left out.
	Late Late `json:"late"`
	// Packing has one element for each service, sorted by service.
	Packing []Packing `json:"packing"`
	// Teams has one element for each team, sorted by ID.
	Teams []TeamShare `json:"teams"`
	// Shortfall is the average of TeamShare.Shortfall over the teams, between 0 and 1.
	Shortfall float64 `json:"shortfall"`
	// Overused is the part of the samples of busy upstreams whose tasks actually use
	// more than the capacity.
	Overused float64 `json:"overused"`
	// Refusals counts the refusals by reason, sorted by reason.
	Refusals []RefusalCount `json:"refusals"`
	Starts   int            `json:"starts"`
	// Retries counts the starts of tasks after their first.
	Retries int `json:"retries"`
	// Decisions is the number of starts and final answers.
	Decisions int `json:"decisions"`
	// DecisionsPerSecond is the number of decisions per second of wall time spent in
	// the policy; 0 if it was not measured.
	DecisionsPerSecond float64 `json:"decisions_per_second"`
	// CancelSeconds is the wall time spent in the policy on cancels, in seconds.
	CancelSeconds float64     `json:"cancel_seconds"`
	Violations    []Violation `json:"breaches"`
	Timeline      []Sample    `json:"-"`
}

// Wait is the waiting time of a group of jobs: from the submission until every task was
// started once, or until the deadline ended the wait.
type Wait struct {
	Group string  `json:"group"`
	Jobs  int64   `json:"jobs"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Late counts jobs that missed their deadline. Part is Jobs divided by Of, the number
// of jobs with a deadline.
type Late struct {
	Jobs int     `json:"jobs"`
	Of   int     `json:"of"`
	Part float64 `json:"part"`
}

// Packing is the utilization of a service while work within the limit of its team waits
// for the service. Parts are between 0 and 1.
type Packing struct {
	Service state.Service `json:"service"`
	// InUse counts what tasks declare, RealUse what they actually use, at most the
	// capacity of each upstream.
	InUse   float64 `json:"in_use"`
	RealUse float64 `json:"real_use"`
	// Stranded is the part of the accelerators that is free on upstreams without a free
	// slot or processor, while work waits for accelerators.
	Stranded float64 `json:"stranded_accelerators"`
}

// TeamShare is the average share of a team while it has work waiting that its limit
// allows, as a dominant share of a failure domain.
type TeamShare struct {
	Team  state.TeamID `json:"team"`
	Share float64      `json:"share"`
	// Fair is the weighted fair share of the team among the teams that run or wait, at
	// most its limit.
	Fair float64 `json:"fair"`
	// Distance is the absolute difference between Share and Fair.
	Distance float64 `json:"distance"`
	// Shortfall is the average amount by which the share was below the fair share.
	Shortfall float64 `json:"shortfall"`
}

// RefusalCount is the number of answers with a refusal reason.
type RefusalCount struct {
	Reason state.Reason `json:"reason"`
	Count  int          `json:"count"`
}

// meter collects the measurements of a replay.
type meter struct {
	services  []*namedService
	teams     []*namedTeam
	upstreams upstreamMeter
	timeline  []Sample
	starts    int
}

type namedService struct {
	name state.Service
	serviceMeter
}

type namedTeam struct {
	id state.TeamID
	teamMeter
}

func newMeter() *meter { return &meter{} }

func (m *meter) service(name state.Service) *serviceMeter {
	for _, s := range m.services {
		if s.name == name {
			return &s.serviceMeter
		}
	}
	s := &namedService{name: name}
	m.services = append(m.services, s)
	return &s.serviceMeter
}

func (m *meter) team(id state.TeamID) *teamMeter {
	for _, t := range m.teams {
		if t.id == id {
			return &t.teamMeter
		}
	}
	t := &namedTeam{id: id}
	m.teams = append(m.teams, t)
	return &t.teamMeter
}

func (e *Emulator) report() *Report {
	r := &Report{
		Policy:     e.opts.Name,
		Deployment: string(e.trace.Header.Deployment),
		Seed:       e.trace.Header.Seed,
		Jobs:       len(e.jobOrder),
		Starts:     e.meter.starts,
		Violations: e.violations,
		Timeline:   e.meter.timeline,
	}
	for _, n := range e.starts {
		r.Retries += max(n-1, 0)
	}
	e.reportAnswers(r)
	e.reportWaits(r)
	e.reportLate(r)
	e.reportPacking(r)
	e.reportTeams(r)
	e.reportCost(r)
	return r
}

func (e *Emulator) reportAnswers(r *Report) {
	reasons := map[state.Reason]int{}
	for _, rec := range e.jobOrder {
		switch rec.answer.State {
		case state.JobSucceeded:
			r.Succeeded++
		case state.JobCancelled:
			r.Cancelled++
		case state.JobFailed:
			r.Failed++
		case state.JobRefused:
			r.Refused++
		case state.JobUnknown:
			r.Unknown++
		case state.JobQueued, state.JobRunning:
		}
		if refusal := rec.answer.Refusal; refusal != nil {
			reasons[refusal.Reason]++
		}
	}
	for reason, count := range reasons {
		r.Refusals = append(r.Refusals, RefusalCount{Reason: reason, Count: count})
	}
	slices.SortFunc(r.Refusals, func(a, b RefusalCount) int { return cmp.Compare(a.Reason, b.Reason) })
}

// wait returns how long a job waited, and whether that is known.
func (rec *record) wait() (time.Duration, bool) {
	if rec.unstartedTasks == 0 {
		return rec.placed - rec.submitted, true
	}
	refusal := rec.answer.Refusal
	if refusal != nil && refusal.Reason == state.ReasonDeadline {
		return rec.answered - rec.submitted, true
	}
	return 0, false
}

func (e *Emulator) reportWaits(r *Report) {
	groups := []string{
		string(state.ClassRequest), string(state.ClassBatch),
		string(state.ClassGang), string(state.ClassStanding), urgentGroup,
	}
	for _, group := range groups {
		histogram := hdr.New(1, maxWait.Microseconds(), waitDigits)
		for _, rec := range e.jobOrder {
			if string(rec.spec.Class) != group && (group != urgentGroup || !rec.spec.Urgent) {
				continue
			}
			if waited, ok := rec.wait(); ok {
				// Waits beyond the range are recorded as maxWait.
				_ = histogram.RecordValue(min(waited, maxWait).Microseconds())
			}
		}
		r.Waits = append(r.Waits, Wait{
			Group: group, Jobs: histogram.TotalCount(),
			P50MS: milliseconds(histogram, 50), P99MS: milliseconds(histogram, 99),
		})
	}
}

func milliseconds(h *hdr.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

func (e *Emulator) reportLate(r *Report) {
	for _, rec := range e.jobOrder {
		refusal := rec.answer.Refusal
		neverRunnable := refusal != nil && (refusal.Reason == state.ReasonNeverRunnable || refusal.Reason == state.ReasonOverLimit)
		if rec.spec.DeadlineMicros == 0 || rec.cancelled || neverRunnable {
			continue
		}
		r.Late.Of++
		deadline := time.Duration(rec.spec.DeadlineMicros) * time.Microsecond
		if rec.answer.State != state.JobSucceeded || rec.answered-rec.submitted > deadline {
			r.Late.Jobs++
		}
	}
	r.Late.Part = average(float64(r.Late.Jobs), r.Late.Of)
}

func (e *Emulator) reportPacking(r *Report) {
	for _, s := range e.meter.services {
		r.Packing = append(r.Packing, Packing{
			Service: s.name, InUse: average(s.inUse, s.samples),
			RealUse: average(s.realUse, s.samples), Stranded: average(s.stranded, s.strandedSamples),
		})
	}
	slices.SortFunc(r.Packing, func(a, b Packing) int { return cmp.Compare(a.Service, b.Service) })
	r.Overused = average(float64(e.meter.upstreams.overused), e.meter.upstreams.busy)
}

func (e *Emulator) reportTeams(r *Report) {
	for _, t := range e.meter.teams {
		share := average(t.share, t.samples)
		fair := average(t.fair, t.samples)
		shortfall := average(t.shortfall, t.samples)
		r.Teams = append(r.Teams, TeamShare{Team: t.id, Share: share, Fair: fair, Distance: max(fair-share, share-fair), Shortfall: shortfall})
		r.Shortfall += shortfall
	}
	r.Shortfall = average(r.Shortfall, len(r.Teams))
	slices.SortFunc(r.Teams, func(a, b TeamShare) int { return cmp.Compare(a.Team, b.Team) })
}

func (e *Emulator) reportCost(r *Report) {
	r.Decisions = r.Starts
	for _, rec := range e.jobOrder {
		r.Decisions += rec.answers
	}
	var busy, cancelling time.Duration
	for _, d := range e.domains {
		busy += d.busy
		cancelling += d.cancelling
	}
	r.CancelSeconds = cancelling.Seconds()
	if busy > 0 {
		r.DecisionsPerSecond = float64(r.Decisions) / busy.Seconds()
	}
}

// average returns sum divided by count, or 0 without a count.
func average(sum float64, count int) float64 {
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
