package devmode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// bootstrapKey is the operator key in the entries' settings. It is valid until the
// first operator key is granted.
const bootstrapKey = "bootstrap.dev"

// devTeam is the team that has a contract in the development system.
const devTeam = state.TeamID("demo")

// configure writes the failure domains, a contract and the first keys through the
// operator API.
func (s *System) configure(ctx context.Context) error {
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	anyVersion := v1.AnyVersion
	write := v1.Write{BaseVersion: &anyVersion}
	put := v1.PutDomains{Write: write}
	for _, d := range domains {
		put.Domains = append(put.Domains, v1.Domain{ID: state.DomainID(d), Region: "dev", Weight: 1})
	}
	if err := s.call(ctx, http.MethodPut, "/v1/domains", put, nil); err != nil {
		return err
	}
	contract := v1.PutContract{Write: write, Contract: v1.Contract{
		Services:   []state.Service{"fitting", "design"},
		Classes:    []state.Class{state.ClassRequest, state.ClassBatch, state.ClassGang, state.ClassStanding},
		SubmitRate: 1000, SubmitBurst: 1000, MaxQueued: 10000, Weight: 1,
		Limit: v1.Limit{CPUMilli: 128000, MemoryMB: 262144, Accelerators: 16, Slots: 48},
	}}
	if err := s.call(ctx, http.MethodPut, "/v1/contracts/"+string(devTeam), contract, nil); err != nil {
		return err
	}
	var granted v1.GrantedKey
	if err := s.call(ctx, http.MethodPost, "/v1/keys", v1.GrantKey{ID: "demo-key", Team: devTeam, Role: v1.RoleCaller}, &granted); err != nil {
		return err
	}
	s.TeamKey = granted.Bearer
	if err := s.call(ctx, http.MethodPost, "/v1/keys", v1.GrantKey{ID: "ops-key", Role: v1.RoleOperator}, &granted); err != nil {
		return err
	}
	s.OperatorKey = granted.Bearer
	return s.waitUpstreams(ctx)
}

// waitUpstreams waits until the first entry reports every upstream as fenced, which is
// when jobs can be placed on all of them.
func (s *System) waitUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		var status v1.Status
		if err := s.call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
			return err
		}
		fenced := 0
		for _, shard := range status.Shards {
			fenced += shard.Fenced
		}
		if fenced == len(s.workers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "devmode: not all upstreams were fenced in time")
		case <-time.After(readyPollInterval):
		}
	}
}

// call makes an operator API request to the first entry and decodes the reply unless
// reply is nil.
func (s *System) call(ctx context.Context, method, path string, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "devmode: can't encode an operator API request")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.CallersAddress+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "devmode: can't create an operator API request")
	}
	key := bootstrapKey
	if s.OperatorKey != "" {
		key = s.OperatorKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "devmode: %s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrapf(err, "devmode: %s %s", method, path)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("devmode: %s %s failed with status %s: %s", method, path, resp.Status, data)
	}
	if reply == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(data, reply), "devmode: can't decode an operator API reply")
}
