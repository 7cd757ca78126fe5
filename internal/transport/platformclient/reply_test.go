package platformclient

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/faults"
	"github.com/samphirerail/samphirerail/standin/logservice"
)

func TestMalformedRepliesAreUnknownOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
	}{
		{name: "not JSON", status: http.StatusOK, body: "welcome"},
		{name: "truncated JSON", status: http.StatusOK, body: `{"running": 1`},
		{name: "two JSON values", status: http.StatusOK, body: `{} {}`},
		{name: "field of the wrong type", status: http.StatusOK, body: `{"running": "one"}`},
		{name: "empty body", status: http.StatusOK, body: ""},
		{name: "HTML error page", status: http.StatusBadGateway, body: "<html>"},
		{name: "unknown error code", status: http.StatusConflict, body: `{"code":"asleep"}`},
		{name: "fenced without an epoch", status: http.StatusConflict, body: `{"code":"fenced"}`},
		{name: "redirect", status: http.StatusFound, body: `{}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			client := NewWorker(strings.TrimPrefix(server.URL, "http://"), Options{})
			defer client.Close()
			_, err := client.Sync(t.Context(), devplatform.SyncRequest{})
			is.True(errors.Is(err, devplatform.ErrUnavailable))
			is.True(!errors.Is(err, devplatform.ErrNotSent))
		})
	}
}

func TestPartitionAffectsOnlyClientsInPrefix(t *testing.T) {
	is := is.New(t)
	service := logservice.New(logservice.Config{})
	address := serve(t, service).Address()
	is.NoErr(service.SetFaults(logservice.Faults{Switches: faults.Switches{
		Partitioned: []netip.Prefix{netip.MustParsePrefix("127.0.2.0/24")},
	}}))
	for _, tt := range []struct {
		local       string
		partitioned bool
	}{{"127.0.1.1", false}, {"127.0.2.1", true}} {
		client := NewLog([]string{address}, Options{LocalAddress: netip.MustParseAddr(tt.local), Timeout: dialTimeout})
		_, err := client.Read(t.Context(), devplatform.ReadRequest{Stream: "config"})
		client.Close()
		is.Equal(errors.Is(err, devplatform.ErrUnavailable), tt.partitioned)
	}
}
