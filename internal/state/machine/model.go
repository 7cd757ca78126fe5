package machine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// ranFact is what is known of whether any task of a job ran.
type ranFact int

const (
	ranNever ranFact = iota
	// ranUnresolved: the fate of an attempt is being asked for.
	ranUnresolved
	// ranMaybe: nobody can tell any more.
	ranMaybe
	ranCertainly
)

// slot is the place of one task of a job.
type slot struct {
	// attempt is the number of the last attempt.
	attempt int
	// current is the attempt that may run; nil when none does.
	current *attempt
	done    bool
	output  []byte
	// avoid is the upstream where the last attempt failed.
	avoid state.VMID
}

// ending is the answer that a job gets once its tasks are proved to have ended.
type ending struct {
	state  state.JobState
	reason state.Reason
	detail string
	remedy string
}

// job is the record of one job.
type job struct {
	// spec is never changed in place: Start actions share it.
	spec       *state.Job
	payloadSum uint64
	// hasPayload is false for a job rebuilt from what workers reported.
	hasPayload bool
	adopted    bool
	// amount is what each task commits, at least spec.Each.
	amount  state.Vector
	state   state.JobState
	arrived state.Time
	slots   []slot
	// pending are the indexes that wait to be placed.
	pending []int
	// active counts attempts that may run, delayed counts indexes that wait
	// for a retry, done counts indexes that succeeded.
	active  int
	delayed int
	done    int
	retries int
	ran     ranFact
	ending  *ending
	refusal *state.Refusal
	item    queue.Item
	// queued says that the job counts against the team's queue.
	queued   bool
	deadline *timer
	expires  state.Time
	// preempting counts attempts that were stopped to make room for the job.
	preempting int
	// regroup says that a gang stops what it started, to be placed again.
	regroup bool
	// watched says that a timer looks at the waiting gang.
	watched bool
	// held says that the job waits until every upstream is fenced.
	held bool
}

func (j *job) gang() bool { return j.spec.Class == state.ClassGang }

// restartable reports whether a task that may have run may be started again.
func (j *job) restartable() bool { return j.spec.Idempotent && j.hasPayload }

// verdict tells whether the job has run.
func (j *job) verdict() state.Verdict {
	if j.ran == ranCertainly {
		return state.HasRun
	}
	if j.ran == ranNever && j.active == 0 {
		return state.NotRun
	}
	return state.Unknown
}

// phase is the progress of an attempt.
type phase int

const (
	phaseStarting phase = iota
	// phaseResolving: the answer to the start was lost.
	phaseResolving
	phaseRunning
)

// attempt is one start of a task. It exists until its end is proved.
type attempt struct {
	id       state.TaskID
	job      *job
	index    int
	up       *upstream
	amount   state.Vector
	phase    phase
	started  bool
	position int
	// verb is the last stop that was sent; empty when none.
	verb StopVerb
	// victim says that the stop was sent to make room for beneficiary.
	victim      bool
	beneficiary *job
	probe       bool
	released    bool
	// placedAt is when the attempt was placed or taken over.
	placedAt state.Time
	// backfill says that the upstream was held for a gang when the attempt was
	// placed there.
	backfill bool
	// yields says that the attempt may be stopped for urgent work.
	yields bool
}

// taskID renders "<job>/<index>/<attempt>".
func taskID(id state.JobID, index, attempt int) state.TaskID {
	buf := make([]byte, 0, len(id)+8)
	buf = append(buf, id...)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(index), 10)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(attempt), 10)
	return state.TaskID(buf)
}

// splitTaskID is the reverse of taskID.
func splitTaskID(id state.TaskID) (jobID state.JobID, index, attempt int, err error) {
	text := string(id)
	last := strings.LastIndexByte(text, '/')
	first := strings.LastIndexByte(text[:max(last, 0)], '/')
	if first < 0 {
		return "", 0, 0, fmt.Errorf("machine: task ID %q is not <job>/<index>/<attempt>; stop the task by hand", id)
	}
	index, err = strconv.Atoi(text[first+1 : last])
	if err != nil {
		return "", 0, 0, fmt.Errorf("machine: index of task ID %q: %w", id, err)
	}
	attempt, err = strconv.Atoi(text[last+1:])
	if err != nil {
		return "", 0, 0, fmt.Errorf("machine: attempt of task ID %q: %w", id, err)
	}
	return state.JobID(text[:first]), index, attempt, nil
}

// team is the record of one team.
type team struct {
	id    state.TeamID
	quota Quota
	// known says that the team has a quota.
	known  bool
	usage  state.Vector
	queued int
	drain  drainRate
}

// upstream is the machine's record of one VM; the cell holds its capacity.
type upstream struct {
	vm          state.VMID
	rack        string
	service     state.Service
	capacity    state.Vector
	incarnation string
	// past are the incarnations seen before this one.
	past []string
	// unknown says that work of an earlier owner may run there.
	unknown bool
	// fenced says that the worker obeys this owner.
	fenced  bool
	silent  bool
	leaving bool
	// faulted says that the upstream refused a start for a fault of its own.
	faulted bool
	// holder is the gang that the upstream is held for.
	holder *job
	tasks  []*attempt
	health health
}
