package dispatch

import (
	"maps"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/scheduler"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

const (
	// recordDelay is how long an append may be in flight before starts are sent without
	// their record. A healthy log takes some 10 ms.
	recordDelay = 150 * time.Millisecond
	// listGap is the minimum time between two lists of which the later one only adds
	// upstreams. A list without an upstream that does not answer is never delayed, because a
	// successor holds tasks back for it.
	listGap = 500 * time.Millisecond
	// maxListed bounds the upstreams of a list, which is part of each heartbeat: 1,024 take
	// some 7 kB.
	maxListed = 1024
	// mixedConfigVersion is the version of a list whose upstreams were listed under different
	// configurations. No configuration has it.
	mixedConfigVersion = -1
)

// unrecordedStarts is the state of the starts that an owner sends before the log holds
// them. Only the control loop uses it.
type unrecordedStarts struct {
	// newest is the list in the newest append with a list, recorded the newest list that the
	// log is known to hold. While the former is in flight the log may hold either, so an
	// upstream must be on both.
	newest, recorded ownList
	// listedAt is when the newest list was made, and inherited the number of upstreams of
	// former owners that it holds.
	listedAt  time.Time
	inherited int
	// inFlight holds the starts in the append in flight that were not sent.
	inFlight []scheduler.Start
	// since is when the owner began to start tasks without records; zero while it does not.
	since time.Time
	count int
}

// ownList is a list of upstreams on which this owner may start tasks without a record.
type ownList struct {
	configVersion int64
	// incarnations holds the upstreams with the number of the incarnation that was listed. A
	// later one does not refuse commands of an owner that the former one refused.
	incarnations map[workload.UpstreamID]int
}

func (l *ownList) equal(other *ownList) bool {
	return l.configVersion == other.configVersion && maps.Equal(l.incarnations, other.incarnations)
}

// lacks reports whether an upstream of l is missing in another list, or there in another
// incarnation.
func (l *ownList) lacks(other *ownList) bool {
	for id, incarnation := range l.incarnations {
		if n, ok := other.incarnations[id]; !ok || n != incarnation {
			return true
		}
	}
	return false
}

type unrecordedMetrics struct {
	starts            metrics.Counter
	listed, unsettled metrics.Gauge
}

func newUnrecordedMetrics(registry metrics.Registry) unrecordedMetrics {
	return unrecordedMetrics{
		starts:    metrics.GetOrRegisterCounter("owner.unrecorded_starts", registry),
		listed:    metrics.GetOrRegisterGauge("owner.start_list", registry),
		unsettled: metrics.GetOrRegisterGauge("owner.start_list_unsettled", registry),
	}
}

// startList returns the list of a claim as the scheduler needs it.
func (p *ownerDeps) startList(claim ledger.Claim) scheduler.StartList {
	list, err := ledger.DecodeStartList(claim.StartList)
	if err != nil {
		p.logger.Error("start list not readable; tasks of earlier jobs wait until no run of a former owner can exist", "epoch", claim.Epoch, "error", err)
		return scheduler.StartList{Unreadable: true}
	}
	if n := len(list.Upstreams); n > 0 {
		p.logger.Info("start list inherited", "epoch", claim.Epoch, "upstreams", n, "config_version", list.ConfigVersion)
	}
	return scheduler.StartList{StartList: list}
}

// wantedList returns the list of the upstreams on which tasks may be started without a
// record from now on.
func (o *owner) wantedList() ownList {
	if !o.startsWithoutRecord {
		return ownList{}
	}
	want := ownList{configVersion: o.sched.ConfigVersion(), incarnations: map[workload.UpstreamID]int{}}
	for id, l := range o.links {
		if _, usable := o.sched.StartService(id); !usable {
			continue
		}
		l.mu.Lock()
		if l.answered {
			want.incarnations[id] = l.incarnation
		}
		l.mu.Unlock()
	}
	if extra := len(want.incarnations) - maxListed; extra > 0 {
		ids := slices.Sorted(maps.Keys(want.incarnations))
		for _, id := range ids[maxListed:] {
			delete(want.incarnations, id)
		}
	}
	return want
}

// updateStartList makes a new list if the newest one is outdated, and puts it in the claim.
// It returns the list, or nil if the newest one stays. The caller must append the claim.
func (o *owner) updateStartList(now time.Time) *ownList {
	u := &o.unrecorded
	unsettled := o.sched.UnsettledStarts()
	if unsettled.Unreadable {
		return nil // the claim holds the list as it was read
	}
	want := o.wantedList()
	lost := u.newest.lacks(&want)
	if want.equal(&u.newest) && len(unsettled.Upstreams) == u.inherited {
		return nil
	}
	if !lost && now.Sub(u.listedAt) < listGap {
		return nil
	}
	u.newest, u.listedAt, u.inherited = want, now, len(unsettled.Upstreams)
	o.claim.StartList = o.encodeStartList(want, unsettled)
	o.metrics.unrecorded.listed.Update(int64(len(want.incarnations)))
	o.metrics.unrecorded.unsettled.Update(int64(len(unsettled.Upstreams)))
	return &want
}

// encodeStartList encodes an owner's own list with the upstreams of former owners that are
// not settled.
func (o *owner) encodeStartList(own ownList, unsettled scheduler.StartList) []byte {
	list := ledger.StartList{ConfigVersion: own.configVersion, Upstreams: unsettled.Upstreams}
	if len(unsettled.Upstreams) > 0 && unsettled.ConfigVersion != own.configVersion {
		list.ConfigVersion = mixedConfigVersion
	}
	for id := range own.incarnations {
		service, _ := o.sched.StartService(id)
		list.Upstreams = append(list.Upstreams, ledger.ListedUpstream{Service: service, ID: id})
	}
	return list.Encode()
}

// releaseStartList leaves only the upstreams of former owners in the claim: the append that
// releases the ownership records all starts of this one.
func (o *owner) releaseStartList() {
	if unsettled := o.sched.UnsettledStarts(); !unsettled.Unreadable {
		o.unrecorded.newest = ownList{}
		o.claim.StartList = unsettled.Encode()
	}
}

// mayStartOn reports whether a task may be started on an upstream without a record: a
// successor looks for it there, and the upstream has answered its newest poll, so recently
// that it cannot have restarted unnoticed. If only the latter is missing, it is polled.
func (o *owner) mayStartOn(id workload.UpstreamID) bool {
	u, l := &o.unrecorded, o.links[id]
	version := o.sched.ConfigVersion()
	if l == nil || u.newest.configVersion != version || u.recorded.configVersion != version {
		return false
	}
	newest, inNewest := u.newest.incarnations[id]
	recorded, inRecorded := u.recorded.incarnations[id]
	if !inNewest || !inRecorded {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.answered || l.clockMS == 0 || l.incarnation != newest || l.incarnation != recorded {
		return false
	}
	if !l.unbroken && time.Since(l.polledAt) > verifyAfter {
		l.wake()
		return false
	}
	return true
}

// startWithoutRecord sends the starts whose record the log has not acknowledged for
// recordDelay, as far as a successor can do without the record. They are recorded by the
// append in flight or the one after it.
func (o *owner) startWithoutRecord(now time.Time) {
	u := &o.unrecorded
	if !o.startsWithoutRecord || !o.flushing || o.releasing || now.Sub(o.flushedAt) < recordDelay || !o.mayAct() {
		return
	}
	waiting := slices.Concat(u.inFlight, o.pendingStarts)
	starts := o.selectStarts(waiting)
	if len(starts) == 0 {
		return
	}
	if u.since.IsZero() {
		u.since = now
		o.logger.Info("starts without record begin", "epoch", o.epoch, "append_ms", now.Sub(o.flushedAt).Milliseconds(), "waiting", len(waiting), "selected", len(starts), "listed", len(u.recorded.incarnations))
	}
	u.count += len(starts)
	o.metrics.unrecorded.starts.Inc(int64(len(starts)))
	sent := make(map[scheduler.Run]struct{}, len(starts))
	for i := range starts {
		sent[starts[i].Run] = struct{}{}
	}
	wasSent := func(s scheduler.Start) bool { _, ok := sent[s.Run]; return ok }
	u.inFlight, o.pendingStarts = slices.DeleteFunc(u.inFlight, wasSent), slices.DeleteFunc(o.pendingStarts, wasSent)
	o.sendStarts(starts)
}

// selectStarts returns the starts that may be sent without a record, gangs as a whole.
func (o *owner) selectStarts(waiting []scheduler.Start) (selected []scheduler.Start) {
	usable := map[workload.UpstreamID]bool{}
	broken := map[workload.StepID]bool{}
	allowed := make([]bool, len(waiting))
	for i := range waiting {
		id := waiting[i].Upstream
		if _, known := usable[id]; !known {
			usable[id] = o.mayStartOn(id)
		}
		ok, gang := o.sched.MayStartUnrecorded(waiting[i].Run)
		_, unrecordedJob := o.submitted[waiting[i].Task.Job]
		allowed[i] = ok && usable[id] && !unrecordedJob
		if gang && !allowed[i] {
			broken[waiting[i].Task.StepID()] = true
		}
	}
	for i := range waiting {
		if allowed[i] && !broken[waiting[i].Task.StepID()] {
			selected = append(selected, waiting[i])
		}
	}
	return selected
}

// finishStartList notes that the log holds the append which began at the given time, with
// the list in it, if any.
func (o *owner) finishStartList(began time.Time, list *ownList) {
	if list != nil {
		o.unrecorded.recorded = *list
	}
	o.unrecorded.inFlight = nil
	if now := time.Now(); now.Sub(began) < recordDelay {
		o.endUnrecordedStarts(now, "the log answers")
	}
}

// endUnrecordedStarts logs that the owner starts tasks with their record again, after an
// append that took less than recordDelay, or that its term ends.
func (o *owner) endUnrecordedStarts(now time.Time, cause string) {
	u := &o.unrecorded
	if u.since.IsZero() {
		return
	}
	o.logger.Info("starts without record end", "epoch", o.epoch, "cause", cause, "took_ms", now.Sub(u.since).Milliseconds(), "starts", u.count)
	u.since, u.count = time.Time{}, 0
}

// listedFirst returns registrations with those of the upstreams first on which former
// owners may have started tasks without a record, because tasks wait until these are polled.
func (o *owner) listedFirst(records []ledger.Record) []ledger.Record {
	unsettled := map[string]bool{}
	for _, u := range o.sched.UnsettledStarts().Upstreams {
		unsettled[string(u.ID)] = true
	}
	if len(unsettled) == 0 {
		return records
	}
	first, rest := make([]ledger.Record, 0, len(records)), []ledger.Record(nil)
	for _, r := range records {
		if unsettled[r.Key] {
			first = append(first, r)
		} else {
			rest = append(rest, r)
		}
	}
	return append(first, rest...)
}
