package loadtool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// planSeed is the second half of the seed of the random generator.
const planSeed = 0x6c6f6164

// Call is one job to send.
type Call struct {
	Number int
	Class  state.Class
	Tasks  int
	Job    Job
	// Answer is the expected output of each task.
	Answer string
	// due is the time to send the job, from the start of the run.
	due time.Duration
}

// Payload returns the input of each task, in the format of stand-in upstreams.
func (c *Call) Payload() []byte {
	return fmt.Appendf(nil, `{"run_ms":%d,"output":%q}`, c.Job.RunTime.Milliseconds(), c.Answer)
}

// gangTasks is the number of tasks of a gang.
const gangTasks = 2

// Target submits a job and waits for its result. Implementations are safe for concurrent
// use.
type Target interface {
	// Do makes the call and returns its outcome. It returns early when ctx ends.
	Do(ctx context.Context, call *Call) Outcome
}

// Outcome is how a call ended: one of the constants below, the reason of a refusal, or,
// from Direct, the final state of a task.
type Outcome string

// The outcomes other than reasons of refusals and states of tasks.
const (
	OutcomeSucceeded Outcome = "succeeded"
	// OutcomeWrong means that the reply is malformed or incomplete, or holds the output
	// of another job.
	OutcomeWrong Outcome = "wrong_answer"
	// OutcomeUnfinished means that the job had not ended when the call returned.
	OutcomeUnfinished Outcome = "unfinished"
	// OutcomeNoReply means that the call failed without a reply.
	OutcomeNoReply Outcome = "no_answer"
	// OutcomeNotStarted means that the upstream refused a start from Direct.
	OutcomeNotStarted Outcome = "not_started"
)

// checkOutputs compares the outputs of the tasks with the expected one.
func (c *Call) checkOutputs(outputs [][]byte) Outcome {
	if len(outputs) != c.Tasks {
		return OutcomeWrong
	}
	for _, out := range outputs {
		if string(out) != c.Answer {
			return OutcomeWrong
		}
	}
	return OutcomeSucceeded
}

// planCalls returns all calls of a run in the order of their due times. The gaps between
// them are exponentially distributed.
func planCalls(opts *Options) []*Call {
	random := rand.New(rand.NewPCG(opts.Seed, planSeed))
	totalWeight := 0
	for _, p := range opts.Mix {
		totalWeight += p.Weight
	}
	var calls []*Call
	due := time.Duration(0)
	for {
		due += time.Duration(random.ExpFloat64() / opts.Rate * float64(time.Second))
		if due >= opts.Duration {
			return calls
		}
		n := len(calls)
		call := &Call{Number: n, Tasks: 1, Job: opts.Job, Answer: fmt.Sprintf("answer %d", n), due: due}
		call.Class = pickClass(opts.Mix, random.IntN(totalWeight))
		if call.Class == state.ClassGang {
			call.Tasks = gangTasks
		}
		calls = append(calls, call)
	}
}

// pickClass returns the class for a number from 0 up to the total weight.
func pickClass(mix []ClassWeight, n int) state.Class {
	for _, p := range mix {
		if n < p.Weight {
			return p.Class
		}
		n -= p.Weight
	}
	return mix[0].Class
}

// Run sends jobs to a target and returns the measurements under the given name. It fails
// with an *OptionError, or with the error of ctx if ctx ends first.
func Run(ctx context.Context, name string, target Target, opts Options) (*Report, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	calls := planCalls(&opts)
	recorders := make([]*recorder, opts.Callers)
	var next atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	for i := range recorders {
		r := newRecorder()
		recorders[i] = r
		callers.Go(func() {
			for {
				n := int(next.Add(1)) - 1
				if n >= len(calls) || !waitUntil(ctx, start.Add(calls[n].due)) {
					return
				}
				r.measure(ctx, target, calls[n], start)
			}
		})
	}
	callers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return newReport(name, recorders, time.Since(start)), nil
}

// waitUntil waits until due. It reports whether due was reached before ctx ended.
func waitUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
