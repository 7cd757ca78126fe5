package scheduler

import (
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/ledger"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// StartList names the upstreams on which former owners may have started tasks that the log
// does not show.
type StartList struct {
	ledger.StartList
	// Unreadable is set if the recorded list could not be read. Any upstream may have such
	// runs then.
	Unreadable bool
}

// startList holds the upstreams of a StartList that are not settled: this owner has neither
// polled them nor do their runs certainly not exist any more.
type startList struct {
	unreadable    bool
	configVersion int64
	services      map[workload.ServiceName]map[workload.UpstreamID]struct{}
}

func newStartList(l StartList) startList {
	out := startList{unreadable: l.Unreadable, configVersion: l.ConfigVersion, services: map[workload.ServiceName]map[workload.UpstreamID]struct{}{}}
	for _, u := range l.Upstreams {
		if out.services[u.Service] == nil {
			out.services[u.Service] = map[workload.UpstreamID]struct{}{}
		}
		out.services[u.Service][u.ID] = struct{}{}
	}
	return out
}

func (l *startList) empty() bool { return !l.unreadable && len(l.services) == 0 }

// holds reports whether an upstream is listed and not settled.
func (l *startList) holds(id workload.UpstreamID) bool {
	for _, ids := range l.services {
		if _, ok := ids[id]; ok {
			return true
		}
	}
	return false
}

// settle removes an upstream.
func (l *startList) settle(id workload.UpstreamID) {
	for service, ids := range l.services {
		delete(ids, id)
		if len(ids) == 0 {
			delete(l.services, service)
		}
	}
}

// SettleUpstream notes that the runs which former owners started on an upstream do not
// exist any more, because no process listens at its address.
func (s *Scheduler) SettleUpstream(id workload.UpstreamID) {
	s.startList.settle(id)
	if u := s.upstreams[id]; u != nil && !u.listed && len(u.runs) == 0 && len(s.unconfirmed[id]) == 0 {
		s.dropUpstream(u)
	}
}

// expireStartList settles all upstreams, once no run of a previous owner can exist.
func (s *Scheduler) expireStartList() {
	if s.startList.empty() {
		return
	}
	services := s.startList.services
	s.startList, s.possibleUse = newStartList(StartList{}), nil
	for _, ids := range services {
		for id := range ids {
			s.SettleUpstream(id)
		}
	}
}

// UnsettledStarts returns what remains of Options.StartList: the upstreams that this owner
// has neither polled nor knows to have lost their runs.
func (s *Scheduler) UnsettledStarts() StartList {
	out := StartList{Unreadable: s.startList.unreadable}
	out.ConfigVersion = s.startList.configVersion
	for service, ids := range s.startList.services {
		for id := range ids {
			out.Upstreams = append(out.Upstreams, ledger.ListedUpstream{Service: service, ID: id})
		}
	}
	return out
}

// InheritJobs marks the jobs that are known now as recorded before this owner's claim.
// Former owners may have started tasks of these jobs only: the log refuses their appends
// after the claim, and they stop acting when they read it.
func (s *Scheduler) InheritJobs() {
	for _, j := range s.jobs {
		j.inherited = true
	}
}

// heldBack reports whether a task of the step may be running on an upstream of the start
// list that is not settled. It is not started elsewhere meanwhile.
func (s *Scheduler) heldBack(st *step) bool {
	if !st.job.inherited || s.startList.empty() {
		return false
	}
	if s.startList.unreadable {
		return true
	}
	q := s.config.Queue(st.job.spec.Queue)
	for service, ids := range s.startList.services {
		// Another version of the configuration may have assigned the queue to another service.
		if q != nil && q.Service != service && s.config.Version == s.startList.configVersion {
			continue
		}
		for id := range ids {
			// The upstream may have been larger when the task was started there.
			if u := s.upstreams[id]; u == nil || st.allows(u) {
				return true
			}
		}
	}
	return false
}

// countPlaceable returns the number of tasks that have no run and may get one. unconfirmed
// counts those that may have a run on an upstream that has not been polled yet.
func (s *Scheduler) countPlaceable(st *step) (waiting, unconfirmed int) {
	if !s.heldBack(st) {
		waiting, unconfirmed = st.countWaiting()
		return st.startable(waiting), unconfirmed
	}
	return 0, st.countOpen() // also the missing members of an incomplete gang
}

// countOpen returns the number of tasks that are not complete and have no known run.
func (st *step) countOpen() (n int) {
	n = st.untouched()
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 {
			n++
		}
	}
	return n
}

