package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is how long the store takes for an append; a partition takes one at a time.
const appendTime = 2 * time.Millisecond

// pageItems is the most items on a page of the newest records.
const pageItems = 500

// store is a stand-in of the platform's log store. Every topic has one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	appending sync.Mutex
	records   [][]byte
	producers map[string]*producer
}

// producer is the newest epoch of a producer, and the first responses of its last five appends.
type producer struct {
	epoch, seq int64
	recent     map[int64]int64
}

func newStore() *store { return &store{topics: map[string]*topic{}, changed: make(chan struct{})} }

// topic returns a topic, which is created on first use. The lock is held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put appends a keyed record, as operators and runners do; a nil value drops the key.
func (s *store) put(name, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		body, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, body...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), [][]byte{record})
}

// add appends records and wakes the readers. The lock is held.
func (s *store) add(t *topic, records [][]byte) (offset int64) {
	offset = int64(len(t.records))
	t.records = append(t.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.Append:
		s.serveAppend(w, r)
	case wire.Read:
		s.serveRead(w, r)
	case wire.Newest:
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		records, rest = append(records, rest[4:4+n]), rest[4+n:]
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.appending.Lock()
	time.Sleep(appendTime)
	s.mu.Lock()
	status, result := s.conditionalAppend(t, r, records)
	s.mu.Unlock()
	t.appending.Unlock()
	reply(w, status, result)
}

// conditionalAppend appends if the conditions of the call hold. The lock is held.
func (s *store) conditionalAppend(t *topic, r *http.Request, records [][]byte) (int, map[string]any) {
	end := int64(len(t.records))
	name, epoch, seq := r.URL.Query().Get("producer"), number(r, "epoch"), number(r, "seq")
	p := t.producers[name]
	if name != "" && p != nil {
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if first, repeated := p.recent[seq]; epoch == p.epoch && repeated {
			return http.StatusOK, map[string]any{"offset": first, "end": end}
		}
		if epoch == p.epoch && seq != p.seq+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1}
		}
	}
	if at := number(r, "at"); at >= 0 && at != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	offset := s.add(t, records)
	if name != "" {
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, recent: map[int64]int64{}}
			t.producers[name] = p
		}
		p.seq, p.recent[seq] = seq, offset
		delete(p.recent, seq-5)
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": int64(len(t.records))}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, most := max(0, number(r, "from")), 1024<<10
	if kb := number(r, "max_read_kb"); kb > 0 {
		most = int(kb) << 10
	}
	deadline := time.After(time.Duration(max(0, number(r, "wait_ms"))) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		records := t.records
		s.mu.Unlock()
		if int64(len(records)) > from || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < int64(len(records)) && len(out) < most; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
				out = append(out, records[i]...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("topic")).records
	s.mu.Unlock()
	newest := map[string]item{}
	for i, record := range records {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if delete(newest, key); len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), int64(i)}
		}
	}
	items, after := []item{}, r.URL.Query().Get("after")
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has_more": more, "end": len(records)})
}
