package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	appendTime   = 2 * time.Millisecond
	answerTime   = 4 * time.Millisecond
	pageItems    = 500
	pageBytes    = 1 << 20
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	// tooLarge counts the appends that were rejected because of their size.
	tooLarge int
	onLarge  func(records, largest, total int)
	// fault is applied to each call before it is processed.
	fault func(r *http.Request) bool
}

type partition struct {
	appending sync.Mutex
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
}

type producer struct {
	epoch, seq int64
	recent     map[int64]int64
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, changed: make(chan struct{})}
}

func (s *store) part(topic, part string) *partition {
	key := topic + "/" + part
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}}
		s.parts[key] = p
	}
	return p
}

// add appends records to a partition and wakes the readers. The caller holds s.mu.
func (s *store) add(p *partition, keyed bool, records [][]byte) int64 {
	first := len(p.records)
	for _, r := range records {
		if keyed && len(r) > 0 && len(r) >= 1+int(r[0]) {
			p.newest[string(r[1:1+int(r[0])])] = len(p.records)
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return int64(first)
}

// put writes a record as the operator or a runner does. An empty value removes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := append([]byte{byte(len(key))}, key...)
	s.add(s.part(topic, "0"), true, [][]byte{append(r, value...)})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.fault != nil && s.fault(r) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	time.Sleep(answerTime)
	switch r.URL.Path {
	case wire.Append:
		s.serveAppend(w, r)
	case wire.Read:
		s.serveRead(w, r)
	case wire.Newest:
		s.serveNewest(w, r)
	case wire.Trim:
		reply(w, 200, map[string]any{})
	default:
		w.WriteHeader(404)
	}
}

func number(r *http.Request, name string, absent int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return absent
	}
	return n
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(403)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	largest, total := 0, 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			reply(w, 400, map[string]any{"reason": "form"})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > len(rest)-4 {
			reply(w, 400, map[string]any{"reason": "form"})
			return
		}
		records = append(records, rest[4:4+n])
		largest, total = max(largest, n), total+n
		rest = rest[4+n:]
	}
	if largest > recordBytes || total > requestBytes {
		s.mu.Lock()
		s.tooLarge++
		s.mu.Unlock()
		if s.onLarge != nil {
			s.onLarge(len(records), largest, total)
		}
		reply(w, 413, map[string]any{"reason": "size"})
		return
	}
	s.mu.Lock()
	p := s.part(topic, q.Get("part"))
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(p.records))
	name := q.Get("producer")
	epoch, seq := number(r, "epoch", 0), number(r, "seq", 0)
	known := p.producers[name]
	if name != "" && known != nil {
		switch {
		case epoch < known.epoch:
			reply(w, 409, map[string]any{"reason": "fenced"})
			return
		case epoch == known.epoch:
			if offset, again := known.recent[seq]; again {
				reply(w, 200, map[string]any{"offset": offset, "end": end})
				return
			}
			if seq != known.seq+1 {
				reply(w, 409, map[string]any{"reason": "seq", "expected": known.seq + 1})
				return
			}
		}
	}
	if at := number(r, "at", -1); at >= 0 && at != end {
		reply(w, 412, map[string]any{"end": end})
		return
	}
	offset := s.add(p, strings.HasPrefix(topic, "keyed."), records)
	if name != "" {
		if known == nil || epoch > known.epoch {
			known = &producer{epoch: epoch, recent: map[int64]int64{}}
			p.producers[name] = known
		}
		if len(records) > 0 {
			known.seq = seq
			known.recent[seq] = offset
			delete(known.recent, seq-5)
		}
	}
	reply(w, 200, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(r, "from", 0)
	most := int(number(r, "max_read_kb", 1024)) << 10
	deadline := time.NewTimer(time.Duration(min(number(r, "wait_ms", 0), 30000)) * time.Millisecond)
	defer deadline.Stop()
	for late := false; ; {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		end, changed := int64(len(p.records)), s.changed
		if from < end || late {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end; i++ {
				if i > from && len(out)+len(p.records[i]) > most {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
				out = append(out, p.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	after := q.Get("after")
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, more := 0, false
	for _, key := range keys {
		record := p.records[p.newest[key]]
		value := record[1+len(key):]
		if len(value) == 0 {
			continue
		}
		if len(items) == pageItems || (len(items) > 0 && size+len(value) > pageBytes) {
			more = true
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key]})
	}
	reply(w, 200, map[string]any{"items": items, "has_more": more, "end": len(p.records)})
}
