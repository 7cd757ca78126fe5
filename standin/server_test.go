package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/admin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/vmlist"
	"github.com/samphirerail/samphirerail/standin/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestServerStopsHeldCalls checks that Stop ends a long poll early with a normal reply,
// and that Stop may be called again.
func TestServerStopsHeldCalls(t *testing.T) {
	is := is.New(t)
	log := logservice.New(logservice.Config{})
	server, err := standin.Listen("127.0.0.1:0", standin.NewPlatform(log, vmlist.New()))
	is.NoErr(err)
	status := make(chan int, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		body, _ := json.Marshal(devplatform.ReadRequest{Stream: "config", Wait: time.Hour})
		res, err := client.Post("http://"+server.Address()+devplatform.PathRead, "application/json", bytes.NewReader(body))
		if err != nil {
			status <- 0
			return
		}
		defer res.Body.Close()
		status <- res.StatusCode
	}()
	deadline := time.Now().Add(30 * time.Second)
	for log.Stats().Reads == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	is.NoErr(server.Stop(ctx))
	is.Equal(<-status, http.StatusOK)
	is.NoErr(server.Stop(ctx))
}

func TestListenRefusesAnAddressInUse(t *testing.T) {
	is := is.New(t)
	w := worker.New(worker.Config{VMID: "vm-1"})
	defer w.Close()
	server, err := standin.Listen("127.0.0.1:0", w)
	is.NoErr(err)
	defer server.Kill()
	_, err = standin.Listen(server.Address(), w)
	is.True(err != nil)
}

func TestWorkerSwitchesAndHistoryOverHTTP(t *testing.T) {
	is := is.New(t)
	w := worker.New(worker.Config{VMID: "vm-1", Domain: "brest-1"})
	defer w.Close()
	server, err := standin.Listen("127.0.0.1:0", w)
	is.NoErr(err)
	defer server.Kill()
	client := admin.New(server.Address())
	before := w.Row(server.Address())
	is.NoErr(client.SetFaults(t.Context(), worker.Faults{Restart: true, Leaving: true, RunFactor: 2}))
	var got worker.Faults
	is.NoErr(client.Faults(t.Context(), &got))
	is.Equal(got, worker.Faults{Leaving: true, RunFactor: 2})
	row := w.Row(server.Address())
	is.Equal(row.State, devplatform.VMLeaving)
	is.True(row.Incarnation != before.Incarnation)
	is.True(client.SetFaults(t.Context(), worker.Faults{RunFactor: -1}) != nil)
	history, err := client.History(t.Context())
	is.NoErr(err)
	is.Equal(history.Domain, "brest-1")
	is.Equal(history.Incarnation, row.Incarnation)
	is.Equal(history.LargestConnections, 0)
}
