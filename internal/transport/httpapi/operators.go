package httpapi

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"

	v1 "github.com/samphirerail/samphirerail/internal/protocol/v1"
	"github.com/samphirerail/samphirerail/internal/state"
)

func (a *api) operatorRoutes(group *gin.RouterGroup) {
	group.GET("/contracts", a.contracts)
	group.GET("/contracts/:team", a.contract)
	group.PUT("/contracts/:team", a.putContract)
	group.DELETE("/contracts/:team", a.withdrawContract)
	group.POST("/keys", a.grantKey)
	group.DELETE("/keys/:id", a.withdrawKey)
	group.PUT("/queues/:id", a.putQueue)
	group.DELETE("/queues/:id", a.closeQueue)
	group.PUT("/domains", a.putDomains)
	group.POST("/domains/:domain/evacuation", a.evacuate)
	group.DELETE("/domains/:domain/evacuation", a.restoreDomain)
	group.POST("/upstreams/:vm/drain", a.drain)
	group.DELETE("/upstreams/:vm/drain", a.undrain)
	group.GET("/status", a.status)
	group.GET("/versions/:version", a.version)
	group.GET("/jobs/:id/explain", a.explain)
}

// operatorOnly refuses calls whose key does not have the operator role.
func (a *api) operatorOnly(c *gin.Context) {
	identity, refusal := identify(a.Auth, c.Request)
	if refusal == nil && identity.Role != v1.RoleOperator {
		refusal = forbidden("the key is not an operator's", "use an operator's key")
	}
	if refusal != nil {
		refusal.NotRun = state.Unknown
		refuse(c, refusal)
		return
	}
	c.Next()
}

// replyResult responds with the result of an operation, or with a refusal if the
// operation failed.
func replyResult[T any](c *gin.Context, message T, err error) {
	if err != nil {
		refuseError(c, err)
		return
	}
	reply(c, http.StatusOK, message)
}

// decodeWrite decodes and validates the body of a write. The base version comes
// from the If-Match header if there is one. applyPath sets the object's name from
// the URL path before the message is validated. If decodeWrite returns false, it
// has sent a refusal.
func decodeWrite(c *gin.Context, message validator, write *v1.Write, applyPath func() error) bool {
	err := readMessage(c, MaxBodyBytes, message)
	if err == nil {
		err = applyIfMatch(c, write)
	}
	if err == nil {
		err = applyPath()
	}
	if err == nil {
		err = message.Validate()
	}
	if err != nil {
		refuse(c, bodyRefusal(err))
		return false
	}
	return true
}

// applyIfMatch sets the base version of a write from the If-Match header, which
// holds a quoted version, or * for any version. It fails with a *v1.FieldError if
// the body has a different base version.
func applyIfMatch(c *gin.Context, write *v1.Write) error {
	header := c.GetHeader("If-Match")
	if header == "" {
		return nil
	}
	base := v1.AnyVersion
	if header != "*" {
		parsed, err := strconv.ParseInt(strings.Trim(header, `"`), 10, 64)
		if err != nil {
			return &v1.FieldError{Field: "If-Match", Problem: "is not a version", Remedy: "send the version that you have read, in quotes, or *"}
		}
		base = parsed
	}
	if write.BaseVersion != nil && *write.BaseVersion != base {
		return &v1.FieldError{Field: "base_version", Problem: "differs from If-Match", Remedy: "send one of them"}
	}
	write.BaseVersion = &base
	return nil
}

// writeFromQuery reads the write of a call without a body from its query
// parameters and the If-Match header.
func writeFromQuery(c *gin.Context) (v1.Write, error) {
	write := v1.Write{WriteID: c.Query("write_id")}
	if text := c.Query("base_version"); text != "" {
		base, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return write, &v1.FieldError{Field: "base_version", Problem: "is not a version", Remedy: "send the version that you have read"}
		}
		write.BaseVersion = &base
	}
	if err := applyIfMatch(c, &write); err != nil {
		return write, err
	}
	return write, write.Validate()
}

// setFromPath sets the name of an object from the URL path. It fails with a
// *v1.FieldError if the body has a different name.
func setFromPath[T ~string](field string, name *T, path string) error {
	if *name != "" && string(*name) != path {
		return &v1.FieldError{Field: field, Problem: "differs from the name in the path", Remedy: "leave it out"}
	}
	*name = T(path)
	return nil
}

func (a *api) contracts(c *gin.Context) {
	list, err := a.Operations.Contracts(c.Request.Context())
	replyResult(c, list, err)
}

func (a *api) contract(c *gin.Context) {
	team := state.TeamID(c.Param("team"))
	if err := v1.CheckTeam(team); err != nil {
		refuseError(c, err)
		return
	}
	contract, err := a.Operations.Contract(c.Request.Context(), team)
	if err == nil {
		c.Header("ETag", strconv.Quote(strconv.FormatInt(contract.Version, 10)))
	}
	replyResult(c, contract, err)
}

func (a *api) putContract(c *gin.Context) {
	var message v1.PutContract
	applyPath := func() error { return setFromPath("team", &message.Team, c.Param("team")) }
	if !decodeWrite(c, &message, &message.Write, applyPath) {
		return
	}
	result, err := a.Operations.PutContract(c.Request.Context(), message.Contract, message.Write)
	replyResult(c, result, err)
}

