package httpapi

import (
	"errors"
	"net/http"
	"strings"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// ErrInvalidKey reports that a bearer token matches no valid key. Authenticator
// implementations may return any other error instead; its text is not sent to
// the caller.
var ErrInvalidKey = errors.New("httpapi: no such key, or it was withdrawn; ask an operator for a key")

// Identity is the principal that a key authenticates.
type Identity struct {
	// Key is the ID of the key; empty for a job accepted by an open queue.
	Key string
	// Team is empty for an operator.
	Team state.TeamID
	Role v1.Role
}

// Queue holds the settings of a queue that the API uses.
type Queue struct {
	Team state.TeamID
	// Open queues accept jobs without a key.
	Open         bool
	DefaultClass state.Class
}

// Quota limits the rate at which a team may submit through this entry.
type Quota struct {
	// SubmitRate is in jobs per second.
	SubmitRate float64
	// Burst is in jobs.
	Burst int
}

// Authenticator looks up keys, queues and quotas in this entry's view of the
// configuration. Its methods do not block.
type Authenticator interface {
	// Authenticate returns the identity of a bearer token of the form
	// "<key id>.<secret>". An error that is a *state.Refusal is sent to the
	// caller unchanged (such as v1.ReasonNotReady before the configuration is
	// loaded); any other error results in a 401.
	Authenticate(bearer string) (Identity, error)
	// Queue returns the queue with the given ID, or false if there is none.
	Queue(id state.QueueID) (Queue, bool)
	// Quota returns a team's quota, or false if the team has no contract.
	Quota(team state.TeamID) (Quota, bool)
}

const bearerScheme = "bearer"

// bearer returns the bearer token of a request, or false if the request has no
// Authorization header. The token is empty if the header has another scheme or
// is repeated.
func bearer(r *http.Request) (string, bool) {
	headers := r.Header.Values("Authorization")
	if len(headers) == 0 || len(headers) == 1 && headers[0] == "" {
		return "", false
	}
	scheme, credentials, _ := strings.Cut(headers[0], " ")
	if len(headers) > 1 || !strings.EqualFold(scheme, bearerScheme) {
		return "", true
	}
	return strings.TrimSpace(credentials), true
}

// identify authenticates the sender of a request. The verdict of a refusal
// applies to this call only, not to earlier calls with the same job ID.
func identify(auth Authenticator, r *http.Request) (Identity, *v1.Refusal) {
	credentials, ok := bearer(r)
	if !ok {
		return Identity{}, unauthenticated("the call carries no key")
	}
	identity, err := auth.Authenticate(credentials)
	if err == nil {
		return identity, nil
	}
	var refusal *state.Refusal
	if errors.As(err, &refusal) {
		converted := v1.NewRefusal(refusal)
		return Identity{}, &converted
	}
	return Identity{}, unauthenticated("the key is not known or was withdrawn")
}

func unauthenticated(detail string) *v1.Refusal {
	return &v1.Refusal{
		Reason: v1.ReasonUnauthenticated,
		NotRun: state.NotRun,
		Detail: detail,
		Remedy: "send Authorization: Bearer <key id>.<secret>; ask an operator for a valid key",
	}
}

func forbidden(detail, remedy string) *v1.Refusal {
	return &v1.Refusal{Reason: state.ReasonNotPermitted, NotRun: state.NotRun, Detail: detail, Remedy: remedy}
}
