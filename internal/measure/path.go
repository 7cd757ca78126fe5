package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/platformclient"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// The range of the latency histogram in microseconds, and its number of significant
// decimal digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Call makes one request. The number is unique within a run.
type Call func(ctx context.Context, number int64) error

// Latency summarizes the calls of a run.
type Latency struct {
	Calls  int64
	Failed int64
	// LastError is the error of the last failed call, or nil.
	LastError error
	// P50 and P99 are latency percentiles over all calls, including failed ones.
	P50 time.Duration
	P99 time.Duration
	// PerSecond is the number of completed calls per second.
	PerSecond float64
}

// Run measures call with the given number of concurrent callers. Each makes calls one
// after the other for a period, and at least one.
func Run(ctx context.Context, callers int, period time.Duration, call Call) Latency {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	var (
		mu        sync.Mutex
		latencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		result    Latency
		workers   sync.WaitGroup
	)
	for i := range callers {
		workers.Go(func() {
			for n := int64(i); n < int64(callers) || ctx.Err() == nil; n += int64(callers) {
				begin := time.Now()
				err := call(context.WithoutCancel(ctx), n)
				elapsed := time.Since(begin)
				mu.Lock()
				result.Calls++
				if err != nil {
					result.Failed++
					result.LastError = err
				}
				_ = latencies.RecordValue(elapsed.Microseconds())
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	result.P50 = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond
	result.PerSecond = float64(result.Calls) / time.Since(start).Seconds()
	return result
}

// EntryCall returns a Call that submits a request job to an entry (IP:port) with a bearer
// key and waits for its result.
func EntryCall(entry, key string, client *http.Client) Call {
	return func(ctx context.Context, n int64) error {
		payload := fmt.Sprintf(`"answer %d"`, n)
		body, err := json.Marshal(v1.SubmitRequest{
			Class: state.ClassRequest, Service: "fitting", CPUMilli: 100, MemoryMB: 64, FirstAttempt: true,
			Idempotent: true, Payload: []byte(payload), WaitMS: time.Second.Milliseconds() * 20,
		})
		if err != nil {
			return err
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/jobs", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusMultipleChoices {
			return fmt.Errorf("measure: the entry replied with status %s: %s", resp.Status, data)
		}
		return nil
	}
}

// DirectCall fences a stand-in worker at address (IP:port) and returns a Call that starts
// a task on it and waits for its end. The worker must have no other owner. It fails with
// the error of the fence call.
func DirectCall(ctx context.Context, address string, callers int) (Call, error) {
	w := platformclient.NewWorker(address, platformclient.Options{MaxConnections: callers})
	epoch := devplatform.Epoch{Number: 1, Owner: "measure"}
	fenced, err := w.Fence(ctx, devplatform.FenceRequest{Epoch: epoch})
	if err != nil {
		return nil, err
	}
	lease := fenced.Clock + devplatform.WorkerClock(time.Hour)
	return func(ctx context.Context, n int64) error {
		reply, err := w.Start(ctx, devplatform.StartRequest{
			Epoch: epoch, Incarnation: fenced.Incarnation, LeaseUntil: lease, Wait: true,
			Spec: devplatform.TaskSpec{
				TaskID: uuid.NewString(), Class: string(state.ClassRequest), Payload: fmt.Appendf(nil, `"answer %d"`, n),
			},
		})
		if err == nil && reply.Status.State != devplatform.TaskSucceeded {
			return fmt.Errorf("measure: the task ended in state %s instead of succeeding", reply.Status.State)
		}
		return err
	}, nil
}
