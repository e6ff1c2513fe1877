package job

import (
	"cmp"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/admission"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// Submit submits a job. Replies returns the reply to id once there is one. Several
// requests may wait for the same job.
func (c *Coordinator) Submit(now time.Time, id RequestID, sub message.Submission) {
	c.refreshCatalog(now)
	if r := c.find(sub.Key); r != nil {
		c.resubmit(now, id, r, sub)
		return
	}
	if reason, text := checkBody(sub); reason != "" {
		c.reply(id, message.Answer{Code: reason, Ran: zinniasill.NotRun, Retry: zinniasill.RetryNone, Message: text})
		return
	}
	cat := c.cfg.Lease.Catalog()
	profile, known := cat.Profiles[sub.Profile]
	if expired(cat, sub.Stamp) {
		c.reply(id, keyExpiredAnswer(profile))
		return
	}
	c.sequence++
	r := &record{
		key: sub.Key, profileName: sub.Profile, digest: sub.Digest, sequence: c.sequence,
		claimSequence: c.claimSequence,
	}
	r.work = &work{stamp: sub.Stamp, payloads: sub.Payloads, profile: profile}
	if !known {
		r.profile = catalog.Profile{Name: sub.Profile}
	}
	r.tasks = make([]task, len(r.payloads))
	r.counts[taskWaiting] = len(r.payloads)
	c.jobs[r.key] = r
	c.addWaiter(id, r)
	c.admit(now, r, known)
	c.startLookups(now, r)
}

// checkBody returns the reason and message to refuse a body that is invalid at every
// entry and time, or an empty reason.
func checkBody(sub message.Submission) (zinniasill.Reason, string) {
	if len(sub.Payloads) == 0 {
		return zinniasill.ReasonBadRequest, "the job has no tasks"
	}
	if len(sub.Payloads) > message.MaxTasks {
		return zinniasill.ReasonTooLarge, "the job has more than 1000 tasks"
	}
	size := 0
	for _, payload := range sub.Payloads {
		size += len(payload)
		if len(payload) > message.MaxPayload {
			return zinniasill.ReasonTooLarge, "a payload is larger than 64 KiB"
		}
	}
	if size > message.MaxBody {
		return zinniasill.ReasonTooLarge, "the payloads are larger than 8 MiB"
	}
	return "", ""
}

// admit sets the deadline of a job and, if this entry would refuse it, the reason.
func (c *Coordinator) admit(now time.Time, r *record, known bool) {
	answerTimeout := r.answerTimeout()
	r.deadline = now.Add(answerTimeout)
	r.refusal = c.checkAdmission(now, r, known)
	if r.refusal == "" {
		c.chargeQuota(r)
		return
	}
	// A final refusal of a job without a stamp would also refuse the stamped job that
	// the caller should have sent.
	r.finalRefusal = r.profile.Repeat == catalog.RepeatNever && r.refusal != zinniasill.ReasonEpochRequired &&
		now.Sub(c.lastValid) <= staleLeaseAge
	c.transition(r, eventRefuse)
	r.deadline = now.Add(min(answerTimeout, proofTimeout))
}

// answerTimeout returns the time within which the job must be answered.
func (r *record) answerTimeout() time.Duration {
	return cmp.Or(r.profile.AnswerWithin, defaultAnswerTimeout)
}

// chargeQuota counts the tasks of a job against the quota of its team.
func (c *Coordinator) chargeQuota(r *record) {
	c.quotas.Remove(r.key.Team, r.quotaUsed)
	r.quotaUsed = len(r.payloads)
	c.quotas.Add(r.key.Team, r.quotaUsed)
}

// checkAdmission returns the reason to refuse a job, or an empty one if it is admitted.
func (c *Coordinator) checkAdmission(now time.Time, r *record, known bool) zinniasill.Reason {
	cat := c.cfg.Lease.Catalog()
	tasks := len(r.payloads)
	switch {
	case !c.cfg.Lease.Valid(now):
		return zinniasill.ReasonLeaseExpired
	case c.draining:
		return zinniasill.ReasonShuttingDown
	case !known:
		return zinniasill.ReasonUnknownProfile
	case r.profile.Repeat == catalog.RepeatNever && r.stamp == 0:
		return zinniasill.ReasonEpochRequired
	case r.profile.MaxTasks > 0 && tasks > r.profile.MaxTasks:
		return zinniasill.ReasonTooLarge
	case c.isFull():
		return zinniasill.ReasonRecordsFull
	}
	totals := c.views.Totals(now, r.profile)
	if totals.Agents == 0 {
		return zinniasill.ReasonNoEndpoint
	}
	if !c.quotas.Allows(r.key.Team, tasks, cat.Teams[r.key.Team].Quota, c.entryCount) {
		return zinniasill.ReasonQuota
	}
	estimate := admission.Estimate{
		Load:    admission.Load{Slots: totals.Slots, Free: totals.Free, Backlog: totals.Backlog},
		Tasks:   tasks,
		RunTime: c.runTimes.Expect(r.profile),
	}
	if !estimate.Fits(r.answerTimeout()) {
		return zinniasill.ReasonOverload
	}
	r.slack = estimate.Slack(r.answerTimeout())
	return ""
}

// addWaiter makes a request wait for the answer of a job.
func (c *Coordinator) addWaiter(id RequestID, r *record) {
	r.waiters = append(r.waiters, id)
	c.requests[id] = r
}

// resubmit handles a submission whose key already has a job at this entry.
func (c *Coordinator) resubmit(now time.Time, id RequestID, r *record, sub message.Submission) {
	switch {
	case sub.Digest != r.digest && !r.confirmed:
		r.conflicts = append(r.conflicts, conflict{id: id, submission: sub})
		c.requests[id] = r
	case sub.Digest != r.digest:
		c.reply(id, keyReusedAnswer())
	case r.answer != nil && r.resubmittable:
		c.reopen(now, id, r, sub)
	case r.answer != nil:
		c.reply(id, *r.answer)
	default:
		c.addWaiter(id, r)
		if (r.state == stateClaiming || r.state == stateAttached) && !now.Before(r.deadline) {
			// The deadline passed, and the earlier callers were answered, before the key
			// was decided or the owner had an answer.
			c.extendDeadline(now, r)
		}
	}
}

func (c *Coordinator) extendDeadline(now time.Time, r *record) {
	r.deadline = now.Add(r.answerTimeout())
	c.timers.push(r, now.Add(claimPollInterval))
}

// reopen restarts an answered job whose last term was closed by a tombstone.
func (c *Coordinator) reopen(now time.Time, id RequestID, r *record, sub message.Submission) {
	cat := c.cfg.Lease.Catalog()
	profile, known := cat.Profiles[sub.Profile]
	r.answer = nil
	r.resubmittable = false
	r.work = &work{stamp: sub.Stamp, payloads: sub.Payloads, profile: profile, priorClaims: r.priorClaims}
	if !known {
		r.profile = catalog.Profile{Name: sub.Profile}
	}
	r.resetTasks()
	c.transition(r, eventClaim)
	c.addWaiter(id, r)
	c.admit(now, r, known)
	if r.refusal != "" {
		c.readTerm(now, r, r.term+1)
		return
	}
	c.claimTerm(now, r, r.term+1)
}

// Abandon drops the request of a caller that has disconnected. Its job continues.
func (c *Coordinator) Abandon(_ time.Time, id RequestID) {
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	r.waiters = slices.DeleteFunc(r.waiters, func(w RequestID) bool { return w == id })
	r.conflicts = slices.DeleteFunc(r.conflicts, func(w conflict) bool { return w.id == id })
}

// Cancel cancels a job. Its callers get an answer that reports what ran. Cancel returns
// false when this entry does not own the job or the job has been answered.
func (c *Coordinator) Cancel(now time.Time, key zinniasill.Key) bool {
	c.refreshCatalog(now)
	r := c.find(key)
	if r == nil || r.done() {
		return false
	}
	switch r.state {
	case statePlacing, stateRunning:
		c.close(now, r, zinniasill.ReasonCancelled, "the job was cancelled")
		return true
	case stateClaiming, stateFencing:
		r.cancelled = true
		return true
	default:
		return false
	}
}

// Status is the state of a job as recorded at one entry.
type Status struct {
	// Known is set when the entry has a record of the job.
	Known bool
	// State is the name of the job's state in the state chart.
	State string
	// Tasks and Finished count all tasks and the ended tasks of a job in progress at
	// this entry.
	Tasks    int
	Finished int
	// Answer is nil while the job is in progress.
	Answer *message.Answer
}

// Status returns the state of a job at this entry.
func (c *Coordinator) Status(now time.Time, key zinniasill.Key) Status {
	c.refreshCatalog(now)
	r := c.find(key)
	if r == nil {
		return Status{}
	}
	status := Status{Known: true, State: r.state.String(), Answer: r.answer}
	if r.answer == nil {
		status.Tasks = len(r.tasks)
		status.Finished = r.counts[taskFinished] + r.counts[taskFailed]
	}
	return status
}
