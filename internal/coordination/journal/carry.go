package journal

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
)

// carry is a pass that writes the unfinished jobs again, so that older records
// need not be read any more.
type carry struct {
	// from is the base once the pass is over; begun is its time.
	from  int64
	begun time.Time
	// jobs are still to be written.
	jobs []state.JobID
	// bytes is what was written since the pass began.
	bytes int
}

// beginCarry starts a pass when the base is old or far back.
func (j *Journal) beginCarry(now time.Time) {
	w := &j.writer
	far := w.sinceBase > max(j.cfg.CarryBytes, 2*j.openBytes)
	old := now.Sub(w.baseAt) >= j.cfg.CarryAfter
	if w.carry != nil || !far && !old {
		return
	}
	c := &carry{from: w.next, begun: now}
	for id, o := range j.open {
		if o.written {
			c.jobs = append(c.jobs, id)
		}
	}
	slices.SortFunc(c.jobs, func(a, b state.JobID) int { return cmp.Compare(j.open[a].order, j.open[b].order) })
	if len(c.jobs) == 0 {
		w.base, w.baseAt, w.sinceBase = c.from, c.begun, 0
		return
	}
	w.carry = c
}

// nextCarried returns the size of the next job of the pass; 0 when there is none.
func (j *Journal) nextCarried() int {
	if c := j.writer.carry; c != nil && len(c.jobs) > 0 {
		if o, ok := j.open[c.jobs[0]]; ok {
			return o.job.size()
		}
	}
	return 0
}

// carried returns the next jobs of the pass that are still open, within the room
// of a record.
func (j *Journal) carried(room int) []entry {
	c := j.writer.carry
	if c == nil {
		return nil
	}
	var entries []entry
	used := 0
	for len(c.jobs) > 0 {
		o, ok := j.open[c.jobs[0]]
		if !ok {
			c.jobs = c.jobs[1:]
			continue
		}
		size := o.job.size()
		if used > 0 && used+size > maxGroupBytes || used+size > room {
			break
		}
		used += size
		entries = append(entries, entry{Accepted: &o.job})
		c.jobs = c.jobs[1:]
	}
	return entries
}

// afterStore takes in that a batch is stored. The end of a pass moves the base.
func (j *Journal) afterStore(size int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := &j.writer
	w.sinceBase += size
	if w.carry == nil {
		return
	}
	w.carry.bytes += size
	if len(w.carry.jobs) == 0 {
		w.base, w.baseAt, w.sinceBase = w.carry.from, w.carry.begun, w.carry.bytes
		w.carry = nil
	}
}
