package platformclient

import (
	"strconv"
	"testing"
	"time"

	"github.com/samphirerail/samphirerail/standin"
	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/worker"
)

// BenchmarkStart measures a start that waits for the end of a task without run time,
// over loopback, with client and stand-in in one process.
func BenchmarkStart(b *testing.B) {
	w := worker.New(worker.Config{VMID: "vm-1", RecordTime: time.Second, HistoryLimit: 1000})
	defer w.Close()
	server, err := standin.Listen("127.0.0.1:0", w)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Kill()
	client := NewWorker(server.Address(), Options{MaxConnections: 8})
	defer client.Close()
	epoch := devplatform.Epoch{Number: 1, Owner: "a/1"}
	fence, err := client.Fence(b.Context(), devplatform.FenceRequest{Epoch: epoch})
	if err != nil {
		b.Fatal(err)
	}
	n := 0
	for b.Loop() {
		n++
		_, err := client.Start(b.Context(), devplatform.StartRequest{
			Epoch: epoch, Incarnation: fence.Incarnation, LeaseUntil: fence.Clock + devplatform.WorkerClock(time.Hour), Wait: true,
			Spec: devplatform.TaskSpec{TaskID: strconv.Itoa(n), Payload: []byte("cloth")},
		})
		if err != nil {
			b.Fatal(err)
		}
	}
}
