package httpapi

import (
	"errors"
	"net/http"
	"strings"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// ErrWrongKey says that a bearer names no valid key. Authenticator
// implementations may return any other error instead; it is not shown.
var ErrWrongKey = errors.New("httpapi: no such key, or it was withdrawn; ask an operator for a key")

// Identity is who a key stands for.
type Identity struct {
	// Key is the ID of the key; empty for a job taken by an open queue.
	Key string
	// Team is empty for an operator.
	Team state.TeamID
	Role v1.Role
}

// Queue is what the interface needs to know of a queue.
type Queue struct {
	Team state.TeamID
	// Open queues take work without a key.
	Open         bool
	DefaultClass state.Class
}

// Quota is how fast a team may submit through this entry.
type Quota struct {
	// SubmitRate is in jobs a second.
	SubmitRate float64
	// Burst is in jobs.
	Burst int
}

// Authenticator answers from this entry's view of the configuration. Its
// methods do not block.
type Authenticator interface {
	// Authenticate returns who a bearer "<key id>.<secret>" stands for. An
	// error that is a *state.Refusal is answered as it is (such as
	// v1.ReasonNotReady before the configuration is known); any other error
	// is answered as 401.
	Authenticate(bearer string) (Identity, error)
	// Queue returns a queue, and false when there is none.
	Queue(id state.QueueID) (Queue, bool)
	// Quota returns a team's quota, and false when the team has no contract.
	Quota(team state.TeamID) (Quota, bool)
}

const bearerScheme = "bearer"

// bearer returns the credentials of a request, and false when it has none.
func bearer(r *http.Request) (string, bool) {
	header := r.Header.Get("Authorization")
	if header == "" {
		return "", false
	}
	scheme, credentials, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return "", true
	}
	return strings.TrimSpace(credentials), true
}

// identify returns who sent a request. The refusal's verdict is about the call
// alone.
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
