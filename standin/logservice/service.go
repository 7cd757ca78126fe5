// Package logservice is a stand-in for the platform's append-only log service.
// It keeps its streams in memory.
package logservice

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/internal/wire"
)

const (
	// defaultReadRecords is the maximum number of records in one reply.
	defaultReadRecords = 1000
	// maxReadBytes is the size of a reply in bytes above which no more records are added.
	maxReadBytes = 8 << 20
)

// Config holds the limits of the service. The zero value has none.
type Config struct {
	// RetainRecords is the number of records kept per stream; 0 means all.
	RetainRecords int
	// RetainAge is the time for which a record is kept; 0 means forever.
	RetainAge time.Duration
	// AppendsPerSecond is the maximum number of appends per second over all streams.
	// Appends above it fail with ErrUnavailable and write nothing. 0 means no limit.
	AppendsPerSecond int
}

// Faults holds the fault switches of the service.
type Faults struct {
	faults.Switches
	// DropRecords, if set, drops all records of all streams once. Later appends continue
	// with the next offsets. It reads back as false.
	DropRecords bool `json:"forget,omitempty"`
}

// Stats holds the counters of the service.
type Stats struct {
	Appends int64 `json:"appends"`
	// Reads counts the reads of a stream, including those that a waiting call repeats.
	Reads int64 `json:"reads"`
	// Refused counts the appends above the rate limit.
	Refused int64 `json:"refused"`
	// BusiestSecond is the largest number of appends accepted within one second.
	BusiestSecond int `json:"busiest_second"`
}

// Service is the log service. All methods are safe for concurrent use.
type Service struct {
	config Config
	gate   *faults.Gate
	mux    *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	// secondStart and appendsInSecond are the start of the current second of the rate
	// limit and the appends accepted in it.
	secondStart     time.Time
	appendsInSecond int
	stats           Stats
}

// StatsPath is the HTTP path where Stats is read.
const StatsPath = "/stats"

// New returns an empty log service.
func New(config Config) *Service {
	s := &Service{
		config:  config,
		gate:    faults.NewGate(devplatform.PathAppend),
		mux:     http.NewServeMux(),
		streams: map[string]*stream{},
	}
	s.mux.Handle("POST "+devplatform.PathAppend, s.gate.Wrap(wire.Handle(s.Append)))
	s.mux.Handle("POST "+devplatform.PathRead, s.gate.Wrap(http.HandlerFunc(s.serveRead)))
	s.mux.HandleFunc("GET "+StatsPath, func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, s.Stats())
	})
	faults.Register(s.mux, s.Faults, s.SetFaults)
	return s
}

// ServeHTTP serves the log protocol, the fault switches and the counters.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Gate returns the gate that applies the fault switches.
func (s *Service) Gate() *faults.Gate { return s.gate }

// Faults returns the current fault switches.
func (s *Service) Faults() Faults { return Faults{Switches: s.gate.Switches()} }

// SetFaults replaces the fault switches. It never fails.
func (s *Service) SetFaults(f Faults) error {
	s.gate.Set(f.Switches)
	if f.DropRecords {
		s.dropAll()
	}
	return nil
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Append implements devplatform.Log.
func (s *Service) Append(_ context.Context, req devplatform.AppendRequest) (int64, error) {
	if req.Stream == "" || req.Record.ID == "" {
		return 0, fmt.Errorf("%w: stream and record.id must be set", devplatform.ErrInvalid)
	}
	if len(req.Record.Data) > devplatform.MaxRecordBytes {
		return 0, devplatform.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admitAppend(time.Now()) {
		return 0, fmt.Errorf("%w: over %d appends a second", devplatform.ErrUnavailable, s.config.AppendsPerSecond)
	}
	st := s.stream(req.Stream)
	if req.ExpectedOffset != nil && *req.ExpectedOffset != st.tail() {
		return 0, devplatform.ErrOffsetMismatch
	}
	offset := st.append(req.Record, time.Now())
	st.trim(s.config, time.Now())
	s.stats.Appends++
	return offset, nil
}

// Read implements devplatform.Log.
func (s *Service) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	if req.Stream == "" || req.From < 0 || req.Limit < 0 {
		return devplatform.ReadReply{}, fmt.Errorf("%w: stream must be set, from and limit not negative", devplatform.ErrInvalid)
	}
	deadline := time.NewTimer(req.Wait)
	defer deadline.Stop()
	for {
		reply, appended, err := s.readNow(req)
		if err != nil || len(reply.Records) > 0 || req.Wait <= 0 {
			return reply, err
		}
		select {
		case <-appended:
		case <-deadline.C:
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// serveRead serves Read over HTTP. The error for an offset before the retention carries
// the offsets that are still kept.
func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	var req devplatform.ReadRequest
	if err := wire.Decode(r, &req); err != nil {
		wire.WriteError(w, err)
		return
	}
	reply, err := s.Read(r.Context(), req)
	if err == nil {
		wire.WriteJSON(w, http.StatusOK, reply)
		return
	}
	status, body := devplatform.EncodeError(err)
	if body.Code == devplatform.CodeOffsetExpired {
		body.Retained = &devplatform.Retained{Oldest: reply.Oldest, Tail: reply.Tail}
	}
	wire.WriteJSON(w, status, body)
}

// readNow returns the available records, and a channel that is closed at the next append.
func (s *Service) readNow(req devplatform.ReadRequest) (devplatform.ReadReply, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	st := s.stream(req.Stream)
	st.trim(s.config, time.Now())
	reply := devplatform.ReadReply{Oldest: st.oldest, Tail: st.tail()}
	if req.From < st.oldest {
		return reply, nil, devplatform.ErrOffsetExpired
	}
	reply.Records = st.readFrom(req.From, req.Limit)
	return reply, st.appended, nil
}

// stream returns a stream, which it creates if needed. The caller must hold mu.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// dropAll drops all records of all streams.
func (s *Service) dropAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.drop(len(st.records))
	}
}

// admitAppend counts an append and reports whether it is within the rate limit. The caller
// must hold mu.
func (s *Service) admitAppend(now time.Time) bool {
	if now.Sub(s.secondStart) >= time.Second {
		s.secondStart = now
		s.appendsInSecond = 0
	}
	if s.config.AppendsPerSecond > 0 && s.appendsInSecond >= s.config.AppendsPerSecond {
		s.stats.Refused++
		return false
	}
	s.appendsInSecond++
	s.stats.BusiestSecond = max(s.stats.BusiestSecond, s.appendsInSecond)
	return true
}
