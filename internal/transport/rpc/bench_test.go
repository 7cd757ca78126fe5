package rpc

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/samphirerail/samphirerail/internal/coordination"
)

// BenchmarkSubmit measures a forwarded submission on loopback, one at a time
// and many at once.
func BenchmarkSubmit(b *testing.B) {
	serverConfig := DefaultServerConfig(loopback)
	serverConfig.Logger, serverConfig.Registry, serverConfig.Tracer = hclog.NewNullLogger(), metrics.NewRegistry(), noop.NewTracerProvider()
	s := NewServer(serverConfig, &fakePeer{})
	address, err := s.Start()
	if err != nil {
		b.Fatal(err)
	}
	clientConfig := DefaultClientConfig()
	clientConfig.Logger, clientConfig.Registry, clientConfig.Tracer = serverConfig.Logger, serverConfig.Registry, serverConfig.Tracer
	c := NewClient(clientConfig)
	submission := coordination.Submission{ID: jobA, Team: "tide", Class: "request", Payload: make([]byte, 256)}
	submit := func() {
		if _, err := c.Submit(context.Background(), address.String(), "north/0", submission); err != nil {
			b.Error(err)
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
	_ = c.Close()
	_ = s.Shutdown(context.Background())
}
