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

// scheduleStream is the second half of the random generator's seed.
const scheduleStream = 0x6c6f6164

// Call is one job to send.
type Call struct {
	Number int
	Class  state.Class
	Tasks  int
	Job    Job
	// Answer is what each task must return.
	Answer string
	due    time.Duration
}

// Payload is the input of a task of the call, as stand-in upstreams read it.
func (c *Call) Payload() []byte {
	return fmt.Appendf(nil, `{"run_ms":%d,"output":%q}`, c.Job.RunTime.Milliseconds(), c.Answer)
}

// gangTasks is the number of tasks of a gang.
const gangTasks = 2

// Target takes a job and waits for its answer.
type Target interface {
	// Do returns the outcome of the call. It returns when ctx ends.
	Do(ctx context.Context, call *Call) Outcome
}

// Outcome tells how a call ended: OutcomeSucceeded, one of the other outcomes
// below, or the reason of a refusal.
type Outcome string

// The outcomes that are no reason of a refusal.
const (
	OutcomeSucceeded Outcome = "succeeded"
	// OutcomeWrong: the answer is not whole or is that of another job.
	OutcomeWrong Outcome = "wrong_answer"
	// OutcomeUnfinished: the job had not ended when the call returned.
	OutcomeUnfinished Outcome = "unfinished"
	// OutcomeNoAnswer: the call failed without an answer.
	OutcomeNoAnswer Outcome = "no_answer"
	// OutcomeNotStarted: the upstream refused a start that came straight to it.
	OutcomeNotStarted Outcome = "not_started"
)

// check compares the outputs with what the call must return.
func (c *Call) check(outputs [][]byte) Outcome {
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

// plan returns all calls of a run, in the order of their due times.
func plan(opts *Options) []*Call {
	random := rand.New(rand.NewPCG(opts.Seed, scheduleStream))
	weights := 0
	for _, p := range opts.Mix {
		weights += p.Weight
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
		call.Class = pickClass(opts.Mix, random.IntN(weights))
		if call.Class == state.ClassGang {
			call.Tasks = gangTasks
		}
		calls = append(calls, call)
	}
}

func pickClass(mix []Part, n int) state.Class {
	for _, p := range mix {
		if n < p.Weight {
			return p.Class
		}
		n -= p.Weight
	}
	return mix[0].Class
}

// Run sends the jobs to a target and returns what was measured. It fails with
// an *OptionError, or with the error of ctx when that ends first.
func Run(ctx context.Context, name string, target Target, opts Options) (*Report, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	calls := plan(&opts)
	recorders := make([]*recorder, opts.Callers)
	var next atomic.Int64
	var running sync.WaitGroup
	start := time.Now()
	for i := range recorders {
		r := newRecorder()
		recorders[i] = r
		running.Go(func() {
			for {
				n := int(next.Add(1)) - 1
				if n >= len(calls) || !waitUntil(ctx, start.Add(calls[n].due)) {
					return
				}
				r.call(ctx, target, calls[n], start)
			}
		})
	}
	running.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return newReport(name, recorders, time.Since(start)), nil
}

// waitUntil reports false when ctx ended first.
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
