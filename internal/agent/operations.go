package agent

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/coordination/membership"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/internal/transport/httpapi"
)

// secretBytes is the length in bytes of a generated key secret.
const secretBytes = 24

// operations implements the operator API on top of the configuration log.
type operations struct {
	id         identity
	follower   *configlog.Follower
	members    *membership.Service
	shardOwner *shardOwner
	health     *httpapi.Health
	log        hclog.Logger
}

var _ httpapi.Operations = (*operations)(nil)

// write appends a configuration record and converts the result, or the error, to the
// types of the operator API.
func (o *operations) write(ctx context.Context, object string, write v1.Write, body config.Body) (v1.WriteResult, error) {
	record := config.Record{ID: write.WriteID, Base: write.Base(), At: time.Now().UnixMilli(), Body: body}
	if record.ID == "" {
		record.ID = configlog.NewWriteID()
	}
	result, version, err := o.follower.Write(ctx, record)
	if err != nil {
		return v1.WriteResult{}, unavailable(err)
	}
	if err := result.Err(); err != nil {
		return v1.WriteResult{}, rejected(object, err)
	}
	o.log.Info("configuration changed", "object", object, "kind", string(body.Kind()), "version", version)
	return v1.WriteResult{Version: version, WriteID: record.ID}, nil
}

func unavailable(err error) error {
	var down *configlog.UnavailableError
	if !errors.As(err, &down) {
		return err
	}
	return &state.Refusal{
		Reason:     state.ReasonStorage,
		Verdict:    down.Written,
		Detail:     "the log service did not take the change in time",
		Remedy:     "repeat the write with write_id " + down.WriteID,
		RetryAfter: down.RetryAfter,
	}
}

func rejected(object string, err error) error {
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		return &v1.ConflictError{Object: object, Current: conflict.Current}
	}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return &v1.FieldError{Field: invalid.Field, Problem: "can't be accepted", Remedy: invalid.Remedy}
	}
	return err
}

// Contracts implements httpapi.Operations.
func (o *operations) Contracts(context.Context) (v1.ContractList, error) {
	list := v1.ContractList{Contracts: []v1.VersionedContract{}}
	for _, c := range o.follower.View().Contracts() {
		list.Contracts = append(list.Contracts, contractMessage(c))
	}
	return list, nil
}

// Contract implements httpapi.Operations.
func (o *operations) Contract(_ context.Context, team state.TeamID) (v1.VersionedContract, error) {
	contract, ok := o.follower.View().Contract(team)
	if !ok {
		return v1.VersionedContract{}, notFound(fmt.Sprintf("team %s has no contract", team), "list the contracts")
	}
	return contractMessage(contract), nil
}

func notFound(detail, remedy string) *state.Refusal {
	return &state.Refusal{Reason: state.ReasonNotFound, Verdict: state.Unknown, Detail: detail, Remedy: remedy}
}

func contractMessage(c config.Contract) v1.VersionedContract {
	return v1.VersionedContract{
		Contract: v1.Contract{
			Team: c.Team, Services: c.Services, Classes: c.Classes, SubmitRate: c.SubmitRate, SubmitBurst: c.SubmitBurst,
			MaxQueued: c.MaxQueued, Limit: v1.NewLimit(c.Limit), Weight: c.Weight, PartitionPolicy: v1.PartitionPolicy(c.PartitionPolicy),
		},
		Version: c.Version,
	}
}

// PutContract implements httpapi.Operations.
func (o *operations) PutContract(ctx context.Context, c v1.Contract, write v1.Write) (v1.WriteResult, error) {
	body := config.PutContract{Contract: config.Contract{
		Team: c.Team, Services: c.Services, Classes: c.Classes, SubmitRate: c.SubmitRate, SubmitBurst: c.SubmitBurst,
		MaxQueued: c.MaxQueued, Limit: c.Limit.Vector(), Weight: c.Weight, PartitionPolicy: config.PartitionPolicy(c.PartitionPolicy),
	}}
	if body.Contract.PartitionPolicy == "" {
		body.Contract.PartitionPolicy = config.PartitionServe
	}
	return o.write(ctx, "contract "+string(c.Team), write, body)
}

// WithdrawContract implements httpapi.Operations.
func (o *operations) WithdrawContract(ctx context.Context, team state.TeamID, write v1.Write) (v1.WriteResult, error) {
	return o.write(ctx, "contract "+string(team), write, config.WithdrawContract{Team: team})
}

