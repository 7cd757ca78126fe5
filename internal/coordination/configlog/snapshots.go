package configlog

import (
	"math/rand/v2"
	"time"

	"github.com/samphirerail/samphirerail/internal/state/config"
)

// snapshotPlan decides when this entry writes a snapshot.
type snapshotPlan struct {
	// last is when the newest whole snapshot was written, or the first record
	// when there is none; zero when there is neither.
	last time.Time
	// records counts those folded since.
	records int
	// due is when this entry writes the next one; zero when none is planned.
	due time.Time
	// writing is the set that this entry is writing.
	writing string
}

// written turns a record's time into one on the local clock.
func written(at int64) time.Time {
	now := time.Now()
	age := now.Sub(time.UnixMilli(at))
	return now.Add(-max(age, 0))
}

func (p *snapshotPlan) noteRecord(at int64) {
	p.records++
	if p.last.IsZero() {
		p.last = written(at)
	}
}

// notePart counts a snapshot as written once its last part is seen.
func (p *snapshotPlan) notePart(part config.Snapshot, at int64) {
	if part.Part < part.Parts-1 {
		return
	}
	p.last = written(at)
	p.records = 0
	p.due = time.Time{}
	p.writing = ""
}

// noteAdopted forgets a snapshot on its way, as its records may be skipped.
func (p *snapshotPlan) noteAdopted() {
	p.writing = ""
	if p.last.IsZero() {
		p.last = time.Now()
	}
}

func (p *snapshotPlan) noteFailure(opts Options) {
	p.writing = ""
	p.due = time.Now().Add(randomDelay(opts.SnapshotDelay))
}

// ready reports whether to write a snapshot now. A stale one is replaced after
// a random delay, in which another entry may be first.
func (p *snapshotPlan) ready(opts Options) bool {
	now := time.Now()
	stale := !p.last.IsZero() && now.Sub(p.last) >= opts.SnapshotAge || p.records >= opts.SnapshotRecords
	if !stale || p.writing != "" {
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

// snapshot writes one when it is due.
func (c *control) snapshot() {
	if !c.f.IsReady() || !c.snapshots.ready(c.f.opts) {
		return
	}
	view := c.fold.View()
	data, err := c.f.encodeSnapshot(view)
	if err != nil {
		c.f.log.Error("configuration snapshot failed", "version", view.Version(), "error", oneLine(err))
		c.snapshots.noteFailure(c.f.opts)
		return
	}
	set := NewWriteID()
	c.snapshots.writing = set
	parts := config.SplitSnapshot(set, view.Version(), data)
	for _, part := range parts {
		c.enqueueOwn(part)
	}
	c.f.meters.snapshots.Inc(1)
	c.f.log.Info("configuration snapshot queued", "version", view.Version(), "parts", len(parts), "bytes", len(data))
}
