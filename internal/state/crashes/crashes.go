// Package crashes decides what the crash of an upstream says about the tasks that ran there:
// which of them are to be tried on an upstream of their own, and which are given up. The load
// that it addresses is a queue in which some tasks bring down every upstream that starts them,
// beside crashes that have other causes, such as the loss of a rack. It holds no task itself
// and is used by both schedulers.
package crashes

import "time"

const (
	// startAge is the age up to which a run may have crashed its upstream by its start. Most
	// tasks that crash an upstream do so within some milliseconds.
	startAge = 250 * time.Millisecond
	// answerAge is the age up to which a start without an answer may have begun a run. After that
	// a poll has shown it.
	answerAge = time.Second
	// isolateBlame is the blame in percent from which a task is tried alone, isolateCount the
	// number of crashes.
	isolateBlame, isolateCount = 50, 2
	// leastCertain is the least number of crashes under a task that is given up.
	leastCertain = 2
	// mostCrashesAlone is the number of crashes after which a task is given up if it was alone at
	// the newest one, and mostCrashes that after which it is given up in any case. Those that may
	// have another cause count for the latter beside leastCertain certain ones, or beside
	// leastAlone others if the task was alone at the newest one.
	mostCrashesAlone, mostCrashes, leastAlone = 4, 5, 3
	// A task is given up without a trial after fewestBlamed certain crashes in which its shares of
	// the blame add up to givenUpBlame percent: hardly another job had just begun on any of them.
	fewestBlamed, givenUpBlame = 3, 250
	// A task has survived once a run has lasted survivalFactor times as long as the longest one
	// that ended with a crash. The bounds are those of a trial, and of the time until the record
	// of a task without an end is cleared.
	survivalFactor        = 2
	leastTrial, mostTrial = time.Second, 10 * time.Second
	leastClear, mostClear = 30 * time.Second, time.Hour
)

// Presence is a run that was on an upstream when it crashed.
type Presence struct {
	Job string
	// Age is the time from the start of the run to the crash; negative if not known.
	Age time.Duration
	// Certain says that the run is known to have begun.
	Certain bool
}

// justBegun reports whether the start of the run may be the cause of the crash.
func (p *Presence) justBegun() bool { return p.Age >= 0 && p.Age <= startAge }

// mayHaveBegun reports whether the run is known to have begun, or is as likely as not to have.
func (p *Presence) mayHaveBegun() bool { return p.Certain || (p.Age >= 0 && p.Age <= answerAge) }

// Evidence is what is known of a crash.
type Evidence uint8

// Kinds of evidence. Silence is none: an upstream that does not answer may go on with its runs, or
// may have ended long after its last answer.
const (
	// Confirmed: the upstream closed its connections, and another process answers in its place
	// before the leases of its runs have expired.
	Confirmed Evidence = iota
	// Presumed: it closed its connections, and nothing has answered in its place until the leases
	// had expired. A network that rejects connections looks the same.
	Presumed
	// Shared: other upstreams were lost with it, so that the cause may be one that they share.
	Shared
)

// String returns the evidence as written to logs.
func (e Evidence) String() string { return [...]string{"confirmed", "presumed", "shared"}[e] }

// Involvement is what one crash says about one of the runs.
type Involvement struct {
	// Certain says that the upstream certainly crashed while the run was there, Shared that the
	// upstream may be lost for another cause.
	Certain, Shared bool
	// Blame is the probability in percent that the run's job is the cause.
	Blame int
	// Alone says that all runs on the upstream belonged to one job, and that no other cause
	// explains the crash.
	Alone bool
	Age   time.Duration
}