// GrantKey implements httpapi.Operations.
func (o *operations) GrantKey(ctx context.Context, key v1.GrantKey) (v1.GrantedKey, error) {
	secret := ""
	hash, err := hex.DecodeString(key.SecretSHA256)
	if err != nil {
		return v1.GrantedKey{}, &v1.FieldError{Field: "secret_sha256", Problem: "is not hexadecimal", Remedy: "send 64 hexadecimal digits"}
	}
	if len(hash) == 0 {
		secret = newSecret()
		sum := sha256.Sum256([]byte(secret))
		hash = sum[:]
	}
	body := config.GrantKey{Key: config.Key{ID: key.ID, Team: key.Team, Role: config.Role(key.Role), Secret: hash}}
	result, err := o.write(ctx, "key "+key.ID, key.Write, body)
	if err != nil {
		return v1.GrantedKey{}, err
	}
	granted := v1.GrantedKey{WriteResult: result, ID: key.ID}
	if secret != "" {
		granted.Bearer = key.ID + "." + secret
	}
	return granted, nil
}

func newSecret() string {
	buf := make([]byte, secretBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(buf)
	return base64.RawURLEncoding.EncodeToString(buf)
}

// WithdrawKey implements httpapi.Operations.
func (o *operations) WithdrawKey(ctx context.Context, id string, write v1.Write) (v1.WriteResult, error) {
	return o.write(ctx, "key "+id, write, config.WithdrawKey{Key: id})
}

// PutQueue implements httpapi.Operations.
func (o *operations) PutQueue(ctx context.Context, q v1.Queue, write v1.Write) (v1.WriteResult, error) {
	body := config.OpenQueue{Queue: config.Queue{ID: q.ID, Team: q.Team, Open: q.Open, DefaultClass: q.DefaultClass}}
	return o.write(ctx, "queue "+string(q.ID), write, body)
}

// CloseQueue implements httpapi.Operations.
func (o *operations) CloseQueue(ctx context.Context, id state.QueueID, write v1.Write) (v1.WriteResult, error) {
	return o.write(ctx, "queue "+string(id), write, config.CloseQueue{Queue: id})
}

// PutDomains implements httpapi.Operations.
func (o *operations) PutDomains(ctx context.Context, domains []v1.Domain, write v1.Write) (v1.WriteResult, error) {
	body := config.PutDomains{}
	for _, d := range domains {
		body.Domains = append(body.Domains, config.Domain{ID: d.ID, Region: d.Region, Weight: d.Weight})
	}
	return o.write(ctx, "domains", write, body)
}

// Evacuate implements httpapi.Operations.
func (o *operations) Evacuate(ctx context.Context, domain state.DomainID, write v1.Write) (v1.WriteResult, error) {
	return o.write(ctx, "domain "+string(domain), write, config.EvacuateDomain{Domain: domain})
}

// RestoreDomain implements httpapi.Operations.
func (o *operations) RestoreDomain(ctx context.Context, domain state.DomainID, write v1.Write) (v1.WriteResult, error) {
	return o.write(ctx, "domain "+string(domain), write, config.RestoreDomain{Domain: domain})
}

// Drain implements httpapi.Operations.
func (o *operations) Drain(ctx context.Context, vm state.VMID, write v1.Write) (v1.WriteResult, error) {
	domain, err := o.domainOf(vm)
	if err != nil {
		return v1.WriteResult{}, err
	}
	return o.write(ctx, "upstream "+string(vm), write, config.DrainUpstream{Domain: domain, Upstream: vm})
}

// Undrain implements httpapi.Operations.
func (o *operations) Undrain(ctx context.Context, vm state.VMID, write v1.Write) (v1.WriteResult, error) {
	domain, err := o.domainOf(vm)
	if err != nil {
		return v1.WriteResult{}, err
	}
	return o.write(ctx, "upstream "+string(vm), write, config.UndrainUpstream{Domain: domain, Upstream: vm})
}

func (o *operations) domainOf(vm state.VMID) (state.DomainID, error) {
	view := o.follower.View()
	for _, d := range view.Domains() {
		if view.HasUpstream(d.ID, vm) {
			return d.ID, nil
		}
	}
	return "", notFound(fmt.Sprintf("no upstream %s is configured", vm), "look at the platform's VM list and at the status")
}
