package rpc

import (
	"context"
	"net"
	"net/rpc"
	"runtime"
	"testing"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/samphirerail/samphirerail/internal/coordination"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// BenchmarkSubmit measures a forwarded submission over loopback, serially and in parallel.
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

// BenchmarkHeartbeat measures the encoding of a heartbeat and its reply: the total bytes on
// the wire, and the heap memory of the two encoders.
func BenchmarkHeartbeat(b *testing.B) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	go discardAll(remote)
	request, reply := newFrameConn(local, DefaultMaxFrameBytes, testTimeout), newFrameConn(local, DefaultMaxFrameBytes, testTimeout)
	hb := coordination.Heartbeat{
		From: "entry-north-1/7c9e6679", Domain: "north", Address: "10.1.2.3:7000", Sequence: 1 << 20, ConfigVersion: 1 << 20,
		Owned: []coordination.ShardLoad{{Shard: "north/0", Epoch: devplatform.Epoch{Number: 12, Owner: "entry-north-1/7c9e6679"}, Ready: true, Queued: 900, Running: 300, Upstreams: 48, Fenced: 48}},
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	round := func() int {
		_, _ = request.write(&rpc.Request{ServiceMethod: methodHeartbeat, Seq: hb.Sequence}, &HeartbeatArgs{Heartbeat: hb})
		_, _ = reply.write(&rpc.Response{ServiceMethod: methodHeartbeat, Seq: hb.Sequence}, &HeartbeatReply{Heartbeat: hb})
		return request.out.Len() + reply.out.Len()
	}
	round()
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := 0
	for b.Loop() {
		size = round()
	}
	b.ReportMetric(float64(size), "wire-B")
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "encoders-B")
}
