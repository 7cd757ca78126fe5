package journal

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// compaction is a pass that rewrites the unfinished jobs at the tail of the
// stream, so that a new owner does not have to read older records.
type compaction struct {
	// base is the offset that becomes the base once the pass is complete, and
	// startedAt the time of that base.
	base      int64
	startedAt time.Time
	// jobs are the jobs still to be rewritten, in the order in which they were
	// added.
	jobs []state.JobID
	// bytes is the size of the batches written since the pass started.
	bytes int
}

// startCompaction starts a pass if none is in progress and the base is too old or
// too many bytes follow it. If there is no job to rewrite, it moves the base at
// once.
func (j *Journal) startCompaction(now time.Time) {
	w := &j.writer
	tooLarge := w.bytesSinceBase > max(j.cfg.CompactBytes, 2*j.openBytes)
	tooOld := now.Sub(w.baseTime) >= j.cfg.CompactAfter
	if w.compaction != nil || !tooLarge && !tooOld || now.Before(w.noCompactionUntil) {
		return
	}
	c := &compaction{base: w.next, startedAt: now}
	for id, o := range j.open {
		if o.written {
			c.jobs = append(c.jobs, id)
		}
	}
	slices.SortFunc(c.jobs, func(a, b state.JobID) int { return cmp.Compare(j.open[a].order, j.open[b].order) })
	if len(c.jobs) == 0 {
		w.base, w.baseTime, w.bytesSinceBase = c.base, c.startedAt, 0
		return
	}
	w.compaction = c
}

// nextCompactedSize returns the size of the next job of the pass in bytes, or 0 if
// there is none.
func (j *Journal) nextCompactedSize() int {
	if c := j.writer.compaction; c != nil && len(c.jobs) > 0 {
		if o, ok := j.open[c.jobs[0]]; ok {
			return o.job.size()
		}
	}
	return 0
}

// compactedEvents removes the next jobs from the pass and returns those that are
// still open, as far as they fit into the available bytes of a record.
func (j *Journal) compactedEvents(available int) []event {
	c := j.writer.compaction
	if c == nil {
		return nil
	}
	var events []event
	used := 0
	for len(c.jobs) > 0 {
		o, ok := j.open[c.jobs[0]]
		if !ok {
			c.jobs = c.jobs[1:]
			continue
		}
		size := o.job.size()
		if used > 0 && used+size > maxGroupBytes || used+size > available {
			break
		}
		used += size
		events = append(events, event{Accepted: &o.job})
		c.jobs = c.jobs[1:]
	}
	return events
}

// updateBase accounts for a stored batch of size bytes, and moves the base when
// the pass is complete.
func (j *Journal) updateBase(size int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := &j.writer
	w.bytesSinceBase += size
	if w.compaction == nil {
		return
	}
	w.compaction.bytes += size
	if len(w.compaction.jobs) == 0 {
		w.base, w.baseTime, w.bytesSinceBase = w.compaction.base, w.compaction.startedAt, w.compaction.bytes
		w.compaction = nil
	}
}
