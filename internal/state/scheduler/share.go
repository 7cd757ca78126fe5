package scheduler

import (
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// shareBurst is the size of a workspace's token bucket, in seconds of its weight.
const shareBurst = 2.0

// share is a token bucket that is refilled at the workspace's weight, in jobs per
// second.
type share struct {
	tokens float64
	at     state.Time
	// nextReturn is when the job that was refused last may return.
	nextReturn state.Time
}

// shareOf returns the share of a workspace, which is full at first.
func (s *Scheduler) shareOf(w *workload.Workspace, now state.Time) *share {
	sh := s.shares[w.Name]
	if sh == nil {
		sh = &share{tokens: w.Weight * shareBurst, at: now}
		s.shares[w.Name] = sh
	}
	return sh
}

// available returns the tokens at a time, which may be before the newest refill.
func (sh *share) available(w *workload.Workspace, at state.Time) float64 {
	if at <= sh.at {
		return sh.tokens
	}
	return min(w.Weight*shareBurst, sh.tokens+w.Weight*(at-sh.at).Seconds())
}

// takeShare takes a token for a job. It reports whether the job exceeds the rate that
// its workspace's weight allows; such jobs rank after all others.
func (s *Scheduler) takeShare(j *job) bool {
	w := s.config.Workspace(j.spec.Workspace)
	if w == nil || w.Weight <= 0 {
		return false
	}
	sh := s.shareOf(w, j.arrived)
	sh.tokens, sh.at = sh.available(w, j.arrived), max(sh.at, j.arrived)
	if sh.tokens < 1 {
		return true
	}
	sh.tokens--
	return false
}

// objective returns the time after its arrival within which a job should be complete.
func (s *Scheduler) objective(j *job) state.Time {
	chain := longestChain(j.spec)
	stretch, target := 1.0, int64(0)
	if q := s.config.Queue(j.spec.Queue); q != nil {
		stretch, target = max(1, q.Stretch), q.TargetMS
		if q.Advice != nil {
			chain += time.Duration(q.Advice.CallMS(objectiveAdvised)*float64(len(j.spec.Steps))) * time.Millisecond
		}
	}
	return time.Duration(float64(chain)*stretch) + time.Duration(target)*time.Millisecond
}

// objectiveAdvised is the number of upstreams per advice request that the objective
// allows for.
const objectiveAdvised = 30

// longestChain returns the declared run time of the longest chain of dependent steps.
func longestChain(spec *workload.Job) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i := range spec.Steps {
		begin := time.Duration(0)
		for _, before := range spec.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + spec.Steps[i].Estimate()
		longest = max(longest, ends[i])
	}
	return longest
}

// withinMaximum reports whether the workspace's quota allows running more.
func (s *Scheduler) withinMaximum(name workload.WorkspaceName, more state.Vector) bool {
	return s.withinShareOfMaximum(name, more, 1)
}

// withinShareOfMaximum reports whether a share of the workspace's quota, 0 to 1, allows
// running more.
func (s *Scheduler) withinShareOfMaximum(name workload.WorkspaceName, more state.Vector, share float64) bool {
	w := s.config.Workspace(name)
	if w == nil {
		return true
	}
	used, m := s.used[name].Add(s.possibleUse[name]).Add(more), w.Maximum
	within := func(used, maximum int64) bool { return maximum == 0 || float64(used) <= share*float64(maximum) }
	return within(used.CPUMilli, m.CPUMilli) && within(used.MemoryMB, m.MemoryMB) && within(used.Accelerators, m.Accelerators)
}
