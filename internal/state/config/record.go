package config

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// Kind identifies the type of a record's body in encoded records.
type Kind string

// The kinds of records.
const (
	KindPutContract      Kind = "put_contract"
	KindWithdrawContract Kind = "withdraw_contract"
	KindGrantKey         Kind = "grant_key"
	KindWithdrawKey      Kind = "withdraw_key"
	KindOpenQueue        Kind = "open_queue"
	KindCloseQueue       Kind = "close_queue"
	KindPutDomains       Kind = "put_domains"
	KindRegisterEntry    Kind = "register_entry"
	KindUnregisterEntry  Kind = "unregister_entry"
	KindConfirm          Kind = "confirm"
	KindMoveAllotment    Kind = "move_allotment"
	KindJoinUpstreams    Kind = "join_upstreams"
	KindDropUpstreams    Kind = "drop_upstreams"
	KindDrainUpstream    Kind = "drain_upstream"
	KindUndrainUpstream  Kind = "undrain_upstream"
	KindEvacuateDomain   Kind = "evacuate_domain"
	KindRestoreDomain    Kind = "restore_domain"
	KindClaimShard       Kind = "claim_shard"
	KindSnapshot         Kind = "snapshot"
)

// Record is one change to the configuration.
type Record struct {
	// ID identifies the write. A record whose ID was folded before is a
	// duplicate and is dropped.
	ID string
	// Base is the version of the object that the writer has read: NoVersion
	// if the object must not exist, AnyVersion to skip the check. It is ignored
	// for confirmations, claims, upstreams, evacuations, snapshots and UnregisterEntry.
	Base int64
	// At is the time of the write in Unix milliseconds, for information only.
	At int64
	// Body is the content. It is nil if the kind is unknown to this release.
	Body Body
}

// Body is the content of a record.
type Body interface {
	// Kind returns the kind under which the body is encoded.
	Kind() Kind
}

// PutContract creates or replaces a contract. Its base is the contract's
// version.
type PutContract struct {
	Contract Contract `json:"contract"`
}

// WithdrawContract removes a contract. From then on the team may run nothing.
type WithdrawContract struct {
	Team state.TeamID `json:"team"`
}

// GrantKey creates or replaces a key. The ID of a withdrawn key can't be granted
// again.
type GrantKey struct {
	Key Key `json:"key"`
}

// WithdrawKey revokes a key permanently.
type WithdrawKey struct {
	Key string `json:"key"`
}

// OpenQueue creates or replaces a queue. Its base is the queue's version.
type OpenQueue struct {
	Queue Queue `json:"queue"`
}

// CloseQueue removes a queue.
type CloseQueue struct {
	Queue state.QueueID `json:"queue"`
}

// PutDomains sets the ordered list of failure domains. Its base is the
// version of the list.
type PutDomains struct {
	Domains []Domain `json:"domains"`
}

// RegisterEntry registers an entry, whose confirmations are needed from then
// on. It replaces the entry registered on the same VM. Its base is the
// Registered of that entry, or NoVersion without one, so that a delayed record
// of an earlier incarnation can't replace a later one. The ID of an unregistered
// entry is rejected.
type RegisterEntry struct {
	Entry  state.EntryID  `json:"entry"`
	Domain state.DomainID `json:"domain"`
}

// UnregisterEntry removes an entry that has ended, because it shut down or
// because its VM no longer exists.
type UnregisterEntry struct {
	Entry state.EntryID `json:"entry"`
}

// Confirm states that an entry has folded a version and no longer uses an older
// one.
type Confirm struct {
	Entry   state.EntryID `json:"entry"`
	Version int64         `json:"version"`
	// Settled states in addition that the entry owns its domain's upstreams
	// and that all running tasks there fit the allotments of Version.
	// Upstreams that are not fenced count as full.
	Settled bool `json:"settled,omitempty"`
}

