package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	contentTypeJSON = "application/json"
	// reasonKey keeps the reason of a refusal for the log line of a request.
	reasonKey = "reason"
)

// StatusCode returns the HTTP status of a reply that carries a refusal.
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
	case state.ReasonNoOwner, state.ReasonHomeUnreachable, state.ReasonShuttingDown, state.ReasonStorage, state.ReasonRetriesExhausted, v1.ReasonNotReady:
		return http.StatusServiceUnavailable
	case state.ReasonDeadline, state.ReasonOutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// refuse answers a call with a refusal and ends the handler chain.
func refuse(c *gin.Context, refusal *v1.Refusal) {
	c.Set(reasonKey, string(refusal.Reason))
	if after := refusal.RetryAfter(); after > 0 {
		c.Header("Retry-After", strconv.FormatInt(wholeSeconds(after), 10))
	}
	if refusal.Reason == v1.ReasonUnauthenticated {
		c.Header("WWW-Authenticate", "Bearer")
	}
	reply(c, StatusCode(refusal.Reason), refusal)
	c.Abort()
}

// refuseError answers a call with the refusal that an error stands for.
func refuseError(c *gin.Context, err error) {
	refusal := v1.RefusalOf(err)
	if refusal.Reason == v1.ReasonInternal {
		_ = c.Error(err)
	}
	refuse(c, &refusal)
}

// reply sends a whole message with its length, so that a reader can tell a
// reply that was cut short.
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

// wholeSeconds rounds up, so that nobody is told to come back too early.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// readBody reads the whole body of a request, or refuses it.
func readBody(c *gin.Context, limit int64) ([]byte, error) {
	if c.Request.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
}

// validated is a message that can check itself.
type validated interface{ Validate() error }

// readMessage reads and decodes the body of a request.
func readMessage(c *gin.Context, limit int64, message any) error {
	body, err := readBody(c, limit)
	if err != nil {
		return err
	}
	return v1.Decode(body, message)
}

// bodyRefusal tells why a body was not taken. The same bytes are never taken,
// so the call did not run.
func bodyRefusal(err error) *v1.Refusal {
	var tooLarge *http.MaxBytesError
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
