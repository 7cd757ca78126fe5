package httpapi

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirerail/samphirerail/internal/coordination"
	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

// Limits of an HTTP request.
const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes = 16 << 10
	// MaxCallTime is the maximum time for handling a call. It is shorter than
	// the WriteTimeout of DefaultServerConfig, so that a response can still be
	// sent after the timeout.
	MaxCallTime = 45 * time.Second
)

// Config holds the dependencies of NewHandler.
type Config struct {
	Jobs       coordination.JobService
	Operations Operations
	Auth       Authenticator
	Health     *Health
	Logger     hclog.Logger
	Registry   metrics.Registry
	Tracer     trace.TracerProvider
}

// api implements the handlers of the /v1 API.
type api struct {
	Config
	limiter *submitLimiter
}

// NewHandler returns the HTTP handler of the /v1 API.
func NewHandler(cfg Config) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	a := &api{Config: cfg, limiter: newSubmitLimiter()}
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.RedirectTrailingSlash = false
	engine.Use(newObserver(cfg).middleware, a.closeWhileDraining, limitCallTime, a.recover)
	engine.NoRoute(notFound)
	engine.NoMethod(methodNotAllowed)
	a.callerRoutes(engine.Group("/v1"))
	a.operatorRoutes(engine.Group("/v1", a.operatorOnly))
	return engine
}

func (a *api) callerRoutes(group *gin.RouterGroup) {
	group.POST("/jobs", a.submit)
	group.GET("/jobs/:id", a.get)
	group.DELETE("/jobs/:id", a.cancel)
	group.POST("/ids", a.issueIDs)
}

func notFound(c *gin.Context) {
	refuse(c, &v1.Refusal{
		Reason: state.ReasonNotFound,
		NotRun: state.NotRun,
		Detail: "there is no such path",
		Remedy: "use a documented path below /v1",
	})
}

func methodNotAllowed(c *gin.Context) {
	refuse(c, &v1.Refusal{
		Reason: v1.ReasonMethod,
		NotRun: state.NotRun,
		Detail: "the path does not take " + c.Request.Method,
		Remedy: "use a method that the Allow header lists",
	})
}
