//go:build review3

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of the store in the sheets of the small sites.
const (
	appendTime                     = 2 * time.Millisecond
	answerTime                     = 2 * time.Millisecond
	historyTime                    = 300 * time.Second // keep_s
	partitionBytes                 = 200 << 20
	appendBytesPerS, readBytesPerS = 20 << 20, 80 << 20
	writesPerS, readsPerS          = 600, 2000
	// appendWait is the most that may wait at a partition.
	appendWait  = 2 * time.Second
	pageRecords = 500
	pageBytes   = 1 << 20
	storeBytes  = 400 << 20
)

// store plays the platform's log. Every topic has one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string]*partition
	changed chan struct{}
	// stored is the size of all records that are kept.
	stored int
	// writes and reads are the calls of all machines, readFree is when all reads so far have been passed on.
	writes, reads bucket
	readFree      time.Time
}

// bucket counts calls against a limit a second.
type bucket struct {
	left float64
	at   time.Time
}

// take reports whether a call is within the limit.
func (k *bucket) take(perS float64) bool {
	now := time.Now()
	k.left = min(perS, k.left+now.Sub(k.at).Seconds()*perS)
	k.at = now
	if k.left < 1 {
		return false
	}
	k.left--
	return true
}

// beyond reports whether a call is beyond the limits of the sheet.
func (s *store) beyond(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path == wire.Append {
		return !s.writes.take(writesPerS)
	}
	return !s.reads.take(readsPerS)
}

