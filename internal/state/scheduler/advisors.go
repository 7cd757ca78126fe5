package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// quickAdviceMS is the longest decision time of a quick advice request, in
	// milliseconds.
	quickAdviceMS = 60
	// A request is passed to an advisor at most quickLookahead or slowLookahead before its
	// earlier requests are expected to be answered. A longer queue would delay requests
	// that rank higher and come later; a shorter one would leave the advisor idle between
	// two plans.
	quickLookahead, slowLookahead = 60 * time.Millisecond, 50 * time.Millisecond
	// quickPerAdvisor and slowPerAdvisor bound the requests in flight of an advisor.
	quickPerAdvisor, slowPerAdvisor = 6, 2
	// advisorPause is how long an advisor gets no requests after a failed one.
	advisorPause = 2 * time.Second
	// excludedFailures is the number of requests in a row after whose failure the others serve
	// as if a paused advisor did not exist.
	excludedFailures = 2
	// quickReserve is the number of advisors that are reserved for quick requests, as a
	// multiple of those that the recent quick requests kept busy.
	quickReserve = 2.0
	// quickLoadWindow is the time constant of the moving average of that load.
	quickLoadWindow = time.Second
	// One advisor in slowShare, rounded up, is never reserved for quick requests, and one
	// in minQuickShare, rounded up, always is.
	slowShare, minQuickShare = 3, 8
	// Fewer than smallPool advisors serve whatever waits: none is left idle for requests
	// that may come, and none is reserved after quickLull without quick requests.
	smallPool = 4
	quickLull = 3 * time.Second
	// parallelShare is the share of the idle advisors that one search may use: one in
	// parallelShare.
	parallelShare = 4
	// minParallelUpstreams is the least number of upstreams in each request of a search
	// that is split.
	minParallelUpstreams = 24
)

// advisor is an entry that sends advice requests.
type advisor struct {
	name string
	// freeAt is when the requests in flight are expected to be answered.
	freeAt      state.Time
	inFlight    int
	pausedUntil state.Time
	// failures is the number of the newest requests that failed.
	failures int
}

// excluded reports whether an advisor that does not answer is left out of the pool.
func (a *advisor) excluded(now state.Time) bool {
	return a.failures >= excludedFailures && now < a.pausedUntil
}

// advisorPool assigns advice requests to advisors. The advice service serves one request
// at a time for each of them. It is written for a load of slow requests that keeps most
// advisors busy, beside quick requests that come in bursts.
type advisorPool struct {
	// advisors is sorted by name; the first ones are reserved for quick requests.
	advisors []*advisor
	// quickLoad is the number of advisors that quick requests kept busy, as a moving
	// average at quickLoadAt.
	quickLoad   float64
	quickLoadAt state.Time
	// serving is the memory of the result of members.
	serving []*advisor
}

// members returns the advisors that are not excluded, or all if all are. The result is valid
// until the next call.
func (p *advisorPool) members(now state.Time) []*advisor {
	p.serving = p.serving[:0]
	for _, a := range p.advisors {
		if !a.excluded(now) {
			p.serving = append(p.serving, a)
		}
	}
	if len(p.serving) == 0 {
		return p.advisors
	}
	return p.serving
}

// set replaces the advisors. Those that stay keep their state.
func (p *advisorPool) set(names []string) {
	next := make([]*advisor, 0, len(names))
	for _, name := range names {
		a := p.find(name)
		if a == nil {
			a = &advisor{name: name}
		}
		next = append(next, a)
	}
	slices.SortFunc(next, func(a, b *advisor) int { return cmp.Compare(a.name, b.name) })
	p.advisors = slices.CompactFunc(next, func(a, b *advisor) bool { return a.name == b.name })
}

func (p *advisorPool) find(name string) *advisor {
	for _, a := range p.advisors {
		if a.name == name {
			return a
		}
	}
	return nil
}

// reserved returns how many advisors are reserved for quick requests.
func (p *advisorPool) reserved(now state.Time) int {
	n := len(p.members(now))
	if n < 2 || n < smallPool && now-p.quickLoadAt >= quickLull {
		return 0
	}
	least, most := divideUp(n, minQuickShare), n-divideUp(n, slowShare)
	return min(max(least, int(math.Ceil(p.loadAt(now)*quickReserve))), most)
}

