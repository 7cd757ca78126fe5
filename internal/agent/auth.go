package agent

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/settings"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/internal/transport/httpapi"
)

// authenticator checks API keys, queues and quotas against the latest configuration
// that this entry has folded.
type authenticator struct {
	follower  *configlog.Follower
	bootID    string
	bootHash  [sha256.Size]byte
	bootstrap bool
}

func newAuthenticator(s settings.Settings, follower *configlog.Follower) *authenticator {
	a := &authenticator{follower: follower}
	id, secret, ok := strings.Cut(s.Platform.BootstrapKey, ".")
	if ok {
		a.bootID, a.bootHash, a.bootstrap = id, sha256.Sum256([]byte(secret)), true
	}
	return a
}

// Authenticate implements httpapi.Authenticator.
func (a *authenticator) Authenticate(bearer string) (httpapi.Identity, error) {
	id, secret, ok := strings.Cut(bearer, ".")
	if !ok {
		return httpapi.Identity{}, httpapi.ErrInvalidKey
	}
	if !a.follower.IsReady() {
		return httpapi.Identity{}, notReady()
	}
	view := a.follower.View()
	key, err := view.Authenticate(id, secret)
	if err == nil {
		return httpapi.Identity{Key: key.ID, Team: key.Team, Role: v1.Role(key.Role)}, nil
	}
	if a.acceptsBootstrap(view, id, secret) {
		return httpapi.Identity{Key: id, Role: v1.RoleOperator}, nil
	}
	return httpapi.Identity{}, err
}

// notReady returns the refusal of a call that arrives before the configuration has
// been read.
func notReady() *state.Refusal {
	return &state.Refusal{
		Reason:     v1.ReasonNotReady,
		Verdict:    state.NotRun,
		Detail:     errNoConfig.Error(),
		Remedy:     "use another entry, or come back",
		RetryAfter: retryAfter,
	}
}

// acceptsBootstrap reports whether the bearer is the bootstrap key from the settings.
// The bootstrap key is valid only while there is no active operator key.
func (a *authenticator) acceptsBootstrap(view *config.View, id, secret string) bool {
	if !a.bootstrap || id != a.bootID {
		return false
	}
	hash := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(hash[:], a.bootHash[:]) != 1 {
		return false
	}
	for _, key := range view.Keys() {
		if key.Role == config.RoleOperator && !key.Withdrawn {
			return false
		}
	}
	return true
}

// Queue implements httpapi.Authenticator.
func (a *authenticator) Queue(id state.QueueID) (httpapi.Queue, bool) {
	queue, ok := a.follower.View().Queue(id)
	return httpapi.Queue{Team: queue.Team, Open: queue.Open, DefaultClass: queue.DefaultClass}, ok
}

// Quota implements httpapi.Authenticator. The submit rate and burst of the team's
// contract are divided equally among the registered entries.
func (a *authenticator) Quota(team state.TeamID) (httpapi.Quota, bool) {
	view := a.follower.View()
	contract, ok := view.Contract(team)
	entries := max(len(view.Entries()), 1)
	return httpapi.Quota{
		SubmitRate: contract.SubmitRate / float64(entries),
		Burst:      (contract.SubmitBurst + entries - 1) / entries,
	}, ok
}
