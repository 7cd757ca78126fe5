package machine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/crashes"
	"github.com/samphirerail/samphirerail/internal/state/queue"
)

// runStatus records what is known about whether any task of a job has run. The values
// are ordered by the strength of the evidence.
type runStatus int

const (
	ranNever runStatus = iota
	// ranUnconfirmed: a start is unconfirmed and its fate is being resolved.
	ranUnconfirmed
	// ranUndetermined: whether a task ran can no longer be determined.
	ranUndetermined
	ranConfirmed
)

// taskRecord is the record of one task of a job.
type taskRecord struct {
	// attempt is the number of the last attempt.
	attempt int
	// current is the attempt that may be running; nil when there is none.
	current *attempt
	done    bool
	output  []byte
	// avoid is the upstream on which the last attempt failed.
	avoid state.VMID
	// crashes is what is held against the task because upstreams crashed under it.
	crashes crashes.Record
}

// deferredResult is the result of a job that is answered only after the end of all its
// tasks has been confirmed.
type deferredResult struct {
	state  state.JobState
	reason state.Reason
	detail string
	remedy string
}

// job is the record of one job.
type job struct {
	// spec is never modified in place because Start actions share the pointer.
	spec       *state.Job
	payloadSum uint64
	// hasPayload is false for a job rebuilt from the tasks that workers reported,
	// because a report carries no payload.
	hasPayload bool
	adopted    bool
	// amount is what each task commits, at least spec.Each.
	amount  state.Vector
	state   state.JobState
	arrived state.Time
	tasks   []taskRecord
	// pending lists the indexes of the tasks that wait for placement.
	pending []int
	// active counts attempts that may be running, delayed counts tasks that wait for a
	// retry, and done counts tasks that succeeded.
	active   int
	delayed  int
	done     int
	retries  int
	losses   int
	ran      runStatus
	deferred *deferredResult
	refusal  *state.Refusal
	item     queue.Item
	// queued reports whether the job counts against the team's queue limit.
	queued   bool
	deadline *timer
	expires  state.Time
	// preempting counts attempts that are being stopped to free capacity for the job.
	preempting int
	// gangRestart is set while a gang stops the tasks that it started, after which all
	// of them are placed again.
	gangRestart bool
	// recheckScheduled is set while a timer is pending that checks the waiting job
	// again: a gang for a reservation, an urgent job for preemption.
	recheckScheduled bool
	// awaitingReconcile is set while the job waits until every upstream of its service
	// has been fenced.
	awaitingReconcile bool
}

func (j *job) gang() bool { return j.spec.Class == state.ClassGang }

// restartable reports whether a task that may have run may be started again.
func (j *job) restartable() bool { return j.spec.Idempotent && j.hasPayload }

// verdict returns whether the job has run, as far as is known.
func (j *job) verdict() state.Verdict {
	if j.ran == ranConfirmed {
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
	// phaseResolving: the response to the start was lost and its fate is being
	// resolved.
	phaseResolving
	phaseRunning
)

// attempt is one start of a task. Its record is kept until its end is confirmed.
type attempt struct {
	id       state.TaskID
	job      *job
	index    int
	up       *upstream
	amount   state.Vector
	phase    phase
	started  bool
	position int
	// verb is the last stop that was sent; empty when none was.
	verb StopVerb
	// victim is set when the stop was sent to free capacity for preemptor.
	victim    bool
	preemptor *job
	probe     bool
	released  bool
	// placedAt is when the attempt was placed or adopted.
	placedAt state.Time
	// backfill is set when the upstream was reserved for a gang at the time that the
	// attempt was placed there.
	backfill bool
	// preemptible is set when the attempt may be stopped for urgent work.
	preemptible bool
}

// taskID formats an ID as "<job>/<index>/<attempt>".
func taskID(id state.JobID, index, attempt int) state.TaskID {
	buf := make([]byte, 0, len(id)+8)
	buf = append(buf, id...)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(index), 10)
	buf = append(buf, '/')
	buf = strconv.AppendInt(buf, int64(attempt), 10)
	return state.TaskID(buf)
}

// splitTaskID parses an ID that taskID formatted.
func splitTaskID(id state.TaskID) (jobID state.JobID, index, attempt int, err error) {
	text := string(id)
	last := strings.LastIndexByte(text, '/')
	first := strings.LastIndexByte(text[:max(last, 0)], '/')
	if first < 0 {
		return "", 0, 0, fmt.Errorf("machine: task ID %q does not have the form <job>/<index>/<attempt>; stop the task manually", id)
	}
	index, err = strconv.Atoi(text[first+1 : last])
	if err != nil {
		return "", 0, 0, fmt.Errorf("machine: invalid index in task ID %q: %w", id, err)
	}
	attempt, err = strconv.Atoi(text[last+1:])
	if err != nil {
		return "", 0, 0, fmt.Errorf("machine: invalid attempt in task ID %q: %w", id, err)
	}
	return state.JobID(text[:first]), index, attempt, nil
}

// team is the record of one team.
type team struct {
	id    state.TeamID
	quota Quota
	// hasQuota is false for a team that has no quota in this shard.
	hasQuota    bool
	usage       state.Vector
	queued      int
	dequeueRate dequeueRate
}

// upstream is the machine's record of one VM. The free capacity is kept in the cell.
type upstream struct {
	vm          state.VMID
	rack        string
	service     state.Service
	capacity    state.Vector
	incarnation string
	// pastIncarnations lists the incarnations seen before the current one.
	pastIncarnations []string
	// unreconciled is set until the upstream was fenced for the first time by this
	// owner. Until then, tasks that an earlier owner started may be running there.
	unreconciled bool
	// fenced is set while this owner's fencing token is in force on the worker.
	fenced      bool
	unreachable bool
	leaving     bool
	// faulted is set when the upstream refused a start because of a fault of its own.
	faulted bool
	// reservedFor is the gang that the upstream is reserved for; nil when there is
	// none.
	reservedFor *job
	attempts    []*attempt
	health      health
	// unreachableSince is when the upstream stopped responding, and closed is set if its process
	// closed the connections then.
	unreachableSince state.Time
	closed           bool
	// lapsed holds the tasks whose lease expired there, until the incarnation that responds next
	// shows whether the upstream has crashed.
	lapsed []lostTask
	// trial is the attempt that has the upstream for itself; nil when there is none.
	trial *attempt
}
