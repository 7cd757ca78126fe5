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
	"github.com/samphirerail/samphirerail/internal/state/evacuation"
)

const (
	// PartBytes is the maximum size of the Data of one Snapshot record, so that
	// the encoded record stays below 1 MiB.
	PartBytes = 700 << 10
	// maxSnapshotBytes is the maximum size of a decompressed snapshot.
	maxSnapshotBytes = 256 << 20
)

// ErrBadSnapshot is returned for a snapshot that can't be restored.
var ErrBadSnapshot = errors.New("config: the snapshot is damaged or of an unknown format; use another one")

// encodedState is the JSON form of a View in a snapshot.
type encodedState struct {
	Format         int                                  `json:"v"`
	Version        int64                                `json:"version"`
	Contracts      []Contract                           `json:"contracts"`
	Keys           []Key                                `json:"keys"`
	Queues         []Queue                              `json:"queues"`
	Domains        []Domain                             `json:"domains"`
	DomainsVersion int64                                `json:"domains_version"`
	Evacuated      []state.DomainID                     `json:"evacuated,omitempty"`
	Entries        []Entry                              `json:"entries"`
	Upstreams      map[state.DomainID]*encodedUpstreams `json:"shards"`
	Claims         []Claim                              `json:"claims"`
	Ledgers        map[state.TeamID]*ledger             `json:"ledgers"`
	Settled        map[state.DomainID]int64             `json:"settled"`
	Writes         []item[write]                        `json:"writes"`
	Unregistered   []item[int64]                        `json:"ended"`
}

func (v *View) encodedState() encodedState {
	upstreams := make(map[state.DomainID]*encodedUpstreams, len(v.upstreams))
	for domain, d := range v.upstreams {
		upstreams[domain] = d.encoded()
	}
	return encodedState{
		Format:         FormatVersion,
		Version:        v.version,
		Contracts:      v.Contracts(),
		Keys:           v.Keys(),
		Queues:         v.Queues(),
		Domains:        v.domains,
		DomainsVersion: v.domainsVersion,
		Evacuated:      v.evacuated.Domains(),
		Entries:        v.Entries(),
		Upstreams:      upstreams,
		Claims:         sortedRows(v.claims),
		Ledgers:        v.ledgers,
		Settled:        v.settled,
		Writes:         v.writes,
		Unregistered:   v.unregistered,
	}
}

// EncodeSnapshot encodes the whole state. Equal states give equal bytes.
func (v *View) EncodeSnapshot() ([]byte, error) {
	var out bytes.Buffer
	gzipWriter := gzip.NewWriter(&out)
	err := json.NewEncoder(gzipWriter).Encode(v.encodedState())
	if err != nil {
		return nil, fmt.Errorf("config: encode snapshot: %w", err)
	}
	if err := gzipWriter.Close(); err != nil {
		return nil, fmt.Errorf("config: compress snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// SplitSnapshot splits an encoded snapshot into records that fit into the log.
// set must differ from that of every other snapshot.
func SplitSnapshot(set string, asOf int64, data []byte) []Snapshot {
	parts := slices.Collect(slices.Chunk(data, PartBytes))
	out := make([]Snapshot, 0, len(parts))
	for i, part := range parts {
		out = append(out, Snapshot{Set: set, AsOf: asOf, Part: i, Parts: len(parts), Data: part})
	}
	return out
}

// Restore decodes a snapshot into a Fold with the same state. Any error wraps
// ErrBadSnapshot.
func Restore(data []byte) (*Fold, error) {
	gzipReader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	var encoded encodedState
	decoder := json.NewDecoder(io.LimitReader(gzipReader, maxSnapshotBytes))
	if err := decoder.Decode(&encoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	if encoded.Format != FormatVersion {
		return nil, fmt.Errorf("%w: format %d", ErrBadSnapshot, encoded.Format)
	}
	// Read to the end, where the gzip checksum is verified.
	if _, err := io.Copy(io.Discard, gzipReader); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	return restore(encoded), nil
}

func restore(encoded encodedState) *Fold {
	f := NewFold()
	f.version = encoded.Version
	f.domains = encoded.Domains
	f.domainsVersion = encoded.DomainsVersion
	f.evacuated = evacuation.NewSet(encoded.Evacuated...)
	for _, c := range encoded.Contracts {
		f.contracts.put(c.Team, c)
	}
	for _, k := range encoded.Keys {
		f.keys.put(k.ID, k)
	}
	for _, q := range encoded.Queues {
		f.queues.put(q.ID, q)
	}
	for _, e := range encoded.Entries {
		f.entries.put(e.ID, e)
	}
	for _, c := range encoded.Claims {
		f.claims.put(c.Shard, c)
	}
	for domain, d := range encoded.Upstreams {
		if d != nil {
			f.upstreams.put(domain, d.decoded())
		}
	}
	for team, l := range encoded.Ledgers {
		if l != nil {
			f.ledgers.put(team, l.clone())
		}
	}
	for domain, version := range encoded.Settled {
		f.settled.put(domain, version)
	}
	f.writes = newRecent(encoded.Writes)
	f.unregistered = newRecent(encoded.Unregistered)
	return f
}

// Assembler collects the parts of snapshots until a snapshot is complete. The
// zero value is ready for use. It is not safe for concurrent use.
type Assembler struct {
	sets map[string]*partialSnapshot
}

type partialSnapshot struct {
	asOf     int64
	parts    [][]byte
	received int
}

// Add adds a part and, once all parts of its snapshot were added, returns the
// encoded snapshot with complete true. Parts that are invalid, that do not match
// earlier parts of the same set, or that were added before are ignored.
func (a *Assembler) Add(part Snapshot) (data []byte, asOf int64, complete bool) {
	if part.Parts < 1 || part.Parts > maxSnapshotBytes/PartBytes || part.Part < 0 || part.Part >= part.Parts {
		return nil, 0, false
	}
	if a.sets == nil {
		a.sets = map[string]*partialSnapshot{}
	}
	p, ok := a.sets[part.Set]
	if !ok {
		p = &partialSnapshot{asOf: part.AsOf, parts: make([][]byte, part.Parts)}
		a.sets[part.Set] = p
	}
	if len(p.parts) != part.Parts || p.asOf != part.AsOf || p.parts[part.Part] != nil {
		return nil, 0, false
	}
	p.parts[part.Part] = append([]byte{}, part.Data...)
	p.received++
	if p.received < len(p.parts) {
		return nil, 0, false
	}
	delete(a.sets, part.Set)
	return bytes.Join(p.parts, nil), p.asOf, true
}
