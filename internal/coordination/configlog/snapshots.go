package configlog

import (
	"math/rand/v2"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/config"
)

// snapshotPlan decides when this entry writes the next snapshot.
type snapshotPlan struct {
	// last is when the newest complete snapshot was written, or the first record
	// if there is no snapshot; zero if there is neither.
	last time.Time
	// records counts the records folded since the last snapshot.
	records int
	// due is when this entry writes the next snapshot; zero if none is planned.
	due time.Time
	// writingSet is the ID of the snapshot that this entry is writing; empty if
	// there is none.
	writingSet string
	// assembler holds the parts of the snapshots that are not complete yet.
	assembler config.Assembler
}

// toLocalTime converts a record's time, in Unix milliseconds, to the local clock. A
// time in the future becomes the current time.
func toLocalTime(at int64) time.Time {
	now := time.Now()
	age := now.Sub(time.UnixMilli(at))
	return now.Add(-max(age, 0))
}

func (p *snapshotPlan) noteRecord(at int64) {
	p.records++
	if p.last.IsZero() {
		p.last = toLocalTime(at)
	}
}

// notePart counts a snapshot as written once all its parts are folded. If a part is
// missing, another snapshot stays due.
func (p *snapshotPlan) notePart(part config.Snapshot, at int64) {
	if _, _, complete := p.assembler.Add(part); !complete {
		if part.Set == p.writingSet && part.Part == part.Parts-1 {
			p.writingSet = ""
		}
		return
	}
	p.assembler = config.Assembler{}
	p.last = toLocalTime(at)
	p.records = 0
	p.due = time.Time{}
	p.writingSet = ""
}

// noteAdopted stops tracking the snapshot being written: the adopted fold may skip its
// records, so that its last part would never be seen.
func (p *snapshotPlan) noteAdopted() {
	p.writingSet = ""
	if p.last.IsZero() {
		p.last = time.Now()
	}
}

func (p *snapshotPlan) noteFailure(opts Options) {
	p.writingSet = ""
	p.due = time.Now().Add(randomDelay(opts.SnapshotDelay))
}

// shouldWrite reports whether to write a snapshot now. A stale snapshot is replaced
// after a random delay, in which another entry may replace it first.
func (p *snapshotPlan) shouldWrite(opts Options) bool {
	now := time.Now()
	stale := !p.last.IsZero() && now.Sub(p.last) >= opts.SnapshotAge || p.records >= opts.SnapshotRecords
	if !stale || p.writingSet != "" {
		return false
	}
	if p.due.IsZero() {
		p.due = now.Add(randomDelay(opts.SnapshotDelay))
	}
	return !now.Before(p.due)
}

func randomDelay(limit time.Duration) time.Duration {
	return rand.N(limit)
}

// snapshot queues the parts of a snapshot if one is due.
func (c *control) snapshot() {
	if !c.f.IsReady() {
		return
	}
	if !c.snapshots.shouldWrite(c.f.opts) {
		if due := c.snapshots.due; !due.IsZero() && c.snapshots.writingSet == "" {
			c.snapshotTimer.Reset(time.Until(due))
		}
		return
	}
	view := c.fold.View()
	data, err := c.f.encodeSnapshot(view)
	if err != nil {
		c.f.log.Error("configuration snapshot could not be encoded", "version", view.Version(), "error", singleLine(err))
		c.snapshots.noteFailure(c.f.opts)
		return
	}
	set := NewWriteID()
	c.snapshots.writingSet = set
	parts := config.SplitSnapshot(set, view.Version(), data)
	for _, part := range parts {
		c.enqueueOwn(part)
	}
	c.f.meters.snapshots.Inc(1)
	c.f.log.Info("configuration snapshot queued", "version", view.Version(), "parts", len(parts), "bytes", len(data))
}
