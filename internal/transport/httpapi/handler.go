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

// The limits of a request.
const (
	// MaxBodyBytes is the largest body of a call.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes is the largest header of a call.
	MaxHeaderBytes = 16 << 10
	// MaxCallTime is the longest time that a call takes; it ends before
	// DefaultServerConfig's WriteTimeout, so that there is an answer.
	MaxCallTime = 45 * time.Second
)

// Config is what NewHandler needs.
type Config struct {
	Jobs       coordination.JobService
	Operations Operations
	Auth       Authenticator
	Health     *Health
	Logger     hclog.Logger
	Registry   metrics.Registry
	Tracer     trace.TracerProvider
}

// api serves the /v1 interface.
type api struct {
	Config
	limiter *submitLimiter
}

// NewHandler returns the handler of the /v1 interface.
func NewHandler(cfg Config) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	a := &api{Config: cfg, limiter: newSubmitLimiter()}
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.RedirectTrailingSlash = false
	engine.Use(newObserver(cfg).middleware, a.closeWhileDraining, bound, a.recover)
	engine.NoRoute(notFound)
	engine.NoMethod(wrongMethod)
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

func wrongMethod(c *gin.Context) {
	refuse(c, &v1.Refusal{
		Reason: v1.ReasonMethod,
		NotRun: state.NotRun,
		Detail: "the path does not take " + c.Request.Method,
		Remedy: "use a method that the Allow header lists",
	})
}
