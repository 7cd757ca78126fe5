package platformclient

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/worker"
)

func TestCallPropagatesTraceContext(t *testing.T) {
	is := is.New(t)
	recorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	r := newWorkerHarness(t, worker.Config{}, Options{TracerProvider: provider})

	ctx, parent := provider.Tracer("test").Start(t.Context(), "submit")
	_, err := r.client.Start(ctx, devplatform.StartRequest{
		Epoch: r.epoch, Incarnation: r.fence.Incarnation, LeaseUntil: r.leaseEnd(time.Hour),
		Spec: devplatform.TaskSpec{TaskID: "t1"},
	})
	is.NoErr(err)
	_, err = r.client.Start(ctx, devplatform.StartRequest{Epoch: r.epoch, Incarnation: "other", Spec: devplatform.TaskSpec{TaskID: "t2"}})
	is.True(errors.Is(err, devplatform.ErrWrongIncarnation))

	spans := recorder.Ended()
	started, refused := spans[len(spans)-2], spans[len(spans)-1]
	is.Equal(started.Name(), "worker.start")
	is.Equal(started.SpanKind(), trace.SpanKindClient)
	is.Equal(started.Parent().SpanID(), parent.SpanContext().SpanID())
	is.Equal(refused.Status().Code, codes.Error)
	want := "00-" + parent.SpanContext().TraceID().String() + "-" + started.SpanContext().SpanID().String() + "-01"
	is.Equal(r.worker.History().Runs[0].TraceParent, want)
}
