package platformclient

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// VMList is a client of the VM list. It is safe for concurrent use.
type VMList struct{ client *httpClient }

var _ devplatform.VMList = (*VMList)(nil)

// NewVMList returns a client of the VM list behind the endpoints (IP:port).
func NewVMList(endpoints []string, options Options) *VMList {
	return &VMList{client: newHTTPClient(endpoints, options)}
}

// Close closes the idle connections.
func (v *VMList) Close() { v.client.close() }

// List implements devplatform.VMList.
func (v *VMList) List(ctx context.Context, req devplatform.ListRequest) (devplatform.VMListReply, error) {
	query := url.Values{}
	if req.SinceVersion != 0 {
		query.Set(devplatform.QuerySince, strconv.FormatInt(req.SinceVersion, 10))
	}
	if req.Domain != "" {
		query.Set(devplatform.QueryDomain, req.Domain)
	}
	path := devplatform.PathVMs
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var reply devplatform.VMListReply
	_, err := v.client.do(ctx, call{
		name: "vms.list", method: http.MethodGet, path: path,
		timeout: v.client.options.Timeout,
	}, &reply)
	return reply, err
}
