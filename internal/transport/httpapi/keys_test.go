package httpapi

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state"
)

// withdrawnAuth refuses the key of the team tide, which was withdrawn.
type withdrawnAuth struct{ *fakeAuth }

func (a withdrawnAuth) Authenticate(bearer string) (Identity, error) {
	if bearer == tideKey {
		return Identity{}, ErrInvalidKey
	}
	return a.fakeAuth.Authenticate(bearer)
}

// TestOnlyKeysInForceAreServed guards against a call that is served although it carries a key
// that was withdrawn or is not known, on an open queue as well.
func TestOnlyKeysInForceAreServed(t *testing.T) {
	path := "/v1/jobs/" + string(jobA)
	keys := []struct {
		name          string
		authorization []string
		withdrawn     bool
	}{
		{name: "no key"},
		{name: "empty header", authorization: []string{""}},
		{name: "key in force", authorization: []string{"Bearer " + tideKey}},
		{name: "scheme in upper case", authorization: []string{"BEARER " + tideKey}},
		{name: "another team's key", authorization: []string{"Bearer " + braidKey}},
		{name: "operator's key", authorization: []string{"Bearer " + operatorKey}},
		{name: "unknown key", authorization: []string{"Bearer k9.secret"}},
		{name: "withdrawn key", authorization: []string{"Bearer " + tideKey}, withdrawn: true},
		{name: "empty key", authorization: []string{"Bearer"}},
		{name: "other scheme", authorization: []string{"Basic " + tideKey}},
		{name: "key in force before an unknown one", authorization: []string{"Bearer " + tideKey, "Bearer k9.secret"}},
		{name: "unknown key before one in force", authorization: []string{"Bearer k9.secret", "Bearer " + tideKey}},
	}
	// The columns of the statuses are those of the first six keys; all other keys get 401.
	calls := []struct {
		name string
		call call
		want [6]int
	}{
		{"submission", call{method: "POST", path: "/v1/jobs", body: requestJob}, [6]int{401, 401, 200, 200, 200, 403}},
		{"submission to the team's queue", call{method: "POST", path: "/v1/jobs", body: `{"queue":"tide-q","service":"lease"}`}, [6]int{401, 401, 200, 200, 403, 403}},
		{"submission to an open queue", call{method: "POST", path: "/v1/jobs", body: `{"queue":"walk-in","service":"lease"}`}, [6]int{200, 200, 200, 200, 200, 200}},
		{"status", call{method: "GET", path: path}, [6]int{401, 401, 200, 200, 404, 403}},
		{"status with a wait", call{method: "GET", path: path + "?wait_ms=5"}, [6]int{401, 401, 200, 200, 404, 403}},
		{"cancellation", call{method: "DELETE", path: path}, [6]int{401, 401, 200, 200, 200, 403}}, // the job service decides on another team's job
		{"IDs", call{method: "POST", path: "/v1/ids", body: `{"count":2}`}, [6]int{401, 401, 200, 200, 200, 200}},
		{"operator's call", call{method: "GET", path: "/v1/status"}, [6]int{401, 401, 403, 403, 403, 200}},
	}
	for i, key := range keys {
		for _, c := range calls {
			t.Run(key.name+", "+c.name, func(t *testing.T) {
				is := is.New(t)
				f := newFixture()
				if key.withdrawn {
					f.handler = newHandlerWith(f, withdrawnAuth{f.auth})
				}
				c.call.header = http.Header{"Content-Type": {contentTypeJSON}}
				if key.authorization != nil {
					c.call.header["Authorization"] = key.authorization
				}
				want := http.StatusUnauthorized
				if i < len(c.want) {
					want = c.want[i]
				}
				is.Equal(f.do(c.call).Code, want)
				if want == http.StatusUnauthorized {
					is.Equal(f.jobs.calls.Load(), int64(0))
				}
				for _, s := range f.jobs.submitted {
					is.True(s.Team != state.TeamID(""))
				}
			})
		}
	}
}
