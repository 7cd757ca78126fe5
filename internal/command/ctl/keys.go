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

	// secretBytes is the length of a key's secret in bytes, before base64 encoding.
	secretBytes = 32
)

func (a *app) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "the keys of callers and operators",
		Commands: []*cli.Command{
			{
				Name: "grant", Usage: "grant a key and print it; it can't be shown again", ArgsUsage: "ID",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagTeam, Usage: "`TEAM` whose jobs the key submits"},
					&cli.BoolFlag{Name: flagOperator, Usage: "grant an operator's key"},
				},
				Action: a.action(grantKey),
			},
			{
				Name: "withdraw", Usage: "withdraw a key and show where the withdrawal is in force", ArgsUsage: "ID",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: flagWait, Usage: "wait until it is in force everywhere"}},
				Action: a.action(withdrawKey),
			},
		},
	}
}

// grantKey generates the secret on the client and sends only its hash. The secret is
// thus still known if the first response is lost, and no entry receives it before
// it is used.
func grantKey(ctx context.Context, s *session) error {
	request, err := newGrantKeyRequest(s)
	if err != nil {
		return err
	}
	secret, err := newSecret()
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(secret))
	request.SecretSHA256 = hex.EncodeToString(sum[:])
	granted, err := s.client.GrantKey(ctx, request)
	if err != nil {
		return err
	}
	granted.Bearer = request.ID + "." + secret
	return s.print(granted, func(t *table) {
		t.section("ID", "KEY", "VERSION")
		t.row(granted.ID, granted.Bearer, granted.Version)
	})
}

func newGrantKeyRequest(s *session) (v1.GrantKey, error) {
	id, err := s.argument("ID")
	if err != nil {
		return v1.GrantKey{}, err
	}
	team := state.TeamID(s.command.String(flagTeam))
	operator := s.command.Bool(flagOperator)
	if operator == (team != "") {
		return v1.GrantKey{}, &usageError{problem: "a key belongs either to one team or to an operator", remedy: "give either --team TEAM or --operator"}
	}
	base := v1.NoVersion
	request := v1.GrantKey{Write: v1.Write{BaseVersion: &base}, ID: id, Team: team, Role: v1.RoleCaller}
	if operator {
		request.Role = v1.RoleOperator
	}
	return request, request.Validate()
}

func newSecret() (string, error) {
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", &usageError{problem: "can't read random numbers: " + err.Error(), remedy: "run the command on a working system"}
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

// showInForce prints where a configuration version is in force. If wait is set, it
// first waits until the version is in force everywhere, and returns a *pendingError
// if ctx ends before that.
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
	printErr := s.print(status, func(t *table) { drawVersion(t, status) })
	if printErr != nil {
		return printErr
	}
	if err != nil {
		return &pendingError{status: status, cause: err}
	}
	return nil
}

// pendingError reports that a configuration version was not confirmed to be in force
// everywhere before the timeout.
type pendingError struct {
	status v1.VersionStatus
	cause  error
}

// Error returns the domains and entries that are missing, with the remedy.
func (e *pendingError) Error() string {
	var missing []string
	for _, domain := range e.status.Domains {
		if !domain.InForce {
			missing = append(missing, formatMissing(domain))
		}
	}
	remedy := fmt.Sprintf("run samphirectl version %d --wait", e.status.Version)
	if len(missing) == 0 {
		return fmt.Sprintf("can't tell where version %d is in force: %v; %s", e.status.Version, e.cause, remedy)
	}
	return fmt.Sprintf("version %d is not in force everywhere yet: missing %s; check these entries, then %s",
		e.status.Version, strings.Join(missing, ", "), remedy)
}

// formatMissing names a domain and its entries that are missing, if they are known.
func formatMissing(domain v1.DomainVersion) string {
	if len(domain.Missing) == 0 {
		return string(domain.Domain)
	}
	return fmt.Sprintf("%s (%s)", domain.Domain, joinValues(domain.Missing))
}

// Unwrap returns the error that ended the wait.
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
		t.row(domain.Domain, yesNo(domain.InForce), joinValues(domain.Missing))
	}
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