// Assess returns the involvement of each run that was on an upstream when it crashed. For a
// confirmed crash the jobs whose runs had just begun have equal shares of the blame; if none had,
// all have. Another cause does not explain the crash for runs that had just begun, again and again:
// many tasks that crash their upstreams at once look like one cause, too. A run that is not known
// to have begun counts only if its start was sent shortly before a confirmed crash.
func Assess(present []Presence, evidence Evidence) []Involvement {
	jobs, begun := map[string]struct{}{}, map[string]struct{}{}
	for _, p := range present {
		jobs[p.Job] = struct{}{}
		if p.justBegun() {
			begun[p.Job] = struct{}{}
		}
	}
	blamed := begun
	if len(blamed) == 0 {
		blamed = jobs
	}
	out := make([]Involvement, len(present))
	for i, p := range present {
		confirmed := evidence == Confirmed
		otherCause := !p.mayHaveBegun() || (!confirmed && (!p.Certain || !p.justBegun()))
		out[i] = Involvement{Certain: p.Certain && confirmed, Shared: otherCause, Alone: len(jobs) == 1 && !otherCause, Age: p.Age}
		if _, ok := blamed[p.Job]; ok && confirmed && !otherCause {
			out[i].Blame = 100 / len(blamed)
		}
	}
	return out
}

// Record is what is held against a task. The zero value is that of a task under which no
// upstream has crashed.
type Record struct {
	// Certain counts the crashes at which the task certainly was on the upstream, Uncertain
	// those right after a start, where the start was not answered or the crash is not confirmed,
	// and Shared the losses of upstreams that may have another cause.
	Certain, Uncertain, Shared int
	// Blame is the sum of the task's shares of the blame in percent.
	Blame int
	// Alone says that only runs of the task's job were on the upstream at the newest certain or
	// uncertain crash.
	Alone bool
	// Age is the longest age of a run at a crash.
	Age time.Duration
}

// Empty reports whether no upstream has crashed under the task.
func (r *Record) Empty() bool { return r.Certain+r.Uncertain+r.Shared == 0 }

// Add adds a crash.
func (r *Record) Add(i Involvement) {
	r.Age = max(r.Age, i.Age)
	if i.Shared {
		r.Shared++
		return
	}
	if i.Certain {
		r.Certain++
	} else {
		r.Uncertain++
	}
	r.Blame += i.Blame
	r.Alone = i.Alone
}

// Verdict is how a task is treated.
type Verdict uint8

// Treatments of a task.
const (
	// Free: the task is placed like any other.
	Free Verdict = iota
	// Isolate: the task is tried on an upstream without runs of other jobs, so that a further
	// crash costs no other work and shows the cause.
	Isolate
	// GiveUp: the task is not started again; its job has failed.
	GiveUp
)

// String returns the verdict as written to logs.
func (v Verdict) String() string { return [...]string{"free", "isolate", "give-up"}[v] }

// Verdict returns how the task is treated.
func (r *Record) Verdict() Verdict {
	count := r.Certain + r.Uncertain
	switch {
	case count >= mostCrashes, count+r.Shared >= mostCrashes && (r.Certain >= leastCertain || (r.Alone && count >= leastAlone)):
		return GiveUp
	case r.Alone && (r.Certain >= leastCertain || count >= mostCrashesAlone):
		return GiveUp
	case r.Certain >= fewestBlamed && r.Blame >= givenUpBlame:
		return GiveUp
	case count+r.Shared >= isolateCount || r.Blame >= isolateBlame:
		return Isolate
	}
	return Free
}

// MustBeAlone reports whether the task is not started beside other work any more: one more crash
// there would cost that work and prove nothing.
func (r *Record) MustBeAlone() bool { return r.Certain+r.Uncertain >= mostCrashesAlone-1 }

// TrialTime returns how long a run of the task must last alone until other work may join it.
func (r *Record) TrialTime() time.Duration {
	return min(mostTrial, max(leastTrial, survivalFactor*r.Age))
}

// ClearedAfter returns how long a run of a task without an end must last until the task's
// record is cleared. Such tasks would otherwise collect crashes with other causes for ever.
func (r *Record) ClearedAfter() time.Duration {
	return min(mostClear, max(leastClear, survivalFactor*r.Age))
}

// trialShare is the share of a service's upstreams on which tasks may be tried alone at a
// time, as a divisor. Each trial may cost its upstream.
const trialShare = 5

// MaxTrials returns on how many of a number of upstreams tasks may be tried alone at a time,
// and on how many of these those of one workspace.
func MaxTrials(upstreams int) (all, workspace int) {
	all = max(1, upstreams/trialShare)
	return all, (all + 1) / 2
}
