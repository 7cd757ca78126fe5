package v1

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/samphirerail/samphirerail/internal/state"
)

// Role determines what the holder of a key may do.
type Role string

// Roles of a key.
const (
	// RoleCaller submits, reads and cancels jobs of its team.
	RoleCaller Role = "caller"
	// RoleOperator reads and changes the configuration.
	RoleOperator Role = "operator"
)

// GrantKey is the request body of POST /v1/keys.
type GrantKey struct {
	Write
	// ID must be new: the ID of a withdrawn key is never granted again.
	ID string `json:"id"`
	// Team is empty for an operator's key.
	Team state.TeamID `json:"team,omitempty"`
	Role Role         `json:"role"`
	// SecretSHA256 is the hexadecimal SHA-256 of the secret, if the operator
	// generates the secret. If it is empty, the entry generates the secret.
	SecretSHA256 string `json:"secret_sha256,omitempty"`
}

// Validate checks the message. It fails with a *FieldError.
func (g *GrantKey) Validate() error {
	return firstError(g.Write.Validate(), g.checkID(), g.checkRole(), g.checkSecret())
}

func (g *GrantKey) checkID() error {
	if strings.Contains(g.ID, ".") {
		return &FieldError{Field: "id", Problem: `contains "."`, Remedy: `leave out ".": it divides the ID from the secret`}
	}
	return checkName("id", g.ID)
}

func (g *GrantKey) checkRole() error {
	switch g.Role {
	case RoleCaller:
		return CheckTeam(g.Team)
	case RoleOperator:
		if g.Team != "" {
			return &FieldError{Field: "team", Problem: "is set for an operator's key", Remedy: "leave it out"}
		}
		return nil
	}
	return &FieldError{Field: "role", Problem: "is not a role", Remedy: "use caller or operator"}
}

func (g *GrantKey) checkSecret() error {
	if g.SecretSHA256 == "" {
		return nil
	}
	if sum, err := hex.DecodeString(g.SecretSHA256); err == nil && len(sum) == sha256.Size {
		return nil
	}
	return &FieldError{Field: "secret_sha256", Problem: "is not 64 hexadecimal digits", Remedy: "send the SHA-256 of the secret"}
}

// GrantedKey is the response to POST /v1/keys.
type GrantedKey struct {
	WriteResult
	ID string `json:"id"`
	// Bearer is "<key id>.<secret>". It is only returned in this response, and only
	// if the entry generated the secret.
	Bearer string `json:"bearer,omitempty"`
}
