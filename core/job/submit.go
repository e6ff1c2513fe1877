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

// Submit hands in a job. The reply to id arrives with Replies. Several requests
// may wait for one job.
func (c *Coordinator) Submit(now time.Time, id RequestID, sub message.Submission) {
	c.refresh(now)
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
		c.reply(id, keyExpired(profile))
		return
	}
	c.sequence++
	r := &record{key: sub.Key, ran: sub.Profile, digest: sub.Digest, sequence: c.sequence, claims: c.claims}
	r.work = &work{stamp: sub.Stamp, payloads: sub.Payloads, profile: profile}
	if !known {
		r.profile = catalog.Profile{Name: sub.Profile}
	}
	r.tasks = make([]task, len(r.payloads))
	r.counts[taskWaiting] = len(r.payloads)
	c.jobs[r.key] = r
	c.wait(id, r)
	c.admit(now, r, known)
	c.begin(now, r)
}

// checkBody finds the faults that make a body invalid at every entry and time.
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

// admit sets the deadline and, if this entry would refuse the job, the reason.
func (c *Coordinator) admit(now time.Time, r *record, known bool) {
	within := r.within()
	r.deadline = now.Add(within)
	r.refusal = c.refuses(now, r, known)
	if r.refusal == "" {
		c.countTasks(r)
		return
	}
	// A final refusal of an unstamped job would close the key for the stamped job
	// that the caller meant to send.
	r.final = r.profile.Repeat == catalog.RepeatNever && r.refusal != zinniasill.ReasonEpochRequired &&
		now.Sub(c.lastValid) <= staleLease
	c.move(r, eventRefuse)
	r.deadline = now.Add(min(within, settleWithin))
}

// within is the time in which the job is to be answered.
func (r *record) within() time.Duration {
	return cmp.Or(r.profile.AnswerWithin, defaultAnswerWithin)
}

// countTasks counts the job's tasks against the quota of its team.
func (c *Coordinator) countTasks(r *record) {
	c.quotas.Remove(r.key.Team, r.quota)
	r.quota = len(r.payloads)
	c.quotas.Add(r.key.Team, r.quota)
}

func (c *Coordinator) refuses(now time.Time, r *record, known bool) zinniasill.Reason {
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
	if !c.quotas.Allows(r.key.Team, tasks, cat.Teams[r.key.Team].Quota, c.entries) {
		return zinniasill.ReasonQuota
	}
	estimate := admission.Estimate{
		Load:    admission.Load{Slots: totals.Slots, Free: totals.Free, Backlog: totals.Backlog},
		Tasks:   tasks,
		RunTime: c.times.Expect(r.profile),
	}
	if !estimate.Fits(r.within()) {
		return zinniasill.ReasonOverload
	}
	r.slack = estimate.Slack(r.within())
	return ""
}

func (c *Coordinator) wait(id RequestID, r *record) {
	r.waiters = append(r.waiters, id)
	c.waiting[id] = r
}

// resubmit handles a submission whose key has a job at this entry.
func (c *Coordinator) resubmit(now time.Time, id RequestID, r *record, sub message.Submission) {
	switch {
	case sub.Digest != r.digest && !r.confirmed:
		r.rivals = append(r.rivals, rival{id: id, submission: sub})
		c.waiting[id] = r
	case sub.Digest != r.digest:
		c.reply(id, keyReused())
	case r.answer != nil && r.reopens:
		c.reopen(now, id, r, sub)
	case r.answer != nil:
		c.reply(id, *r.answer)
	default:
		c.wait(id, r)
		if (r.state == stateClaiming || r.state == stateAttached) && !now.Before(r.deadline) {
			// The job was left without a caller before its owner was known.
			c.extendDeadline(now, r)
		}
	}
}

func (c *Coordinator) extendDeadline(now time.Time, r *record) {
	r.deadline = now.Add(r.within())
	c.timers.push(r, now.Add(claimPoll))
}

// reopen submits a job again whose last attempt was closed by a tombstone.
func (c *Coordinator) reopen(now time.Time, id RequestID, r *record, sub message.Submission) {
	cat := c.cfg.Lease.Catalog()
	profile, known := cat.Profiles[sub.Profile]
	r.answer = nil
	r.reopens = false
	r.work = &work{stamp: sub.Stamp, payloads: sub.Payloads, profile: profile, priors: r.priors}
	if !known {
		r.profile = catalog.Profile{Name: sub.Profile}
	}
	r.resetTasks()
	c.move(r, eventClaim)
	c.wait(id, r)
	c.admit(now, r, known)
	if r.refusal != "" {
		c.readTerm(now, r, r.term+1)
		return
	}
	c.claimTerm(now, r, r.term+1)
}

// Abandon forgets a caller that went away. Its job goes on.
func (c *Coordinator) Abandon(_ time.Time, id RequestID) {
	r := c.waiting[id]
	if r == nil {
		return
	}
	delete(c.waiting, id)
	r.waiters = slices.DeleteFunc(r.waiters, func(w RequestID) bool { return w == id })
	r.rivals = slices.DeleteFunc(r.rivals, func(w rival) bool { return w.id == id })
}

// Cancel cancels a job. Its callers get an answer that says what ran. It returns
// false when this entry does not own the job or the job has been answered.
func (c *Coordinator) Cancel(now time.Time, key zinniasill.Key) bool {
	c.refresh(now)
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

// Status is what an entry knows of a job.
type Status struct {
	Known bool
	State string
	// Tasks and Finished count the tasks of a job that is in progress here.
	Tasks    int
	Finished int
	// Answer is nil while the job is in progress.
	Answer *message.Answer
}

// Status returns the state of a job at this entry.
func (c *Coordinator) Status(now time.Time, key zinniasill.Key) Status {
	c.refresh(now)
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
