package dispatch

import (
	"github.com/samphirerail/samphirerail/internal/state"
	"github.com/samphirerail/samphirerail/internal/state/workload"
)

// noteAnswer records that an upstream answered a command or a poll.
func (o *owner) noteAnswer(id workload.UpstreamID) {
	reg, known := o.sched.Registration(id)
	o.noteLoss(true)
	if known && o.domains.Answered(o.now(), reg.Domain) {
		o.logger.Info("failure domain answers again", "domain", reg.Domain, "upstream", id)
	}
}

// noteLoss records whether a call to an upstream was answered.
func (o *owner) noteLoss(answered bool) {
	now := o.now()
	o.losses.Note(now, answered)
	if lossy := o.losses.Lossy(now); lossy != o.lossy.Load() {
		o.lossy.Store(lossy)
		o.logger.Info("calls to upstreams are lost; polls are kept short meanwhile", "lossy", lossy)
	}
}

// noteLostPoll records that a poll had no answer, which was due at the given time.
func (o *owner) noteLostPoll(id workload.UpstreamID, due state.Time) {
	o.metrics.lostPolls.Inc(1)
	o.noteNoAnswer(id, due)
}

// noteNoAnswer records that a command sent at sentAt had no answer. If its failure domain has
// stopped answering, all upstreams of the domain get no work until they have been polled;
// their long polls would notice the loss only after seconds.
func (o *owner) noteNoAnswer(id workload.UpstreamID, sentAt state.Time) {
	o.noteLoss(false)
	reg, known := o.sched.Registration(id)
	if !known || !o.domains.Unanswered(o.now(), sentAt, reg.Domain, id) {
		return
	}
	suspected := 0
	for other, l := range o.links {
		if r, _ := o.sched.Registration(other); r.Domain == reg.Domain {
			o.sched.Suspect(other)
			l.requestPoll()
			suspected++
		}
	}
	o.pauseAdvisors(reg.Domain)
	o.metrics.silentDomains.Inc(1)
	o.logger.Warn("failure domain does not answer; its upstreams get no work until they are polled", "domain", reg.Domain, "upstream", id, "upstreams", suspected, "unanswered_ms", (o.now() - sentAt).Milliseconds())
}
