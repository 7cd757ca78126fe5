package devplatform

import (
	"errors"
	"fmt"
	"time"
)

// The errors of the protocol. Each message names the remedy.
var (
	ErrNotSent          = errors.New("platform: the call never left this process and nothing was done; repeat it or use another address")
	ErrUnavailable      = errors.New("platform: no answer; the call may have taken effect: repeat it with the same ID")
	ErrOffsetMismatch   = errors.New("platform: the stream has grown past the expected offset; read the new records and decide again")
	ErrOffsetExpired    = errors.New("platform: the offset is older than the retention; start from the oldest snapshot record")
	ErrTooLarge         = errors.New("platform: the record exceeds the size limit; split it")
	ErrWrongIncarnation = errors.New("platform: the VM was restarted since; fence it again before use")
	ErrLeaving          = errors.New("platform: the VM is leaving and takes no new work; choose another VM")
	ErrInvalid          = errors.New("platform: the request is malformed; correct the named field")
)

// FencedError is returned by a worker that has received a call with a newer epoch. The
// refused call had no effect.
type FencedError struct {
	// Current is the newest epoch that the worker has received.
	Current Epoch `json:"current"`
	// SinceContact is the time since the last call of the owner of Current to the worker.
	SinceContact time.Duration `json:"since_contact"`
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("platform: epoch %d of %s is newer; stop placing and forward to that owner", e.Current.Number, e.Current.Owner)
}

// ErrorCode identifies an error on the wire.
type ErrorCode string

// The codes of the errors on the wire, with their HTTP status in the comment.
const (
	CodeUnavailable      ErrorCode = "unavailable"       // 503
	CodeOffsetMismatch   ErrorCode = "offset_mismatch"   // 409
	CodeOffsetExpired    ErrorCode = "forgotten"         // 410
	CodeTooLarge         ErrorCode = "too_large"         // 413
	CodeWrongIncarnation ErrorCode = "wrong_incarnation" // 409
	CodeLeaving          ErrorCode = "leaving"           // 409
	CodeFenced           ErrorCode = "fenced"            // 409
	CodeInvalid          ErrorCode = "invalid"           // 400
)

// ErrorBody is the JSON body of every reply that is not 200.
type ErrorBody struct {
	Code    ErrorCode    `json:"code"`
	Message string       `json:"message"`
	Fenced  *FencedError `json:"fenced,omitempty"`
	// Retained is set with CodeOffsetExpired: the offsets that are still available.
	Retained *Retained `json:"retained,omitempty"`
}

// Retained states the offsets of a stream that a log service still keeps: from Oldest up
// to, but not including, Tail.
type Retained struct {
	Oldest int64 `json:"oldest"`
	Tail   int64 `json:"tail"`
}

// The query parameters of PathVMs, which carry the fields of ListRequest.
const (
	QuerySince  = "since"
	QueryDomain = "domain"
)

// The HTTP paths of the calls. All calls are POST with a JSON body, except PathVMs (GET).
const (
	PathAppend  = "/v1/log/append"
	PathRead    = "/v1/log/read"
	PathVMs     = "/v1/vms"
	PathFence   = "/v1/worker/fence"
	PathStart   = "/v1/worker/start"
	PathSync    = "/v1/worker/sync"
	PathControl = "/v1/worker/control"
	PathInspect = "/v1/worker/inspect"
)
