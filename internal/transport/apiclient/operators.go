package apiclient

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	pathContracts = "/v1/contracts"
	pathKeys      = "/v1/keys"
	pathQueues    = "/v1/queues"
	pathDomains   = "/v1/domains"
	pathUpstreams = "/v1/upstreams"
	pathStatus    = "/v1/status"
	pathVersions  = "/v1/versions"

	pathEvacuation = "/evacuation"

	paramWriteID     = "write_id"
	paramBaseVersion = "base_version"
)

func subpath(path, name string) string { return path + "/" + url.PathEscape(name) }

// withWriteID returns the write with a new write ID if it has none.
func withWriteID(write v1.Write) v1.Write {
	if write.WriteID == "" {
		write.WriteID = v1.NewWriteID()
	}
	return write
}

// put sends a message that contains a write. write must have a write ID.
func (c *Client) put(ctx context.Context, path string, write v1.Write, message any) (v1.WriteResult, error) {
	var result v1.WriteResult
	call := &apiCall{method: http.MethodPut, path: path, body: message, writeID: write.WriteID}
	err := c.doIdempotent(ctx, call, &result)
	return result, err
}

// sendWrite sends a write without a body. The write is encoded in the query
// parameters.
func (c *Client) sendWrite(ctx context.Context, method, path string, write v1.Write) (v1.WriteResult, error) {
	write = withWriteID(write)
	query := url.Values{paramWriteID: {write.WriteID}}
	if write.BaseVersion != nil {
		query.Set(paramBaseVersion, strconv.FormatInt(*write.BaseVersion, 10))
	}
	var result v1.WriteResult
	err := c.doIdempotent(ctx, &apiCall{method: method, path: path, query: query, writeID: write.WriteID}, &result)
	return result, err
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var message T
	err := c.doIdempotent(ctx, &apiCall{method: http.MethodGet, path: path}, &message)
	return message, err
}

// Contracts returns all contracts, sorted by team. The methods that read fail with a
// *v1.Refusal or an *UnreachableError; those that write may also fail with an
// *OutcomeUnknownError. A version conflict is a *v1.Refusal.
func (c *Client) Contracts(ctx context.Context) (v1.ContractList, error) {
	list, err := get[v1.ContractList](ctx, c, pathContracts)
	slices.SortFunc(list.Contracts, func(a, b v1.VersionedContract) int {
		return cmp.Compare(a.Team, b.Team)
	})
	return list, err
}

// Contract returns a team's contract.
func (c *Client) Contract(ctx context.Context, team state.TeamID) (v1.VersionedContract, error) {
	return get[v1.VersionedContract](ctx, c, subpath(pathContracts, string(team)))
}

// PutContract creates or replaces a team's contract. The write needs a base version.
func (c *Client) PutContract(ctx context.Context, contract v1.Contract, write v1.Write) (v1.WriteResult, error) {
	write = withWriteID(write)
	return c.put(ctx, subpath(pathContracts, string(contract.Team)), write, v1.PutContract{Write: write, Contract: contract})
}

// WithdrawContract withdraws a team's contract. The write needs a base version.
func (c *Client) WithdrawContract(ctx context.Context, team state.TeamID, write v1.Write) (v1.WriteResult, error) {
	return c.sendWrite(ctx, http.MethodDelete, subpath(pathContracts, string(team)), write)
}

// GrantKey grants a key.
func (c *Client) GrantKey(ctx context.Context, key v1.GrantKey) (v1.GrantedKey, error) {
	key.Write = withWriteID(key.Write)
	var granted v1.GrantedKey
	err := c.doIdempotent(ctx, &apiCall{method: http.MethodPost, path: pathKeys, body: key, writeID: key.WriteID}, &granted)
	return granted, err
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, id string, write v1.Write) (v1.WriteResult, error) {
	return c.sendWrite(ctx, http.MethodDelete, subpath(pathKeys, id), write)
}

// PutQueue creates or replaces a queue. The write needs a base version.
func (c *Client) PutQueue(ctx context.Context, queue v1.Queue, write v1.Write) (v1.WriteResult, error) {
	write = withWriteID(write)
	return c.put(ctx, subpath(pathQueues, string(queue.ID)), write, v1.PutQueue{Write: write, Queue: queue})
}

// CloseQueue closes a queue. The write needs a base version.
func (c *Client) CloseQueue(ctx context.Context, id state.QueueID, write v1.Write) (v1.WriteResult, error) {
	return c.sendWrite(ctx, http.MethodDelete, subpath(pathQueues, string(id)), write)
}

// PutDomains replaces the list of failure domains. The write needs a base version.
func (c *Client) PutDomains(ctx context.Context, domains []v1.Domain, write v1.Write) (v1.WriteResult, error) {
	write = withWriteID(write)
	return c.put(ctx, pathDomains, write, v1.PutDomains{Write: write, Domains: domains})
}

// Evacuate stops the start of tasks in a failure domain.
func (c *Client) Evacuate(ctx context.Context, domain state.DomainID, write v1.Write) (v1.WriteResult, error) {
	return c.sendWrite(ctx, http.MethodPost, subpath(pathDomains, string(domain))+pathEvacuation, write)
}

// RestoreDomain ends the evacuation of a failure domain.
func (c *Client) RestoreDomain(ctx context.Context, domain state.DomainID, write v1.Write) (v1.WriteResult, error) {
	return c.sendWrite(ctx, http.MethodDelete, subpath(pathDomains, string(domain))+pathEvacuation, write)
}

// Drain stops the placement of new work on an upstream.
func (c *Client) Drain(ctx context.Context, vm state.VMID, write v1.Write) (v1.WriteResult, error) {
	return c.sendWrite(ctx, http.MethodPost, subpath(pathUpstreams, string(vm))+"/drain", write)
}

// Undrain allows the placement of new work on an upstream again.
func (c *Client) Undrain(ctx context.Context, vm state.VMID, write v1.Write) (v1.WriteResult, error) {
	return c.sendWrite(ctx, http.MethodDelete, subpath(pathUpstreams, string(vm))+"/drain", write)
}

// Status returns the status of the entry that responds, and its view of the cluster.
func (c *Client) Status(ctx context.Context) (v1.Status, error) {
	return get[v1.Status](ctx, c, pathStatus)
}

// Version reports in which failure domains a configuration version is in force.
func (c *Client) Version(ctx context.Context, version int64) (v1.VersionStatus, error) {
	return get[v1.VersionStatus](ctx, c, subpath(pathVersions, strconv.FormatInt(version, 10)))
}

// AwaitVersion polls until a configuration version is in force in every domain. If
// ctx ends first, it returns the last status that was read and the error of ctx. An
// error of Version before that is returned at once.
func (c *Client) AwaitVersion(ctx context.Context, version int64) (v1.VersionStatus, error) {
	last := v1.VersionStatus{Version: version}
	for {
		status, err := c.Version(ctx, version)
		switch {
		case err == nil && status.InForce:
			return status, nil
		case err == nil:
			last = status
		case ctx.Err() == nil:
			return last, err
		}
		if err := sleep(ctx, versionPollInterval); err != nil {
			return last, err
		}
	}
}

// versionPollInterval is the time between two polls of AwaitVersion.
const versionPollInterval = 200 * time.Millisecond

// Explain returns where a job is and why it is waiting.
func (c *Client) Explain(ctx context.Context, id state.JobID) (v1.Explanation, error) {
	return get[v1.Explanation](ctx, c, jobPath(id)+"/explain")
}
