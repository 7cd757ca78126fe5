package httpapi

import (
	"context"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Operations implements the operator calls of the API. Errors are
// *state.Refusal, *v1.ConflictError or *v1.FieldError; any other error results
// in a 500 with an unknown outcome. A write returns once this entry has folded
// it.
type Operations interface {
	Contracts(ctx context.Context) (v1.ContractList, error)
	Contract(ctx context.Context, team state.TeamID) (v1.VersionedContract, error)
	PutContract(ctx context.Context, contract v1.Contract, write v1.Write) (v1.WriteResult, error)
	WithdrawContract(ctx context.Context, team state.TeamID, write v1.Write) (v1.WriteResult, error)
	GrantKey(ctx context.Context, key v1.GrantKey) (v1.GrantedKey, error)
	WithdrawKey(ctx context.Context, id string, write v1.Write) (v1.WriteResult, error)
	PutQueue(ctx context.Context, queue v1.Queue, write v1.Write) (v1.WriteResult, error)
	CloseQueue(ctx context.Context, id state.QueueID, write v1.Write) (v1.WriteResult, error)
	PutDomains(ctx context.Context, domains []v1.Domain, write v1.Write) (v1.WriteResult, error)
	Evacuate(ctx context.Context, domain state.DomainID, write v1.Write) (v1.WriteResult, error)
	RestoreDomain(ctx context.Context, domain state.DomainID, write v1.Write) (v1.WriteResult, error)
	Drain(ctx context.Context, vm state.VMID, write v1.Write) (v1.WriteResult, error)
	Undrain(ctx context.Context, vm state.VMID, write v1.Write) (v1.WriteResult, error)
	Status(ctx context.Context) (v1.Status, error)
	Version(ctx context.Context, version int64) (v1.VersionStatus, error)
	Explain(ctx context.Context, id state.JobID) (v1.Explanation, error)
}
