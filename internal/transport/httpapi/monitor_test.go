package httpapi

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
)

func TestMonitor(t *testing.T) {
	notReady := errors.New("the configuration is not folded yet; wait")
	tests := []struct {
		name      string
		path      string
		ready     error
		drain     bool
		profiling bool
		code      int
		body      string
	}{
		{name: "healthy while not ready", path: "/healthz", ready: notReady, code: 200, body: "ok"},
		{name: "ready", path: "/readyz", code: 200, body: "ready"},
		{name: "not ready", path: "/readyz", ready: notReady, code: 503, body: "not folded"},
		{name: "draining", path: "/readyz", drain: true, code: 503, body: "stopping"},
		{name: "metrics", path: "/metrics", code: 200, body: `"placements":{"count":3}`},
		{name: "metrics as text", path: "/metrics?format=text", code: 200, body: "counter placements"},
		{name: "profiling disabled", path: "/debug/pprof/heap", code: 404},
		{name: "profiling", path: "/debug/pprof/heap", profiling: true, code: 200},
		{name: "profiling index", path: "/debug/pprof/", profiling: true, code: 200, body: "goroutine"},
		{name: "job API not served", path: "/v1/jobs/x", code: 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			registry := metrics.NewRegistry()
			metrics.GetOrRegisterCounter("placements", registry).Inc(3)
			health := NewHealth(func() error { return tt.ready })
			if tt.drain {
				health.Drain()
				health.Drain()
			}
			handler := NewMonitor(MonitorConfig{Registry: registry, Health: health, Profiling: tt.profiling})
			got := httptest.NewRecorder()
			handler.ServeHTTP(got, httptest.NewRequest(http.MethodGet, tt.path, nil))
			is.Equal(got.Code, tt.code)
			is.True(strings.Contains(got.Body.String(), tt.body))
		})
	}
}
