package loadtool

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
)

// maxReplyBytes is the size at which a reply is truncated.
const maxReplyBytes = 16 << 20

// Entries is a Target that submits jobs to entries in turn, with one call per job and no
// retries.
type Entries struct {
	addresses []string
	keys      []string
	client    *http.Client
}

// NewEntries returns a target for entries at addresses (IP:port on the loopback network),
// which authenticates with keys. Addresses and keys are both used in turn. At most
// callers idle connections are kept per entry. It fails with an *OptionError.
func NewEntries(addresses, keys []string, callers int) (*Entries, error) {
	if len(addresses) == 0 {
		return nil, &OptionError{Option: "entry", Remedy: "name at least one"}
	}
	if len(keys) == 0 {
		return nil, &OptionError{Option: "key", Remedy: "name at least one"}
	}
	for _, address := range addresses {
		if err := CheckLoopback(address); err != nil {
			return nil, err
		}
	}
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: callers}
	return &Entries{addresses: addresses, keys: keys, client: &http.Client{Transport: transport}}, nil
}

// Close closes the idle connections.
func (e *Entries) Close() { e.client.CloseIdleConnections() }

// Do implements Target. It submits the job and waits for its result.
func (e *Entries) Do(ctx context.Context, call *Call) Outcome {
	code, body, err := e.post(ctx, call)
	if err != nil {
		return OutcomeNoReply
	}
	switch code {
	case http.StatusOK:
		return readStatus(call, body)
	case http.StatusAccepted:
		return OutcomeUnfinished
	}
	var refusal v1.Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Reason == "" {
		return OutcomeWrong
	}
	return Outcome(refusal.Reason)
}

// readStatus returns the outcome that the body of a reply with status 200 states.
func readStatus(call *Call, body []byte) Outcome {
	var status v1.JobStatus
	if json.Unmarshal(body, &status) != nil {
		return OutcomeWrong
	}
	switch {
	case status.Refusal != nil:
		return Outcome(status.Refusal.Reason)
	case !status.State.Ended():
		return OutcomeUnfinished
	}
	return call.checkOutputs(status.Outputs)
}

// post submits the job and returns the status code and the body of the reply.
func (e *Entries) post(ctx context.Context, call *Call) (int, []byte, error) {
	message, err := json.Marshal(v1.SubmitRequest{
		Class: call.Class, Service: call.Job.Service, Tasks: call.Tasks,
		CPUMilli: call.Job.CPUMilli, MemoryMB: call.Job.MemoryMB,
		RunTimeMS: call.Job.RunTime.Milliseconds(), Idempotent: call.Job.Idempotent,
		Payload: call.Payload(), WaitMS: v1.MaxWait.Milliseconds(),
	})
	if err != nil {
		return 0, nil, err
	}
	url := "http://" + e.addresses[call.Number%len(e.addresses)] + "/v1/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(message))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+e.keys[call.Number%len(e.keys)])
	reply, err := e.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	return reply.StatusCode, body, err
}
