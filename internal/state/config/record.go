package config

import (
	"github.com/samphirerail/samphirerail/internal/state"
)

// Kind names the content of a record on the wire.
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
	KindClaimShard       Kind = "claim_shard"
	KindSnapshot         Kind = "snapshot"
)

// Record is one change of the configuration.
type Record struct {
	// ID identifies the write: a record whose ID was folded before is dropped.
	ID string
	// Base is the version of the object that the writer has seen: NoVersion
	// when the object must not exist, AnyVersion to skip the check. Records of
	// confirmations, claims, upstreams and snapshots have none.
	Base int64
	// At is when the record was written, in Unix milliseconds; informational.
	At int64
	// Body is the content. It is nil when the kind is unknown to this
	// release.
	Body Body
}

// Body is the content of a record.
type Body interface {
	// Kind names the content on the wire.
	Kind() Kind
}

// PutContract sets a contract. Its base is the contract's version.
type PutContract struct {
	Contract Contract `json:"contract"`
}

// WithdrawContract ends a contract: the team may run nothing from then on.
type WithdrawContract struct {
	Team state.TeamID `json:"team"`
}

// GrantKey makes a key known. An ID is granted once.
type GrantKey struct {
	Key Key `json:"key"`
}

// WithdrawKey ends a key for good.
type WithdrawKey struct {
	Key string `json:"key"`
}

// OpenQueue sets a queue. Its base is the queue's version.
type OpenQueue struct {
	Queue Queue `json:"queue"`
}

// CloseQueue ends a queue.
type CloseQueue struct {
	Queue state.QueueID `json:"queue"`
}

// PutDomains sets the ordered list of failure domains. Its base is the
// version of the list.
type PutDomains struct {
	Domains []Domain `json:"domains"`
}

// RegisterEntry makes an entry one of those that must confirm. It replaces the
// entry registered on the same VM, whose Registered is the base, so that a
// delayed record of an earlier incarnation can't replace a later one. An ID
// that was unregistered is refused.
type RegisterEntry struct {
	Entry  state.EntryID  `json:"entry"`
	Domain state.DomainID `json:"domain"`
}

// UnregisterEntry says that an entry has ended: by its own leave, or because
// its VM is gone.
type UnregisterEntry struct {
	Entry state.EntryID `json:"entry"`
}

// Confirm says that an entry has folded a version and uses nothing older.
type Confirm struct {
	Entry   state.EntryID `json:"entry"`
	Version int64         `json:"version"`
	// Settled says besides that the entry owns its domain's upstreams and
	// that all that runs there, unfenced upstreams counted as full, fits the
	// allotments of Version.
	Settled bool `json:"settled,omitempty"`
}

// MoveAllotment moves a part of a team's limit from one domain to another.
// Its base is the version of the team's allotments.
type MoveAllotment struct {
	Team   state.TeamID   `json:"team"`
	From   state.DomainID `json:"from"`
	To     state.DomainID `json:"to"`
	Amount state.Vector   `json:"amount"`
}

// JoinUpstreams adds upstreams to a domain, or corrects the record of known
// ones. A VM ID that was dropped may join again.
type JoinUpstreams struct {
	Domain    state.DomainID `json:"domain"`
	Upstreams []Upstream     `json:"upstreams"`
}

// DropUpstreams forgets upstreams. The writer must know that nothing runs on
// them: the VM is gone.
type DropUpstreams struct {
	Domain    state.DomainID `json:"domain"`
	Upstreams []state.VMID   `json:"upstreams"`
}

// DrainUpstream lets an upstream take no new work.
type DrainUpstream struct {
	Domain   state.DomainID `json:"domain"`
	Upstream state.VMID     `json:"upstream"`
}

// UndrainUpstream ends a drain.
type UndrainUpstream struct {
	Domain   state.DomainID `json:"domain"`
	Upstream state.VMID     `json:"upstream"`
}

// ClaimShard announces an owner. A claim that is not newer than the present
// one is a conflict.
type ClaimShard struct {
	Shard  state.ShardID `json:"shard"`
	Number uint64        `json:"number"`
	Owner  state.EntryID `json:"owner"`
}

// Snapshot is a part of the encoded state as of a version. It changes nothing
// when folded.
type Snapshot struct {
	// Set is the same in all parts of one snapshot.
	Set string `json:"set"`
	// AsOf is the version that the snapshot holds.
	AsOf int64 `json:"as_of"`
	// Part counts from 0 to Parts-1.
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
func (ClaimShard) Kind() Kind { return KindClaimShard }

// Kind implements Body.
func (Snapshot) Kind() Kind { return KindSnapshot }