func divideUp(a, b int) int { return (a + b - 1) / b }

func (p *advisorPool) loadAt(now state.Time) float64 {
	return p.quickLoad * math.Exp(-float64(now-p.quickLoadAt)/float64(quickLoadWindow))
}

// choose returns the advisor for the next request of a class, or nil if there is none
// now. A slow background request gets an idle one, if it leaves spare ones idle.
func (p *advisorPool) choose(now state.Time, slow, background bool) *advisor {
	members, reserved := p.members(now), p.reserved(now)
	switch {
	case slow && background && p.idle(now) <= p.spare(now):
		return nil
	case slow:
		return p.earliest(now, members[reserved:], slowPerAdvisor, slowLookahead)
	}
	if a := p.earliest(now, members[:reserved], quickPerAdvisor, 0); a != nil {
		return a
	}
	return p.earliest(now, members, quickPerAdvisor, quickLookahead)
}

// assign assigns a request to the advisor that sends it. It reports false if there is none.
func (p *advisorPool) assign(now state.Time, req *AdviceRequest, background bool) bool {
	a := p.choose(now, req.Slow(), background)
	if a == nil {
		return false
	}
	cost := time.Duration(req.Advice.CallMS(len(req.Upstreams)) * float64(time.Millisecond))
	a.freeAt = max(a.freeAt, now) + cost
	a.inFlight++
	req.Advisor, req.Expected = a.name, a.freeAt-now
	if !req.Slow() {
		p.quickLoad = p.loadAt(now) + float64(cost)/float64(quickLoadWindow)
		p.quickLoadAt = now
	}
	return true
}

// earliest returns the advisor that is free first, or nil if none is free within the
// lookahead. Paused advisors are used only if all advisors of the pool are paused.
func (p *advisorPool) earliest(now state.Time, advisors []*advisor, perAdvisor int, lookahead time.Duration) *advisor {
	allPaused := !slices.ContainsFunc(p.advisors, func(a *advisor) bool { return now >= a.pausedUntil })
	var best *advisor
	for _, a := range advisors {
		usable := allPaused || now >= a.pausedUntil
		if usable && a.inFlight < perAdvisor && a.freeAt <= now+lookahead && (best == nil || a.freeAt < best.freeAt) {
			best = a
		}
	}
	return best
}

// spare returns how many advisors background requests leave idle: one, unless few others
// are left to serve them.
func (p *advisorPool) spare(now state.Time) int {
	if len(p.members(now)) < smallPool || p.countShared(now, func(*advisor) bool { return true }) < 2 {
		return 0
	}
	return 1
}

// idle returns the number of advisors without requests that are neither paused nor
// reserved for quick requests.
func (p *advisorPool) idle(now state.Time) int {
	return p.countShared(now, func(a *advisor) bool { return a.inFlight == 0 })
}

// countShared counts advisors among those that are neither paused nor reserved.
func (p *advisorPool) countShared(now state.Time, counts func(*advisor) bool) (n int) {
	for _, a := range p.members(now)[p.reserved(now):] {
		if now >= a.pausedUntil && counts(a) {
			n++
		}
	}
	return n
}

// parts returns into how many requests a slow search for n upstreams is split, so that
// several advisors share it.
func (p *advisorPool) parts(now state.Time, n int) int {
	return max(1, min(p.idle(now)/parallelShare, n/minParallelUpstreams))
}

// pause withholds requests from an advisor for advisorPause.
func (p *advisorPool) pause(now state.Time, name string) {
	if a := p.find(name); a != nil {
		a.pausedUntil, a.failures = now+advisorPause, max(a.failures, excludedFailures)
	}
}

// PauseAdvisor withholds advice requests from an entry that does not answer.
func (s *Scheduler) PauseAdvisor(now state.Time, name string) { s.advisors.pause(now, name) }

// finish records the end of a request. A failed one pauses its advisor.
func (p *advisorPool) finish(now state.Time, req *AdviceRequest, failed bool) {
	a := p.find(req.Advisor)
	if a == nil {
		return
	}
	if a.inFlight--; a.inFlight == 0 {
		a.freeAt = now
	}
	if !failed {
		a.failures = 0
		return
	}
	a.failures++
	a.pausedUntil = now + advisorPause
}