// passOn waits while an answer of that many bytes is read, at the rate that all reads share.
func (s *store) passOn(bytes int) {
	s.mu.Lock()
	if now := time.Now(); s.readFree.Before(now) {
		s.readFree = now
	}
	s.readFree = s.readFree.Add(time.Duration(bytes) * time.Second / readBytesPerS)
	until := s.readFree
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

type partition struct {
	appending sync.Mutex // a partition processes its appends one at a time
	// free is when all appends so far have been processed.
	free time.Time
	// size is the size of the records that are kept.
	size    int
	records []storedRecord
	// first is the oldest offset that reads return.
	first int64
	// newest holds the offset of the newest record of each key that has a value, keys these keys in order.
	newest map[string]int64
	keys   []string
	fences map[string]*producer
}

type storedRecord struct {
	data, value []byte
	key         string
	at          time.Time
}

type producer struct {
	epoch, seq int64
	// answers holds the answers to the last appends.
	answers map[int64]map[string]any
}

func newStore() *store {
	return &store{topics: map[string]*partition{}, changed: make(chan struct{})}
}

func (s *store) topic(name string) *partition {
	t := s.topics[name]
	if t == nil {
		t = &partition{newest: map[string]int64{}, fences: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// Put appends a record as the operator and the runners do.
func (s *store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (s *store) add(t *partition, records [][]byte) int64 {
	offset := int64(len(t.records))
	for _, data := range records {
		r := storedRecord{data: data, at: time.Now()}
		if len(data) > 0 && len(data) > int(data[0]) {
			r.key, r.value = string(data[1:1+data[0]]), data[1+data[0]:]
		}
		at, known := slices.BinarySearch(t.keys, r.key)
		switch {
		case len(r.value) > 0 && !known:
			t.keys = slices.Insert(t.keys, at, r.key)
		case len(r.value) == 0 && known:
			t.keys = slices.Delete(t.keys, at, at+1)
			s.supersede(t, r.key)
			delete(t.newest, r.key)
		}
		if len(r.value) > 0 {
			s.supersede(t, r.key)
			t.newest[r.key] = int64(len(t.records))
		}
		t.records = append(t.records, r)
		s.stored += len(data)
		t.size += len(data)
	}
	s.expire(t)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// supersede drops the newest record of a key if it isn't part of the history any more.
func (s *store) supersede(t *partition, key string) {
	if offset, ok := t.newest[key]; ok && offset < t.first {
		s.drop(t, &t.records[offset])
	}
}

func (s *store) drop(t *partition, r *storedRecord) {
	s.stored -= len(r.data)
	t.size -= len(r.data)
	r.data, r.value = nil, nil
}

// expire drops the records of the history that are too old, or beyond the size of a partition.
func (s *store) expire(t *partition) {
	for t.first < int64(len(t.records)) && (t.size > partitionBytes || time.Since(t.records[t.first].at) > historyTime) {
		r := &t.records[t.first]
		if offset, ok := t.newest[r.key]; !ok || offset != t.first {
			s.drop(t, r)
		}
		t.first++
	}
}

// ServeHTTP serves the calls of the machines.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.beyond(r.URL.Path) {
		w.WriteHeader(http.StatusTooManyRequests)
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
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > len(rest)-4 || n > 262144 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, slices.Clone(rest[4:4+n]))
		rest = rest[4+n:]
	}
	if len(body) > 2097152 {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	status, result := s.append(r, name, records, len(body))
	writeJSON(w, status, result)
}

// append carries an append out.
func (s *store) append(r *http.Request, name string, records [][]byte, size int) (int, map[string]any) {
	cost := appendTime + time.Duration(size)*time.Second/appendBytesPerS
	s.mu.Lock()
	t, now := s.topic(name), time.Now()
	if t.free.Sub(now) > appendWait {
		s.mu.Unlock()
		return http.StatusServiceUnavailable, nil
	}
	if t.free.Before(now) {
		t.free = now
	}
	t.free = t.free.Add(cost)
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(cost)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	by, epoch, seq := r.URL.Query().Get("producer"), number(r, "epoch"), number(r, "seq")
	p := t.fences[by]
	if by != "" && p != nil {
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if epoch == p.epoch {
			if answer, ok := p.answers[seq]; ok {
				return http.StatusOK, answer
			}
			if seq != p.seq+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1}
			}
		}
	}
	if at := number(r, "at"); at >= 0 && at != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	if s.stored >= storeBytes {
		return http.StatusInsufficientStorage, nil
	}
	offset := s.add(t, records)
	answer := map[string]any{"offset": offset, "end": len(t.records)}
	if by != "" {
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, answers: map[int64]map[string]any{}}
			t.fences[by] = p
		}
		p.seq = seq
		p.answers[seq] = answer
		delete(p.answers, seq-5)
	}
	return http.StatusOK, answer
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	limit := 1024 << 10
	if kb := number(r, "max_read_kb"); kb > 0 {
		limit = int(kb) << 10
	}
	deadline := time.NewTimer(time.Duration(max(0, number(r, "wait_ms"))) * time.Millisecond)
	defer deadline.Stop()
	over := false
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		s.expire(t)
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if over || from < int64(len(t.records)) {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, uint64(t.first))
			for i := from; i < int64(len(t.records)); i++ {
				data := t.records[i].data
				if len(out) > 16 && len(out)+len(data) > limit {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
				out = append(out, data...)
			}
			s.mu.Unlock()
			s.passOn(len(out))
			_, _ = w.Write(out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			over = true
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	body, size := s.newestPage(r)
	s.passOn(size)
	writeJSON(w, http.StatusOK, body)
}

// newestPage returns a page of the newest records, and its size.
func (s *store) newestPage(r *http.Request) (body map[string]any, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items, more := []item{}, false
	after := r.URL.Query().Get("after")
	at, known := slices.BinarySearch(t.keys, after)
	if known {
		at++
	}
	for _, key := range t.keys[at:] {
		rec := &t.records[t.newest[key]]
		if size += len(rec.value); len(items) == pageRecords || len(items) > 0 && size > pageBytes {
			more = true
			break
		}
		items = append(items, item{key, base64.StdEncoding.EncodeToString(rec.value), t.newest[key]})
	}
	return map[string]any{"items": items, "has_more": more, "end": len(t.records)}, size
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// number returns a number of the query, or -1.
func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// size returns the size of all records that are kept.
func (s *store) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored
}