func (a *api) withdrawContract(c *gin.Context) {
	team := state.TeamID(c.Param("team"))
	write, err := writeFromQuery(c)
	if err == nil {
		err = v1.CheckTeam(team)
	}
	if err == nil {
		err = write.RequireBase()
	}
	if err != nil {
		refuseError(c, err)
		return
	}
	result, err := a.Operations.WithdrawContract(c.Request.Context(), team, write)
	replyResult(c, result, err)
}

func (a *api) grantKey(c *gin.Context) {
	var message v1.GrantKey
	if !decodeWrite(c, &message, &message.Write, func() error { return nil }) {
		return
	}
	granted, err := a.Operations.GrantKey(c.Request.Context(), message)
	replyResult(c, granted, err)
}

func (a *api) withdrawKey(c *gin.Context) {
	id := c.Param("id")
	write, err := writeFromQuery(c)
	if err == nil {
		err = v1.CheckKeyID(id)
	}
	if err != nil {
		refuseError(c, err)
		return
	}
	result, err := a.Operations.WithdrawKey(c.Request.Context(), id, write)
	replyResult(c, result, err)
}

func (a *api) putQueue(c *gin.Context) {
	var message v1.PutQueue
	applyPath := func() error { return setFromPath("id", &message.ID, c.Param("id")) }
	if !decodeWrite(c, &message, &message.Write, applyPath) {
		return
	}
	result, err := a.Operations.PutQueue(c.Request.Context(), message.Queue, message.Write)
	replyResult(c, result, err)
}

func (a *api) closeQueue(c *gin.Context) {
	id := state.QueueID(c.Param("id"))
	write, err := writeFromQuery(c)
	if err == nil {
		err = v1.CheckQueueID(id)
	}
	if err == nil {
		err = write.RequireBase()
	}
	if err != nil {
		refuseError(c, err)
		return
	}
	result, err := a.Operations.CloseQueue(c.Request.Context(), id, write)
	replyResult(c, result, err)
}

func (a *api) putDomains(c *gin.Context) {
	var message v1.PutDomains
	if !decodeWrite(c, &message, &message.Write, func() error { return nil }) {
		return
	}
	result, err := a.Operations.PutDomains(c.Request.Context(), message.Domains, message.Write)
	replyResult(c, result, err)
}

// domainWrite reads the domain and the write of a call that changes one domain. If it
// returns false, it has sent a refusal.
func domainWrite(c *gin.Context) (state.DomainID, v1.Write, bool) {
	domain := state.DomainID(c.Param("domain"))
	write, err := writeFromQuery(c)
	if err == nil {
		err = v1.CheckDomainID(domain)
	}
	if err != nil {
		refuseError(c, err)
		return "", write, false
	}
	return domain, write, true
}

func (a *api) evacuate(c *gin.Context) {
	domain, write, ok := domainWrite(c)
	if !ok {
		return
	}
	result, err := a.Operations.Evacuate(c.Request.Context(), domain, write)
	replyResult(c, result, err)
}

func (a *api) restoreDomain(c *gin.Context) {
	domain, write, ok := domainWrite(c)
	if !ok {
		return
	}
	result, err := a.Operations.RestoreDomain(c.Request.Context(), domain, write)
	replyResult(c, result, err)
}

// upstreamWrite reads the VM ID and the write of a call that changes one
// upstream. If it returns false, it has sent a refusal.
func upstreamWrite(c *gin.Context) (state.VMID, v1.Write, bool) {
	vm := state.VMID(c.Param("vm"))
	write, err := writeFromQuery(c)
	if err == nil {
		err = v1.CheckVMID(vm)
	}
	if err != nil {
		refuseError(c, err)
		return "", write, false
	}
	return vm, write, true
}

func (a *api) drain(c *gin.Context) {
	vm, write, ok := upstreamWrite(c)
	if !ok {
		return
	}
	result, err := a.Operations.Drain(c.Request.Context(), vm, write)
	replyResult(c, result, err)
}

func (a *api) undrain(c *gin.Context) {
	vm, write, ok := upstreamWrite(c)
	if !ok {
		return
	}
	result, err := a.Operations.Undrain(c.Request.Context(), vm, write)
	replyResult(c, result, err)
}

func (a *api) status(c *gin.Context) {
	status, err := a.Operations.Status(c.Request.Context())
	replyResult(c, status, err)
}

func (a *api) version(c *gin.Context) {
	version, err := strconv.ParseInt(c.Param("version"), 10, 64)
	if err != nil || version < 0 {
		refuseError(c, &v1.FieldError{Field: "version", Problem: "is not a version", Remedy: "send the version that a write returned"})
		return
	}
	status, err := a.Operations.Version(c.Request.Context(), version)
	replyResult(c, status, err)
}

func (a *api) explain(c *gin.Context) {
	id := state.JobID(c.Param("id"))
	if err := v1.CheckJobID(id); err != nil {
		refuseError(c, err)
		return
	}
	explanation, err := a.Operations.Explain(c.Request.Context(), id)
	replyResult(c, explanation, err)
}
