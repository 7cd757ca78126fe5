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

func TestPredatesRecords(t *testing.T) {
	cfg := Config{Machine: machine.DefaultConfig(), Timing: DefaultTiming(), Logger: hclog.NewNullLogger()}
	now := time.Now()
	tests := []struct {
		name string
		// unfencedAge is how long ago some upstream was last unfenced.
		unfencedAge time.Duration
		idAge       time.Duration
		want        bool
	}{
		{name: "issued after all upstreams were fenced", unfencedAge: time.Minute, idAge: time.Second},
		{name: "issued while an upstream was unfenced", unfencedAge: time.Minute, idAge: 2 * time.Minute, want: true},
		{name: "issued within the clock margin after an upstream was unfenced", unfencedAge: time.Minute, idAge: time.Minute - time.Second, want: true},
		{name: "an upstream is unfenced now", unfencedAge: 0, idAge: 0, want: true},
		{name: "older than the retention of ended jobs", unfencedAge: time.Hour, idAge: cfg.Machine.RetentionNotIdempotent, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewShard(cfg)
			s.lastUnfenced = now.Add(-tt.unfencedAge)
			id, err := jobid.New("north", now.Add(-tt.idAge), bytes.NewReader(make([]byte, 16)))
			is.NoErr(err)
			is.Equal(s.predatesRecords(id), tt.want)
		})
	}
}

// TestUnreadableTaskStillCounts checks that a task whose labels cannot be decoded still
// accounts for the resources that it uses.
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
