package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

const (
	tracerName = "github.com/samphirerail/samphirerail/internal/transport/httpapi"
	// HeaderRequestID carries the ID that correlates a call with its log lines.
	HeaderRequestID = "X-Request-Id"
	// maxRequestIDLength is in bytes.
	maxRequestIDLength = 128
	// latencySamples is the reservoir size of the latency histogram, in samples.
	latencySamples = 1028
)

// observer records a trace span, a request ID, a log line and metrics for each
// call.
type observer struct {
	tracer     trace.Tracer
	propagator propagation.TraceContext
	logger     hclog.Logger
	// replies counts calls by the first digit of their HTTP status code.
	replies [6]metrics.Counter
	active  metrics.Counter
	// latency is in microseconds.
	latency metrics.Histogram
}

func newObserver(cfg Config) *observer {
	o := &observer{tracer: cfg.Tracer.Tracer(tracerName), logger: cfg.Logger}
	for digit := range o.replies {
		o.replies[digit] = metrics.GetOrRegisterCounter(fmt.Sprintf("http.replies.%dxx", digit), cfg.Registry)
	}
	o.active = metrics.GetOrRegisterCounter("http.active", cfg.Registry)
	o.latency = metrics.GetOrRegisterHistogram("http.latency_us", cfg.Registry, metrics.NewUniformSample(latencySamples))
	return o
}

func (o *observer) middleware(c *gin.Context) {
	start := time.Now()
	ctx := o.propagator.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
	ctx, span := o.tracer.Start(ctx, c.Request.Method+" "+route(c), trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	requestID := requestID(c.Request, span.SpanContext())
	c.Request = c.Request.WithContext(ctx)
	c.Header(HeaderRequestID, requestID)
	o.propagator.Inject(ctx, propagation.HeaderCarrier(c.Writer.Header()))
	o.active.Inc(1)
	defer o.active.Dec(1)

	c.Next()

	code := c.Writer.Status()
	elapsed := time.Since(start)
	o.replies[min(code/100, len(o.replies)-1)].Inc(1)
	o.latency.Update(elapsed.Microseconds())
	annotateSpan(span, c, code)
	o.log(c, requestID, code, elapsed)
}

func annotateSpan(span trace.Span, c *gin.Context, code int) {
	span.SetAttributes(
		attribute.String("http.request.method", c.Request.Method),
		attribute.String("http.route", route(c)),
		attribute.Int("http.response.status_code", code),
	)
	if reason := c.GetString(reasonKey); reason != "" {
		span.SetAttributes(attribute.String("samphirerail.refusal", reason))
	}
	if code >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, http.StatusText(code))
	}
}

func (o *observer) log(c *gin.Context, requestID string, code int, elapsed time.Duration) {
	level := hclog.Debug
	if code == http.StatusInternalServerError {
		level = hclog.Error
	}
	if level < o.logger.GetLevel() {
		return
	}
	args := []any{"method", c.Request.Method, "route", route(c), "status", code, "took", elapsed, "request_id", requestID}
	if reason := c.GetString(reasonKey); reason != "" {
		args = append(args, "reason", reason)
	}
	if len(c.Errors) > 0 {
		args = append(args, "error", c.Errors.Last().Err)
	}
	o.logger.Log(level, "request", args...)
}

// route returns the path pattern of a call, which contains no IDs.
func route(c *gin.Context) string {
	if path := c.FullPath(); path != "" {
		return path
	}
	return "unmatched"
}

func requestID(r *http.Request, span trace.SpanContext) string {
	if id := r.Header.Get(HeaderRequestID); isPrintable(id) {
		return id
	}
	if span.HasTraceID() {
		return span.TraceID().String()
	}
	return uuid.NewString()
}

func isPrintable(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	return !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' })
}

// closeWhileDraining tells clients not to reuse their connection to an entry that
// is draining.
func (a *api) closeWhileDraining(c *gin.Context) {
	if a.Health.IsDraining() {
		c.Header("Connection", "close")
	}
	c.Next()
}

// limitCallTime cancels the context of a call after MaxCallTime.
func limitCallTime(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), MaxCallTime)
	defer cancel()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
}

// recover responds to a call whose handler panicked. The outcome is unknown,
// because the handler may have taken effect before the panic. If part of the
// response has been written, recover aborts the connection instead.
func (a *api) recover(c *gin.Context) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		_ = c.Error(fmt.Errorf("httpapi: handler panicked: %v; report it with this stack: %s", value, debug.Stack()))
		if c.Writer.Written() {
			panic(http.ErrAbortHandler)
		}
		refuse(c, &v1.Refusal{
			Reason: v1.ReasonInternal,
			NotRun: state.Unknown,
			Detail: "the entry failed while it handled the call",
			Remedy: "ask for the status of the job or object; tell the operators the request ID",
		})
	}()
	c.Next()
}