// MoveAllotment moves an amount of a team's allotment from one domain to
// another. Its base is the version of the team's allotments.
type MoveAllotment struct {
	Team   state.TeamID   `json:"team"`
	From   state.DomainID `json:"from"`
	To     state.DomainID `json:"to"`
	Amount state.Vector   `json:"amount"`
}

// JoinUpstreams adds upstreams to a domain, or updates the attributes of known
// ones. A VM ID that was dropped may be added again.
type JoinUpstreams struct {
	Domain    state.DomainID `json:"domain"`
	Upstreams []Upstream     `json:"upstreams"`
}

// DropUpstreams removes upstreams. The writer must be sure that nothing runs on
// them because their VMs no longer exist.
type DropUpstreams struct {
	Domain    state.DomainID `json:"domain"`
	Upstreams []state.VMID   `json:"upstreams"`
}

// DrainUpstream stops the placement of new work on an upstream.
type DrainUpstream struct {
	Domain   state.DomainID `json:"domain"`
	Upstream state.VMID     `json:"upstream"`
}

// UndrainUpstream ends the drain of an upstream.
type UndrainUpstream struct {
	Domain   state.DomainID `json:"domain"`
	Upstream state.VMID     `json:"upstream"`
}

// EvacuateDomain stops the start of tasks in a failure domain. Running tasks continue.
type EvacuateDomain struct {
	Domain state.DomainID `json:"domain"`
}

// RestoreDomain ends the evacuation of a failure domain.
type RestoreDomain struct {
	Domain state.DomainID `json:"domain"`
}

// ClaimShard announces the owner of a shard. A claim that is not newer than the
// current one, by epoch number and then by owner ID, is a conflict.
type ClaimShard struct {
	Shard  state.ShardID `json:"shard"`
	Number uint64        `json:"number"`
	Owner  state.EntryID `json:"owner"`
}

// Snapshot is one part of the encoded state as of a version. Folding it does not
// change the state.
type Snapshot struct {
	// Set identifies the snapshot; all its parts have the same Set.
	Set string `json:"set"`
	// AsOf is the version of the state in the snapshot.
	AsOf int64 `json:"as_of"`
	// Part is the index of the part, from 0 to Parts-1.
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// Kind implements Body.
func (PutContract) Kind() Kind { return KindPutContract }

// Kind implements Body.
func (WithdrawContract) Kind() Kind { return KindWithdrawContract }

// Kind implements Body.
func (GrantKey) Kind() Kind { return KindGrantKey }

// Kind implements Body.
func (WithdrawKey) Kind() Kind { return KindWithdrawKey }

// Kind implements Body.
func (OpenQueue) Kind() Kind { return KindOpenQueue }

// Kind implements Body.
func (CloseQueue) Kind() Kind { return KindCloseQueue }

// Kind implements Body.
func (PutDomains) Kind() Kind { return KindPutDomains }

// Kind implements Body.
func (RegisterEntry) Kind() Kind { return KindRegisterEntry }

// Kind implements Body.
func (UnregisterEntry) Kind() Kind { return KindUnregisterEntry }

// Kind implements Body.
func (Confirm) Kind() Kind { return KindConfirm }

// Kind implements Body.
func (MoveAllotment) Kind() Kind { return KindMoveAllotment }

// Kind implements Body.
func (JoinUpstreams) Kind() Kind { return KindJoinUpstreams }

// Kind implements Body.
func (DropUpstreams) Kind() Kind { return KindDropUpstreams }

// Kind implements Body.
func (DrainUpstream) Kind() Kind { return KindDrainUpstream }

// Kind implements Body.
func (UndrainUpstream) Kind() Kind { return KindUndrainUpstream }

// Kind implements Body.
func (EvacuateDomain) Kind() Kind { return KindEvacuateDomain }

// Kind implements Body.
func (RestoreDomain) Kind() Kind { return KindRestoreDomain }

// Kind implements Body.
func (ClaimShard) Kind() Kind { return KindClaimShard }

// Kind implements Body.
func (Snapshot) Kind() Kind { return KindSnapshot }
