package httpapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/internal/state"
)

// BenchmarkSubmit measures a submission over loopback with a job service that
// responds immediately.
func BenchmarkSubmit(b *testing.B) {
	jobs := &fakeJobs{submit: func(_ context.Context, s coordination.Submission) (coordination.JobStatus, error) {
		return coordination.JobStatus{ID: s.ID, Team: s.Team, State: state.JobSucceeded, Outputs: [][]byte{s.Payload}}, nil
	}}
	health := NewHealth(func() error { return nil })
	handler := NewHandler(Config{
		Jobs:       jobs,
		Operations: &fakeOperations{},
		Auth:       &fakeAuth{quota: Quota{SubmitRate: 1e9, Burst: 1e9}},
		Health:     health,
		Logger:     hclog.NewNullLogger(),
		Registry:   metrics.NewRegistry(),
		Tracer:     noop.NewTracerProvider(),
	})
	cfg := DefaultServerConfig("127.0.0.1:0")
	cfg.BalancerDelay = 0
	s := NewServer(cfg, handler, health)
	address, err := s.Start(nil)
	if err != nil {
		b.Fatal(err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	client := &http.Client{Transport: transport}
	submit := func() {
		request, _ := http.NewRequest("POST", "http://"+address.String()+"/v1/jobs", strings.NewReader(requestJob))
		request.Header.Set("Authorization", "Bearer "+tideKey)
		response, err := client.Do(request)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Error(response.Status)
		}
	}
	b.Run("serial", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			submit()
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				submit()
			}
		})
	})
	transport.CloseIdleConnections()
	_ = s.Shutdown(context.Background())
}
