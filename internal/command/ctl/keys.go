package ctl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	flagTeam     = "team"
	flagOperator = "operator"
	flagWait     = "wait"

	// secretBytes is the length of the secret of a key, before its encoding.
	secretBytes = 32
)

func (a *app) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "the keys of callers and operators",
		Commands: []*cli.Command{
			{
				Name: "grant", Usage: "grant a key and print it this once", ArgsUsage: "ID",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagTeam, Usage: "`TEAM` whose jobs the key submits"},
					&cli.BoolFlag{Name: flagOperator, Usage: "grant an operator's key"},
				},
				Action: a.action(grantKey),
			},
			{
				Name: "withdraw", Usage: "withdraw a key and say where that is in force", ArgsUsage: "ID",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: flagWait, Usage: "wait until it is in force everywhere"}},
				Action: a.action(withdrawKey),
			},
		},
	}
}

// grantKey makes the secret here, so that it is known also when the first
// answer was lost, and no entry ever sees it before it is used.
func grantKey(ctx context.Context, s *session) error {
	message, err := keyMessage(s)
	if err != nil {
		return err
	}
	secret, err := newSecret()
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(secret))
	message.SecretSHA256 = hex.EncodeToString(sum[:])
	granted, err := s.client.GrantKey(ctx, message)
	if err != nil {
		return err
	}
	granted.Bearer = message.ID + "." + secret
	return s.print(granted, func(t *table) {
		t.section("ID", "KEY", "VERSION")
		t.row(granted.ID, granted.Bearer, granted.Version)
	})
}

func keyMessage(s *session) (v1.GrantKey, error) {
	id, err := s.argument("ID")
	if err != nil {
		return v1.GrantKey{}, err
	}
	team := state.TeamID(s.command.String(flagTeam))
	operator := s.command.Bool(flagOperator)
	if operator == (team != "") {
		return v1.GrantKey{}, &usageError{problem: "a key is for one team or for an operator", remedy: "give either --team TEAM or --operator"}
	}
	base := v1.NoVersion
	message := v1.GrantKey{Write: v1.Write{BaseVersion: &base}, ID: id, Team: team, Role: v1.RoleCaller}
	if operator {
		message.Role = v1.RoleOperator
	}
	return message, message.Validate()
}

func newSecret() (string, error) {
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", &usageError{problem: "no random numbers: " + err.Error(), remedy: "run the command on a working system"}
	}
	return base64.RawURLEncoding.EncodeToString(secret[:]), nil
}

func withdrawKey(ctx context.Context, s *session) error {
	id, err := s.argument("ID")
	if err == nil {
		err = v1.CheckKeyID(id)
	}
	if err != nil {
		return err
	}
	result, err := s.client.WithdrawKey(ctx, id, v1.Write{})
	if err != nil {
		return err
	}
	err = s.showInForce(ctx, result.Version, s.command.Bool(flagWait))
	var pending *pendingError
	if err != nil && !errors.As(err, &pending) {
		return &pendingError{status: v1.VersionStatus{Version: result.Version}, cause: err}
	}
	return err
}

// showInForce prints where a version is in force, after waiting until that is
// everywhere when wait is set. It fails with a *pendingError when the time is
// over first.
func (s *session) showInForce(ctx context.Context, version int64, wait bool) error {
	read := s.client.Version
	if wait {
		read = s.client.AwaitVersion
	}
	status, err := read(ctx, version)
	if err != nil && ctx.Err() == nil {
		return err
	}
	if err != nil {
		status.Version = version
	}
	printed := s.print(status, func(t *table) { drawVersion(t, status) })
	if printed != nil {
		return printed
	}
	if err != nil {
		return &pendingError{status: status, cause: err}
	}
	return nil
}

// pendingError says that a version was not seen in force everywhere in time.
type pendingError struct {
	status v1.VersionStatus
	cause  error
}

// Error renders the error with what is missing and the remedy.
func (e *pendingError) Error() string {
	var missing []string
	for _, domain := range e.status.Domains {
		if !domain.InForce {
			missing = append(missing, missingIn(domain))
		}
	}
	remedy := fmt.Sprintf("run samphirectl version %d --wait", e.status.Version)
	if len(missing) == 0 {
		return fmt.Sprintf("where version %d is in force is not known: %v; %s", e.status.Version, e.cause, remedy)
	}
	return fmt.Sprintf("version %d is not in force everywhere yet: missing %s; check these entries, then %s",
		e.status.Version, strings.Join(missing, ", "), remedy)
}

func missingIn(domain v1.DomainVersion) string {
	if len(domain.Missing) == 0 {
		return string(domain.Domain)
	}
	return fmt.Sprintf("%s (%s)", domain.Domain, joined(domain.Missing))
}

// Unwrap returns why the wait ended.
func (e *pendingError) Unwrap() error { return e.cause }

func (e *pendingError) exitCode() int { return ExitTimeout }

func drawVersion(t *table, status v1.VersionStatus) {
	t.section("VERSION", "IN FORCE")
	t.row(status.Version, yesNo(status.InForce))
	if len(status.Domains) == 0 {
		return
	}
	t.section("DOMAIN", "IN FORCE", "MISSING")
	for _, domain := range status.Domains {
		t.row(domain.Domain, yesNo(domain.InForce), joined(domain.Missing))
	}
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
