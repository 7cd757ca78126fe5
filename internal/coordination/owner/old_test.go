package owner

import (
	"bytes"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/samphirerail/samphirerail/internal/state/jobid"
	"github.com/samphirerail/samphirerail/internal/state/machine"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

func TestOldIDs(t *testing.T) {
	cfg := Config{Machine: machine.DefaultConfig(), Timing: DefaultTiming(), Logger: hclog.NewNullLogger()}
	now := time.Now()
	tests := []struct {
		name string
		// missing is how long ago a worker was last missing.
		missing time.Duration
		issued  time.Duration
		old     bool
	}{
		{name: "issued after all workers were heard", missing: time.Minute, issued: time.Second},
		{name: "issued while a worker was missing", missing: time.Minute, issued: 2 * time.Minute, old: true},
		{name: "issued within the clock margin", missing: time.Minute, issued: time.Minute - time.Second, old: true},
		{name: "a worker is missing now", missing: 0, issued: 0, old: true},
		{name: "older than the memory of ended jobs", missing: time.Hour, issued: cfg.Machine.RetentionNotIdempotent, old: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewShard(cfg)
			s.unaccounted = now.Add(-tt.missing)
			id, err := jobid.New("north", now.Add(-tt.issued), bytes.NewReader(make([]byte, 16)))
			is.NoErr(err)
			is.Equal(s.old(id), tt.old)
		})
	}
}

// TestUnreadableTaskStillCounts adopts a task whose labels are of another
// format: what it takes must not be forgotten.
func TestUnreadableTaskStillCounts(t *testing.T) {
	is := is.New(t)
	status := devplatform.TaskStatus{State: devplatform.TaskRunning, Spec: devplatform.TaskSpec{
		TaskID: "j/0/1", JobID: "j", Team: "band", Labels: []byte("?"),
		Resources: devplatform.Resources{CPUMilli: 500, MemoryMB: 64},
	}}
	task, err := adopt(status, 1, time.Now())
	is.True(err != nil)
	is.Equal(string(task.Job.Team), "band")
	is.Equal(task.Job.Each.CPUMilli, int64(500))
	is.Equal(task.Job.Each.Slots, int64(1))
}
