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
	// defaultReadRecords is the most records in one reply.
	defaultReadRecords = 1000
	// maxReadBytes is the size of a reply after which no record is added.
	maxReadBytes = 8 << 20
)

// Config states the limits of the service. The zero value has none.
type Config struct {
	// RetainRecords is how many records of a stream are kept; 0 means all.
	RetainRecords int
	// RetainAge is how long a record is kept; 0 means for good.
	RetainAge time.Duration
	// AppendsPerSecond is the most appends taken in a second over all
	// streams; the rest is answered ErrUnavailable with nothing written. 0
	// means no limit.
	AppendsPerSecond int
}

// Faults are the switches of the service.
type Faults struct {
	faults.Switches
	// Forget, when set, drops all records of all streams at that moment; the
	// offsets go on. It reads back as false.
	Forget bool `json:"forget,omitempty"`
}

// Stats counts what the service has done.
type Stats struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	// Refused counts the appends over the rate limit.
	Refused int64 `json:"refused"`
	// BusiestSecond is the largest number of appends taken in one second.
	BusiestSecond int `json:"busiest_second"`
}

// Service is the log service. All methods are safe for concurrent use.
type Service struct {
	config Config
	gate   *faults.Gate
	mux    *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	second  time.Time
	inThis  int
	stats   Stats
}

// StatsPath is where Stats is read.
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

// ServeHTTP serves the log port, the switches and the statistics.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Gate returns the gate of the service.
func (s *Service) Gate() *faults.Gate { return s.gate }

// Faults returns the switches as they are now.
func (s *Service) Faults() Faults { return Faults{Switches: s.gate.Switches()} }

// SetFaults replaces the switches.
func (s *Service) SetFaults(f Faults) error {
	s.gate.Set(f.Switches)
	if f.Forget {
		s.forget()
	}
	return nil
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Append adds a record to a stream as devplatform.Log documents.
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

// Read returns records as devplatform.Log documents.
func (s *Service) Read(ctx context.Context, req devplatform.ReadRequest) (devplatform.ReadReply, error) {
	if req.Stream == "" || req.From < 0 || req.Limit < 0 {
		return devplatform.ReadReply{}, fmt.Errorf("%w: stream must be set, from and limit not negative", devplatform.ErrInvalid)
	}
	deadline := time.NewTimer(req.Wait)
	defer deadline.Stop()
	for {
		reply, grown, err := s.readNow(req)
		if err != nil || len(reply.Records) > 0 || req.Wait <= 0 {
			return reply, err
		}
		select {
		case <-grown:
		case <-deadline.C:
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// serveRead answers Read; a forgotten offset brings what is still kept.
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
	if body.Code == devplatform.CodeForgotten {
		body.Retained = &devplatform.Retained{Oldest: reply.Oldest, Tail: reply.Tail}
	}
	wire.WriteJSON(w, status, body)
}

// readNow returns what there is, and a channel that closes when there is more.
func (s *Service) readNow(req devplatform.ReadRequest) (devplatform.ReadReply, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	st := s.stream(req.Stream)
	st.trim(s.config, time.Now())
	reply := devplatform.ReadReply{Oldest: st.oldest, Tail: st.tail()}
	if req.From < st.oldest {
		return reply, nil, devplatform.ErrForgotten
	}
	reply.Records = st.from(req.From, req.Limit)
	return reply, st.grown, nil
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

func (s *Service) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.drop(len(st.records))
	}
}

// admitAppend counts an append against the limit of the second.
func (s *Service) admitAppend(now time.Time) bool {
	if now.Sub(s.second) >= time.Second {
		s.second = now
		s.inThis = 0
	}
	if s.config.AppendsPerSecond > 0 && s.inThis >= s.config.AppendsPerSecond {
		s.stats.Refused++
		return false
	}
	s.inThis++
	s.stats.BusiestSecond = max(s.stats.BusiestSecond, s.inThis)
	return true
}
