package ledger

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// StartList names the upstreams on which an owner may start tasks before the log holds
// them, and those on which former owners may have done so and which the owner has not
// polled yet.
type StartList struct {
	// ConfigVersion is the version of the configuration that assigned queues to services
	// when tasks were started on these upstreams.
	ConfigVersion int64
	Upstreams     []ListedUpstream
}

// ListedUpstream is an upstream of a StartList.
type ListedUpstream struct {
	Service workload.ServiceName
	ID      workload.UpstreamID
}

const (
	// startListVersion is the first byte of an encoded StartList.
	startListVersion = 1
	// maxStartListBytes bounds the decompressed form of a StartList: 10,000 upstreams with
	// IDs of 100 bytes.
	maxStartListBytes = 1 << 20
)

// ErrStartList means that a StartList cannot be read. Its upstreams are not known then.
var ErrStartList = errors.New("ledger: the list of upstreams with starts before their record cannot be read")

// Encode returns the compact form of the list, which is empty for an empty list. It sorts
// the upstreams.
func (l *StartList) Encode() []byte {
	if len(l.Upstreams) == 0 {
		return nil
	}
	slices.SortFunc(l.Upstreams, func(a, b ListedUpstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	plain := binary.AppendVarint(nil, l.ConfigVersion)
	for rest := l.Upstreams; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].Service == rest[0].Service {
			n++
		}
		plain = appendText(plain, string(rest[0].Service))
		plain = binary.AppendUvarint(plain, uint64(n))
		for _, u := range rest[:n] {
			plain = appendText(plain, string(u.ID))
		}
		rest = rest[n:]
	}
	out := bytes.NewBuffer([]byte{startListVersion})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(plain)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("ledger: writing to memory failed: " + err.Error())
	}
	return out.Bytes()
}

func appendText(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// DecodeStartList decodes the form that Encode returns. It returns ErrStartList for data of
// a newer version or that is damaged.
func DecodeStartList(data []byte) (StartList, error) {
	var l StartList
	if len(data) == 0 {
		return l, nil
	}
	if data[0] != startListVersion {
		return l, fmt.Errorf("%w: it has version %d", ErrStartList, data[0])
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxStartListBytes+1))
	if err != nil || len(plain) > maxStartListBytes {
		return l, fmt.Errorf("%w: %d bytes decompressed, %w", ErrStartList, len(plain), cmp.Or(err, io.ErrShortBuffer))
	}
	in := bytes.NewReader(plain)
	if l.ConfigVersion, err = binary.ReadVarint(in); err != nil {
		return StartList{}, fmt.Errorf("%w: %w", ErrStartList, err)
	}
	for in.Len() > 0 {
		service, err := readText(in)
		if err != nil {
			return StartList{}, err
		}
		n, err := binary.ReadUvarint(in)
		if err != nil || n > uint64(in.Len()) {
			return StartList{}, fmt.Errorf("%w: service %q is truncated", ErrStartList, service)
		}
		for range n {
			id, err := readText(in)
			if err != nil {
				return StartList{}, err
			}
			l.Upstreams = append(l.Upstreams, ListedUpstream{workload.ServiceName(service), workload.UpstreamID(id)})
		}
	}
	return l, nil
}

func readText(in *bytes.Reader) (string, error) {
	n, err := binary.ReadUvarint(in)
	if err != nil || n > uint64(in.Len()) {
		return "", fmt.Errorf("%w: a name is truncated", ErrStartList)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(in, text); err != nil {
		return "", fmt.Errorf("%w: %w", ErrStartList, err)
	}
	return string(text), nil
}
