package measure

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/coordination/configlog"
	"github.com/samphirerail/samphirerail/internal/state/config"
	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/logservice"
	"github.com/samphirerail/samphirerail/standin/vmlist"
)

func TestUsageBetween(t *testing.T) {
	is := is.New(t)
	first := Sample{At: time.Unix(10, 0), CPU: time.Second, Traffic: map[string]int64{"net.a": 100}}
	last := Sample{At: time.Unix(20, 0), CPU: 2 * time.Second, ResidentKB: 5, Traffic: map[string]int64{"net.a": 200, "net.b": 50}}
	usage := UsageBetween(first, last)
	is.Equal(usage.Core, 10.0)
	is.Equal(usage.ResidentKB, int64(5))
	is.Equal(usage.BytesPerSecond, map[string]float64{"net.a": 10, "net.b": 5})
	is.Equal(usage.Total, 15.0)
}

func TestReadSampleOwnProcess(t *testing.T) {
	is := is.New(t)
	sample, err := ReadSample(t.Context(), os.Getpid(), "")
	is.NoErr(err)
	is.True(sample.ResidentKB > 0 && sample.AnonymousKB > 0 && sample.Threads > 0)
	_, err = ReadSample(t.Context(), 0, "")
	is.True(err != nil)
}

func TestRunCountsCalls(t *testing.T) {
	is := is.New(t)
	errCall := errors.New("lost")
	latency := Run(t.Context(), 3, time.Millisecond, func(_ context.Context, n int64) error {
		if n == 0 {
			return errCall
		}
		return nil
	})
	is.True(latency.Calls >= 3)
	is.Equal(latency.Failed, int64(1))
	is.Equal(latency.LastError, errCall)
}

func TestFill(t *testing.T) {
	is := is.New(t)
	log, vms := logservice.New(logservice.Config{}), vmlist.New()
	server, err := standin.Listen("127.0.0.1:0", standin.NewPlatform(log, vms))
	is.NoErr(err)
	t.Cleanup(server.Kill)
	is.NoErr(Fill(t.Context(), server.Address(), Size{Domains: 3, Upstreams: joinBatchSize + 1, Teams: 2, List: true}))
	reply, err := log.Read(t.Context(), devplatform.ReadRequest{Stream: configlog.DefaultStream})
	is.NoErr(err)
	fold := config.NewFold()
	for _, stored := range reply.Records {
		records, err := config.Decode(stored.Data)
		is.NoErr(err)
		for _, record := range records {
			is.NoErr(fold.Apply(stored.Offset, record).Err())
		}
	}
	is.Equal(len(fold.View().Upstreams("d00")), 0)
	is.Equal(len(fold.View().Upstreams("d02")), joinBatchSize+1)
	is.Equal(len(fold.View().Contracts()), 2)
	list, err := vms.List(t.Context(), devplatform.ListRequest{Domain: "d01"})
	is.NoErr(err)
	is.Equal(len(list.VMs), joinBatchSize+1)
}
