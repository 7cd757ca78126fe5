package httpapi

import (
	"bytes"
	"net/http"
	"net/http/pprof"
	"strconv"

	"github.com/gin-gonic/gin"
	metrics "github.com/rcrowley/go-metrics"
)

// MonitorConfig holds the dependencies of NewMonitor.
type MonitorConfig struct {
	Registry metrics.Registry
	Health   *Health
	// Profiling enables /debug/pprof.
	Profiling bool
}

// NewMonitor returns the HTTP handler of the monitoring listener: /metrics (JSON,
// or plain text with ?format=text), /healthz and /readyz.
func NewMonitor(cfg MonitorConfig) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/healthz", func(c *gin.Context) { replyText(c, http.StatusOK, []byte("ok\n")) })
	engine.GET("/readyz", func(c *gin.Context) { replyReady(c, cfg.Health.Ready()) })
	engine.GET("/metrics", func(c *gin.Context) { replyMetrics(c, cfg.Registry) })
	if cfg.Profiling {
		registerProfiling(engine)
	}
	return engine
}

func registerProfiling(engine *gin.Engine) {
	engine.GET("/debug/pprof/cmdline", gin.WrapF(pprof.Cmdline))
	engine.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
	engine.GET("/debug/pprof/symbol", gin.WrapF(pprof.Symbol))
	engine.GET("/debug/pprof/trace", gin.WrapF(pprof.Trace))
	engine.GET("/debug/pprof/", gin.WrapF(pprof.Index))
	for _, name := range []string{"allocs", "block", "goroutine", "heap", "mutex", "threadcreate"} {
		engine.GET("/debug/pprof/"+name, gin.WrapH(pprof.Handler(name)))
	}
}

func replyReady(c *gin.Context, err error) {
	if err != nil {
		replyText(c, http.StatusServiceUnavailable, []byte(err.Error()+"\n"))
		return
	}
	replyText(c, http.StatusOK, []byte("ready\n"))
}

func replyMetrics(c *gin.Context, registry metrics.Registry) {
	var body bytes.Buffer
	if c.Query("format") == "text" {
		metrics.WriteOnce(registry, &body)
		replyText(c, http.StatusOK, body.Bytes())
		return
	}
	metrics.WriteJSONOnce(registry, &body)
	replyBytes(c, http.StatusOK, contentTypeJSON, body.Bytes())
}

func replyText(c *gin.Context, code int, body []byte) {
	replyBytes(c, code, "text/plain; charset=utf-8", body)
}

func replyBytes(c *gin.Context, code int, contentType string, body []byte) {
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Data(code, contentType, body)
}
