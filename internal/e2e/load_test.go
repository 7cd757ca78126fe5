package e2e

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// request returns a request that runs for a while and answers with its own text.
func request(run time.Duration, output string, idempotent bool) v1.SubmitRequest {
	return v1.SubmitRequest{
		Class: state.ClassRequest, Service: "fitting", CPUMilli: 500, MemoryMB: 256, Idempotent: idempotent,
		Payload: fmt.Appendf(nil, `{"run_ms":%d,"output":%q}`, run.Milliseconds(), output), WaitMS: 20000,
	}
}

// load submits requests through entries until it is stopped.
type load struct {
	stop chan struct{}
	done sync.WaitGroup
	sent atomic.Int64
}

// startLoad runs a number of callers, each with one request at a time. pick
// returns the entry for the next request.
func startLoad(cs *callers, callers int, idempotent bool, pick func(n int64) *entryProcess) *load {
	return startLoadOf(cs, callers, 10*time.Millisecond, idempotent, pick)
}

// startLoadOf is startLoad with requests that run for a given time.
func startLoadOf(cs *callers, callers int, run time.Duration, idempotent bool, pick func(n int64) *entryProcess) *load {
	l := &load{stop: make(chan struct{})}
	for range callers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				n := l.sent.Add(1)
				cs.submit(pick(n), request(run, fmt.Sprintf("answer %d", n), idempotent))
			}
		}()
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.done.Wait()
}

// after waits until n more answers have come.
func (cs *callers) after(n int) {
	cs.c.t.Helper()
	start := len(cs.all())
	eventually(cs.c.t, fmt.Sprintf("%d more answers", n), func() error {
		if got := len(cs.all()) - start; got < n {
			return fmt.Errorf("%d", got)
		}
		return nil
	})
}

// together returns what several groups of callers were told.
func together(groups ...*callers) *callers {
	all := &callers{c: groups[0].c}
	for _, group := range groups {
		all.told = append(all.told, group.all()...)
	}
	return all
}

// succeeded counts whole answers of jobs that succeeded.
func (cs *callers) succeeded() int {
	n := 0
	for _, t := range cs.all() {
		if t.err == nil && t.job != nil && t.job.State == state.JobSucceeded {
			n++
		}
	}
	return n
}

// longestGap returns the longest time between two answers of jobs that
// succeeded.
func (cs *callers) longestGap() time.Duration {
	var times []time.Time
	for _, t := range cs.all() {
		if t.job != nil && t.job.State == state.JobSucceeded {
			times = append(times, t.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i].Sub(times[i-1]))
	}
	return longest
}
