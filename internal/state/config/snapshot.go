package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	// PartBytes is the most Data of one Snapshot record, so that the record
	// stays under 1 MiB when encoded.
	PartBytes = 700 << 10
	// maxSnapshotBytes bounds what a snapshot may unpack to.
	maxSnapshotBytes = 256 << 20
)

// ErrBadSnapshot says that a snapshot can't be restored.
var ErrBadSnapshot = errors.New("config: the snapshot is damaged or of an unknown format; use another one")

// image is the encoded form of a view.
type image struct {
	Format         int                            `json:"v"`
	Version        int64                          `json:"version"`
	Contracts      []Contract                     `json:"contracts"`
	Keys           []Key                          `json:"keys"`
	Queues         []Queue                        `json:"queues"`
	Domains        []Domain                       `json:"domains"`
	DomainsVersion int64                          `json:"domains_version"`
	Entries        []Entry                        `json:"entries"`
	Shards         map[state.DomainID]*shardImage `json:"shards"`
	Claims         []Claim                        `json:"claims"`
	Ledgers        map[state.TeamID]*ledger       `json:"ledgers"`
	Settled        map[state.DomainID]int64       `json:"settled"`
	Writes         []item[write]                  `json:"writes"`
	Ended          []item[int64]                  `json:"ended"`
}

func (v *View) image() image {
	shards := make(map[state.DomainID]*shardImage, len(v.shards))
	for domain, s := range v.shards {
		shards[domain] = s.image()
	}
	return image{
		Format:         FormatVersion,
		Version:        v.version,
		Contracts:      v.Contracts(),
		Keys:           v.Keys(),
		Queues:         v.Queues(),
		Domains:        v.domains,
		DomainsVersion: v.domainsVersion,
		Entries:        v.Entries(),
		Shards:         shards,
		Claims:         sortedRows(v.claims),
		Ledgers:        v.ledgers,
		Settled:        v.settled,
		Writes:         v.writes,
		Ended:          v.ended,
	}
}

// EncodeSnapshot renders the whole state. Equal states give equal bytes.
func (v *View) EncodeSnapshot() ([]byte, error) {
	var out bytes.Buffer
	packer := gzip.NewWriter(&out)
	err := json.NewEncoder(packer).Encode(v.image())
	if err != nil {
		return nil, fmt.Errorf("config: encode snapshot: %w", err)
	}
	if err := packer.Close(); err != nil {
		return nil, fmt.Errorf("config: pack snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// SplitSnapshot cuts an encoded snapshot into records that fit the log. set
// must be the same in no other snapshot.
func SplitSnapshot(set string, asOf int64, data []byte) []Snapshot {
	parts := slices.Collect(slices.Chunk(data, PartBytes))
	out := make([]Snapshot, 0, len(parts))
	for i, part := range parts {
		out = append(out, Snapshot{Set: set, AsOf: asOf, Part: i, Parts: len(parts), Data: part})
	}
	return out
}

// Restore returns the fold that a snapshot was taken of. The error is
// ErrBadSnapshot.
func Restore(data []byte) (*Fold, error) {
	packer, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	var img image
	decoder := json.NewDecoder(io.LimitReader(packer, maxSnapshotBytes))
	if err := decoder.Decode(&img); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	if img.Format != FormatVersion {
		return nil, fmt.Errorf("%w: format %d", ErrBadSnapshot, img.Format)
	}
	// The rest of the stream carries the checksum.
	if _, err := io.Copy(io.Discard, packer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	return restore(img), nil
}

func restore(img image) *Fold {
	f := NewFold()
	f.version = img.Version
	f.domains = img.Domains
	f.domainsVersion = img.DomainsVersion
	for _, c := range img.Contracts {
		f.contracts.put(c.Team, c)
	}
	for _, k := range img.Keys {
		f.keys.put(k.ID, k)
	}
	for _, q := range img.Queues {
		f.queues.put(q.ID, q)
	}
	for _, e := range img.Entries {
		f.entries.put(e.ID, e)
	}
	for _, c := range img.Claims {
		f.claims.put(c.Shard, c)
	}
	for domain, s := range img.Shards {
		if s != nil {
			f.shards.put(domain, s.shard())
		}
	}
	for team, l := range img.Ledgers {
		if l != nil {
			f.ledgers.put(team, l.clone())
		}
	}
	for domain, version := range img.Settled {
		f.settled.put(domain, version)
	}
	f.writes = newRecent(img.Writes)
	f.ended = newRecent(img.Ended)
	return f
}

// Assembler gathers the parts of snapshots until one is complete.
type Assembler struct {
	sets map[string]*partial
}

type partial struct {
	asOf  int64
	parts [][]byte
	have  int
}

// Add takes a part and returns the whole snapshot once it is complete.
func (a *Assembler) Add(part Snapshot) (data []byte, asOf int64, complete bool) {
	if part.Parts < 1 || part.Parts > maxSnapshotBytes/PartBytes || part.Part < 0 || part.Part >= part.Parts {
		return nil, 0, false
	}
	if a.sets == nil {
		a.sets = map[string]*partial{}
	}
	p, ok := a.sets[part.Set]
	if !ok {
		p = &partial{asOf: part.AsOf, parts: make([][]byte, part.Parts)}
		a.sets[part.Set] = p
	}
	if len(p.parts) != part.Parts || p.asOf != part.AsOf || p.parts[part.Part] != nil {
		return nil, 0, false
	}
	p.parts[part.Part] = append([]byte{}, part.Data...)
	p.have++
	if p.have < len(p.parts) {
		return nil, 0, false
	}
	delete(a.sets, part.Set)
	return bytes.Join(p.parts, nil), p.asOf, true
}
