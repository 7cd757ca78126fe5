package journal

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// fold is the state that results from the records read so far.
type fold struct {
	epoch    devplatform.Epoch
	sequence uint64
	base     int64
	baseTime time.Time
	open     map[state.JobID]*foldedJob
	accepted int
}

type foldedJob struct {
	job   Job
	order int
}

func newFold() *fold { return &fold{open: map[state.JobID]*foldedJob{}} }

// apply adds a record to the fold. Duplicates, and records of an epoch older than
// the newest one read, have no effect.
func (f *fold) apply(data []byte) error {
	b, err := decode(data)
	if err != nil {
		return err
	}
	order := b.Epoch.Compare(f.epoch)
	if order < 0 || order == 0 && b.Sequence <= f.sequence {
		return nil
	}
	f.epoch, f.sequence = b.Epoch, b.Sequence
	f.base, f.baseTime = b.Base, time.UnixMilli(b.BaseUnixMS)
	for i := range b.Events {
		f.applyEvent(&b.Events[i])
	}
	return nil
}

func (f *fold) applyEvent(e *event) {
	switch {
	case e.Ended != nil:
		delete(f.open, e.Ended.ID)
	case e.Accepted != nil && f.open[e.Accepted.ID] == nil:
		f.accepted++
		f.open[e.Accepted.ID] = &foldedJob{job: *e.Accepted, order: f.accepted}
	}
}

// unfinished returns the jobs that have not ended, in the order in which they
// were accepted.
func (f *fold) unfinished() []Job {
	list := make([]*foldedJob, 0, len(f.open))
	for _, j := range f.open {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *foldedJob) int {
		return cmp.Or(cmp.Compare(a.job.AcceptedUnixMS, b.job.AcceptedUnixMS), cmp.Compare(a.order, b.order))
	})
	jobs := make([]Job, len(list))
	for i, j := range list {
		jobs[i] = j.job
	}
	return jobs
}
