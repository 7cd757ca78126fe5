package scheduler

import (
	"strings"
	"time"

	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// registeredAfter is how long after the takeover all upstreams that exist are expected to
// be registered. Registrations are renewed every few seconds.
const registeredAfter = 15 * time.Second

// upstreamKind is what upstreams have in common that the same tasks fit on.
type upstreamKind struct {
	service  workload.ServiceName
	capacity state.Vector
	labels   string
}

// registered notes the kind of an upstream. It stays known after the upstream has left,
// because another one may replace it soon. A kind that is smaller than a known one adds nothing:
// the capacity of an upstream may shrink for a while.
func (a *admission) registered(reg *workload.Upstream) {
	kind := upstreamKind{reg.Service, reg.Capacity, "\x00" + strings.Join(reg.Labels, "\x00") + "\x00"}
	for known := range a.kinds {
		if known.service != kind.service || known.labels != kind.labels {
			continue
		}
		if kind.capacity.Fits(known.capacity) {
			return
		}
		if known.capacity.Fits(kind.capacity) {
			delete(a.kinds, known)
		}
	}
	a.kinds[kind] = struct{}{}
}

// neverRuns reports whether a job can never run: a task is larger than any upstream with
// its label, or than the workspace's quota.
func (s *Scheduler) neverRuns(now state.Time, spec *workload.Job, q *workload.Queue) bool {
	for i := range spec.Steps {
		if !s.withinQuota(spec.Workspace, &spec.Steps[i]) {
			return true
		}
	}
	if now < registeredAfter || s.standby(q.Service) {
		return false
	}
	any := false
	for i := range spec.Steps {
		runs := false
		for kind := range s.admission.kinds {
			if kind.service == q.Service {
				any = true
				runs = runs || kind.runs(&spec.Steps[i])
			}
		}
		if any && !runs {
			return true
		}
	}
	return false
}

func (k *upstreamKind) runs(st *workload.Step) bool {
	return st.Demand().Fits(withSlots(k.capacity)) && (st.Constraint == "" || strings.Contains(k.labels, "\x00"+st.Constraint+"\x00"))
}

// withinQuota reports whether a workspace without runs may run a task of a step, or all
// tasks of a gang.
func (s *Scheduler) withinQuota(name workload.WorkspaceName, st *workload.Step) bool {
	w := s.config.Workspace(name)
	if w == nil {
		return true
	}
	need, m := st.Each, w.Maximum
	if st.Gang {
		need = need.Scale(int64(st.Count))
	}
	within := func(need, maximum int64) bool { return maximum == 0 || need <= maximum }
	return within(need.CPUMilli, m.CPUMilli) && within(need.MemoryMB, m.MemoryMB) && within(need.Accelerators, m.Accelerators)
}

// standby reports whether the upstreams of a service are switched off until needed.
func (s *Scheduler) standby(service workload.ServiceName) bool {
	for i := range s.config.Services {
		if s.config.Services[i].Name == service {
			return s.config.Services[i].Standby
		}
	}
	return false
}
