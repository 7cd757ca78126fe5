package runtimes

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// A record has a version and two lists, each with its length in two bytes: the classes and
// the upstreams with observations. Names are hashed to four bytes; with 600 upstreams, two
// have the same hash in one of 20,000 systems, and then start from the same factor.
const (
	recordVersion = 1
	// An upstream takes 4 bytes of hash, 2 of the mean and 1 of the weight of its
	// observations; a class takes one more, for the spread of its steps.
	upstreamBytes, classBytes = 7, 8
	// maxUpstreams and maxClassRecords bound a record to 29 KB.
	maxUpstreams, maxClassRecords = 4000, 64
	// meanUnit is the resolution of a mean; weightUnit that of the logarithm of a weight, to
	// base 2, and spreadUnit that of a variance.
	meanUnit, weightUnit, spreadUnit = 4096, 8, 128
	// noticeable is the change of an upstream's factor after which a record is written.
	noticeable = 0.05
)

// VersionError says that a record is of a newer version, which this process can't read.
type VersionError struct{ Version byte }

func (e *VersionError) Error() string {
	return fmt.Sprintf("runtimes: the record is of version %d, and %d is the newest that this entry reads; run times are learned anew", e.Version, recordVersion)
}

// MalformedError says that a record cannot be decoded.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string {
	return "runtimes: malformed record: " + e.Reason + "; run times are learned anew"
}

func upstreamHash(id string, incarnation int64) uint32 {
	return uint32(xxhash.Sum64String(id + "\x00" + strconv.FormatInt(incarnation, 10)))
}

func classHash(id Class) uint32 { return uint32(xxhash.Sum64String(id.Queue + "\x00" + id.Image)) }

// Encode returns a record of what was learned, and whether it differs noticeably from the
// one that Encode returned last with true.
func (m *Model) Encode() (data []byte, changed bool) {
	upstreams := make([]*Upstream, 0, len(m.upstreams))
	for _, u := range m.upstreams {
		if u.weight > 0 && !u.gone {
			upstreams = append(upstreams, u)
		}
	}
	slices.SortFunc(upstreams, func(a, b *Upstream) int { return cmp.Or(-cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id)) })
	upstreams = upstreams[:min(len(upstreams), maxUpstreams)]
	for _, u := range upstreams {
		changed = changed || !u.encoded || math.Abs(u.log-u.encodedLog) > noticeable
	}
	if !changed {
		return nil, false
	}
	classes := make([]Class, 0, len(m.classes))
	for id, c := range m.classes {
		if c.weight > 0 {
			classes = append(classes, id)
		}
	}
	slices.SortFunc(classes, func(a, b Class) int {
		return cmp.Or(-cmp.Compare(m.classes[a].weight, m.classes[b].weight), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Image, b.Image))
	})
	classes = classes[:min(len(classes), maxClassRecords)]
	data = make([]byte, 0, 5+len(classes)*classBytes+len(upstreams)*upstreamBytes)
	data = binary.BigEndian.AppendUint16(append(data, recordVersion), uint16(len(classes)))
	for _, id := range classes {
		c := m.classes[id]
		data = appendLearned(data, classHash(id), c.sum/c.weight, c.weight)
		data = append(data, byte(min(math.Round(c.spread()*spreadUnit), math.MaxUint8)))
	}
	data = binary.BigEndian.AppendUint16(data, uint16(len(upstreams)))
	for _, u := range upstreams {
		data = appendLearned(data, upstreamHash(u.id, u.incarnation), u.sum/u.weight, u.weight)
		u.encoded, u.encodedLog = true, u.log
	}
	return data, true
}

func appendLearned(data []byte, hash uint32, mean, weight float64) []byte {
	data = binary.BigEndian.AppendUint32(data, hash)
	scaled := min(max(math.Round(mean*meanUnit), math.MinInt16), math.MaxInt16)
	data = binary.BigEndian.AppendUint16(data, uint16(int16(scaled)))
	return append(data, byte(min(math.Round(weightUnit*math.Log2(1+weight)), math.MaxUint8)))
}

// learned is what a record holds of an upstream or a class.
type learned struct{ mean, weight, spread float64 }

func decodeLearned(data []byte) (hash uint32, l learned) {
	hash = binary.BigEndian.Uint32(data)
	l.mean = float64(int16(binary.BigEndian.Uint16(data[4:]))) / meanUnit
	l.weight = math.Exp2(float64(data[6])/weightUnit) - 1
	return hash, l
}

// Decode returns a Model that starts from a record. The error is a *VersionError or a
// *MalformedError.
func Decode(data []byte) (*Model, error) {
	if len(data) == 0 {
		return nil, &MalformedError{"it is empty"}
	}
	if data[0] != recordVersion {
		return nil, &VersionError{data[0]}
	}
	m := New()
	m.restoredClasses, m.restoredUpstreams = map[uint32]learned{}, map[uint32]learned{}
	rest, err := decodeList(data[1:], classBytes, func(item []byte) {
		hash, l := decodeLearned(item)
		l.spread = float64(item[classBytes-1]) / spreadUnit
		m.restoredClasses[hash] = l
	})
	if err == nil {
		rest, err = decodeList(rest, upstreamBytes, func(item []byte) {
			hash, l := decodeLearned(item)
			m.restoredUpstreams[hash] = l
		})
	}
	switch {
	case err != nil:
		return nil, err
	case len(rest) > 0:
		return nil, &MalformedError{fmt.Sprintf("%d bytes follow the last list", len(rest))}
	}
	return m, nil
}

// decodeList calls f for each item of a list and returns the data after it.
func decodeList(data []byte, size int, f func(item []byte)) (rest []byte, err error) {
	if len(data) < 2 {
		return nil, &MalformedError{"the length of a list is missing"}
	}
	n := int(binary.BigEndian.Uint16(data))
	data = data[2:]
	if len(data) < n*size {
		return nil, &MalformedError{fmt.Sprintf("a list of %d items has %d bytes", n, len(data))}
	}
	for i := range n {
		f(data[i*size : (i+1)*size])
	}
	return data[n*size:], nil
}

// restoreUpstream applies what the record holds of an upstream's incarnation.
func (m *Model) restoreUpstream(u *Upstream) {
	if len(m.restoredUpstreams) == 0 {
		return
	}
	hash := upstreamHash(u.id, u.incarnation)
	l, ok := m.restoredUpstreams[hash]
	if !ok {
		return
	}
	delete(m.restoredUpstreams, hash)
	u.sum, u.weight = l.mean*l.weight, l.weight
	// The kinds are estimated after every few upstreams, and not after each.
	const restoredTogether = 8
	if m.observed += refreshInterval / restoredTogether; m.observed >= refreshInterval {
		m.refresh()
	}
}

// restoreClass applies what the record holds of a class.
func (m *Model) restoreClass(id Class, c *class) {
	if len(m.restoredClasses) == 0 {
		return
	}
	if l, ok := m.restoredClasses[classHash(id)]; ok {
		const steps = 20 // number of steps that the recorded spread counts for
		c.sum, c.weight = l.mean*l.weight, l.weight
		c.squares, c.steps = l.spread*steps, steps
	}
}
