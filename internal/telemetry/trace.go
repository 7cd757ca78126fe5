package telemetry

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// StartTracing installs the global tracer provider and the W3C propagator. exporter is
// "none" or "stdout"; with "stdout", spans are written to out as one JSON object each.
// ratio is the fraction of new traces that is sampled, 0 to 1; entry is the service
// instance ID. The returned function flushes the spans and stops the provider.
func StartTracing(exporter string, ratio float64, entry string, out io.Writer) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if exporter == "none" {
		return func(context.Context) error { return nil }, nil
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: can't start the trace exporter; set trace.exporter to none")
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exp),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(ratio))),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", "samphirerail"), attribute.String("service.instance.id", entry))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
