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

// request returns a job of the request class that runs for a given time and returns
// the given output.
func request(run time.Duration, output string, idempotent bool) v1.SubmitRequest {
	return v1.SubmitRequest{
		Class: state.ClassRequest, Service: "fitting", CPUMilli: 500, MemoryMB: 256, Idempotent: idempotent,
		Payload: fmt.Appendf(nil, `{"run_ms":%d,"output":%q}`, run.Milliseconds(), output), WaitMS: 20000,
	}
}

// load submits requests in the background until it is stopped.
type load struct {
	stop chan struct{}
	done sync.WaitGroup
	sent atomic.Int64
}

// startLoad runs a number of callers, each with one request in flight. The requests
// run for 10 ms. pick returns the entry for the nth request.
func startLoad(client *recordingClient, callers int, idempotent bool, pick func(n int64) *entryProcess) *load {
	return startLoadWithRunTime(client, callers, 10*time.Millisecond, idempotent, pick)
}

// startLoadWithRunTime is like startLoad, with requests that run for a given time.
func startLoadWithRunTime(client *recordingClient, callers int, run time.Duration, idempotent bool, pick func(n int64) *entryProcess) *load {
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
				client.submit(pick(n), request(run, fmt.Sprintf("answer %d", n), idempotent))
			}
		}()
	}
	return l
}

// stopAndWait stops the load and waits for the requests in flight.
func (l *load) stopAndWait() {
	close(l.stop)
	l.done.Wait()
}

// waitOutcomes waits until n more outcomes have been recorded.
func (client *recordingClient) waitOutcomes(n int) {
	client.c.t.Helper()
	start := len(client.all())
	eventually(client.c.t, fmt.Sprintf("%d more outcomes", n), func() error {
		if got := len(client.all()) - start; got < n {
			return fmt.Errorf("%d", got)
		}
		return nil
	})
}

// mergeClients returns a client with the outcomes of several clients.
func mergeClients(groups ...*recordingClient) *recordingClient {
	all := &recordingClient{c: groups[0].c}
	for _, group := range groups {
		all.outcomes = append(all.outcomes, group.all()...)
	}
	return all
}

// succeeded counts the complete responses for jobs that succeeded.
func (client *recordingClient) succeeded() int {
	n := 0
	for _, o := range client.all() {
		if o.err == nil && o.job != nil && o.job.State == state.JobSucceeded {
			n++
		}
	}
	return n
}

// longestGap returns the longest time between two consecutive responses for jobs that
// succeeded.
func (client *recordingClient) longestGap() time.Duration {
	var times []time.Time
	for _, o := range client.all() {
		if o.job != nil && o.job.State == state.JobSucceeded {
			times = append(times, o.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i].Sub(times[i-1]))
	}
	return longest
}
