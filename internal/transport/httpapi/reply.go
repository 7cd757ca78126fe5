package httpapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/transport/callerlimit"
)

const (
	contentTypeJSON = "application/json"
	// reasonKey is the gin context key under which the reason of a refusal is
	// kept for the span and the log line of the call.
	reasonKey = "reason"
)

// StatusCode returns the HTTP status code for a refusal reason. Unknown reasons
// map to 500.
func StatusCode(reason state.Reason) int {
	switch reason {
	case v1.ReasonInvalid:
		return http.StatusBadRequest
	case v1.ReasonUnauthenticated:
		return http.StatusUnauthorized
	case state.ReasonNotPermitted, state.ReasonWithdrawn:
		return http.StatusForbidden
	case state.ReasonNotFound:
		return http.StatusNotFound
	case v1.ReasonMethod:
		return http.StatusMethodNotAllowed
	case state.ReasonConflict, state.ReasonCancelled:
		return http.StatusConflict
	case v1.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case state.ReasonNeverRunnable, state.ReasonOverLimit, state.ReasonTaskFailed:
		return http.StatusUnprocessableEntity
	case state.ReasonRateExceeded, state.ReasonQueueFull:
		return http.StatusTooManyRequests
	case state.ReasonNoOwner, state.ReasonHomeUnreachable, state.ReasonShuttingDown, state.ReasonEvacuated, state.ReasonStorage, state.ReasonRetriesExhausted, v1.ReasonNotReady:
		return http.StatusServiceUnavailable
	case state.ReasonDeadline, state.ReasonOutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// refuse responds with a refusal and aborts the handler chain.
func refuse(c *gin.Context, refusal *v1.Refusal) {
	c.Set(reasonKey, string(refusal.Reason))
	if retryAfter := refusal.RetryAfter(); retryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(wholeSeconds(retryAfter), 10))
	}
	if refusal.Reason == v1.ReasonUnauthenticated {
		c.Header("WWW-Authenticate", "Bearer")
	}
	reply(c, StatusCode(refusal.Reason), refusal)
	c.Abort()
}

// refuseError responds with the refusal that corresponds to err.
func refuseError(c *gin.Context, err error) {
	refusal := v1.RefusalOf(err)
	if refusal.Reason == v1.ReasonInternal {
		_ = c.Error(err)
	}
	refuse(c, &refusal)
}

// reply encodes and sends a message. It sets Content-Length so that a client can
// detect a truncated response.
func reply(c *gin.Context, code int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		_ = c.Error(err)
		code = http.StatusInternalServerError
		body = []byte(`{"reason":"internal","not_run":"unknown","detail":"the reply can't be encoded","remedy":"tell the operators the request ID"}`)
	}
	body = append(body, '\n')
	header := c.Writer.Header()
	header.Set("Content-Type", contentTypeJSON)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Cache-Control", "no-store")
	c.Writer.WriteHeader(code)
	if _, err := c.Writer.Write(body); err != nil {
		_ = c.Error(err)
	}
}

// wholeSeconds rounds up, so that a client does not retry too early.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// validator is a message with a validation method.
type validator interface{ Validate() error }

// readMessage reads the body of a request and decodes it into message.
func readMessage(c *gin.Context, limit int64, message any) error {
	body, err := callerlimit.ReadBody(c.Request, limit, time.Time{})
	if err != nil {
		return err
	}
	defer callerlimit.Decoded(c.Request, body)
	return v1.Decode(body, message)
}

// busyRetryAfter is the time after which a caller may send a request again for
// which there was no memory.
const busyRetryAfter = time.Second

// bodyRefusal returns the refusal for a body that was not accepted. The verdict
// is state.NotRun if the same bytes are always refused, so that no call with this
// body has run.
func bodyRefusal(err error) *v1.Refusal {
	if errors.Is(err, callerlimit.ErrFull) {
		return &v1.Refusal{
			Reason:       state.ReasonQueueFull,
			NotRun:       state.Unknown, // the body, which was not read, may name a job that has run
			Field:        v1.FieldBody,
			Detail:       "requests in work take all the memory that callers may use",
			Remedy:       "send it again after the given time",
			RetryAfterMS: busyRetryAfter.Milliseconds(),
		}
	}
	var tooLarge *callerlimit.TooLargeError
	if errors.As(err, &tooLarge) {
		return &v1.Refusal{
			Reason: v1.ReasonTooLarge,
			NotRun: state.NotRun,
			Field:  v1.FieldBody,
			Detail: "the body exceeds " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes",
			Remedy: "send less: keep a large payload elsewhere and submit a reference to it",
		}
	}
	var field *v1.FieldError
	if !errors.As(err, &field) {
		field = &v1.FieldError{Field: v1.FieldBody, Problem: "could not be read whole", Remedy: "send it again"}
	}
	refusal := v1.RefusalOf(field)
	return &refusal
}