// countPossibleUse computes, for each workspace with a quota, what its held back tasks may
// use of the capacity of the upstreams that are not settled. Without it the workspace could
// exceed its quota while the runs on these upstreams are not known.
func (s *Scheduler) countPossibleUse() {
	s.possibleUse = nil
	if s.startList.empty() {
		return
	}
	limit := s.unsettledCapacity()
	s.possibleUse = map[workload.WorkspaceName]state.Vector{}
	for _, j := range s.jobs {
		w := s.config.Workspace(j.spec.Workspace)
		if !j.inherited || j.phase.Final() || w == nil || w.Maximum.IsZero() {
			continue
		}
		for st := range j.all() {
			if st.left == 0 || !s.heldBack(st) {
				continue
			}
			open := st.untouched()
			for _, t := range st.tasks {
				if !t.done && len(t.runs) == 0 && t.unconfirmedOn == "" { // others count in used
					open++
				}
			}
			s.possibleUse[w.Name] = s.possibleUse[w.Name].Add(st.spec.Each.Scale(int64(open)))
		}
	}
	for name, use := range s.possibleUse {
		s.possibleUse[name] = use.Min(limit)
	}
}

// unsettledCapacity returns the capacity of the upstreams that are not settled, each as large as
// the largest of its service: its own may have shrunk since tasks were started there.
func (s *Scheduler) unsettledCapacity() (total state.Vector) {
	if s.startList.unreadable {
		for _, u := range s.upstreams {
			total = total.Add(withSlots(u.Capacity))
		}
		return total
	}
	for service, ids := range s.startList.services {
		var largest state.Vector
		for _, u := range s.byService[service] {
			largest = largest.Max(u.Capacity)
		}
		for id := range ids {
			if u := s.upstreams[id]; u != nil {
				largest = largest.Max(u.Capacity)
			}
			total = total.Add(withSlots(largest))
		}
	}
	return total
}

// MayStartUnrecorded reports whether a start that the log does not hold yet is still wanted,
// and its upstream usable and of the service that the configuration assigns to the queue.
// gang is set if the start belongs to a gang, whose members must be started together.
func (s *Scheduler) MayStartUnrecorded(id Run) (ok, gang bool) {
	r := s.find(id)
	if r == nil || r.phase != planned {
		return false, false
	}
	q := s.config.Queue(r.task.step.job.spec.Queue)
	service, usable := s.StartService(id.Upstream)
	// What is held against a task must not be lost with this owner.
	return usable && q != nil && q.Service == service && r.task.crashes.Empty(), r.task.step.spec.Gang
}

// StartService returns the service of an upstream, and whether tasks may be started on it:
// it is registered, answered its newest poll and does not drain.
func (s *Scheduler) StartService(id workload.UpstreamID) (workload.ServiceName, bool) {
	u := s.upstreams[id]
	if u == nil {
		return "", false
	}
	return u.Service, u.listed && u.polled && !u.unreachable && !u.Draining
}

// ApplyEnds applies ends that an upstream reported earlier, when their job was not known.
func (s *Scheduler) ApplyEnds(now state.Time, id workload.UpstreamID, ended []EndedRun) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	for i := range ended {
		s.applyEnded(now, u, &ended[i])
	}
}

// ConfigVersion returns the version of the configuration that plans follow.
func (s *Scheduler) ConfigVersion() int64 { return s.config.Version }
