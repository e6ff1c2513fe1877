package agent

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// replyKind is the kind of message that a reply answers.
type replyKind uint8

const (
	replyOffer replyKind = iota
	// replyGrant reports that granted tasks have started.
	replyGrant
	// replyRepeated answers an offer or grant that is outdated or was received before.
	replyRepeated
	replyWithdraw
	replyFence
)

// reply is a reply to be sent. Its content is taken from the job's state when it is
// sent.
type reply struct {
	to   zinniasill.Node
	kind replyKind
	job  *job
	term zinniasill.Term
	refs []message.TaskRef
	// due is the time at which a deferred reply is sent at the latest.
	due time.Time
}

func (a *Agent) reply(to zinniasill.Node, kind replyKind, j *job, term zinniasill.Term, refs []message.TaskRef) {
	a.replies = append(a.replies, reply{to: to, kind: kind, job: j, term: term, refs: refs})
}

// statuses returns the states of the tasks that a reply refers to.
func (a *Agent) statuses(r reply) []message.TaskStatus {
	statuses := make([]message.TaskStatus, len(r.refs))
	for i, ref := range r.refs {
		t := r.job.tasks[ref.Index]
		switch {
		case t != nil:
			statuses[i] = a.status(t, r.term, ref)
		case r.term < r.job.term:
			statuses[i] = message.TaskStatus{Ref: ref, State: message.TaskClosed, Reason: zinniasill.ReasonSuperseded}
		default:
			statuses[i] = message.TaskStatus{Ref: ref, State: message.TaskUnseen}
		}
	}
	return statuses
}

// startedTasks returns the states of the tasks of a job that have started.
func (a *Agent) startedTasks(j *job) []message.TaskStatus {
	var statuses []message.TaskStatus
	for _, t := range sortedTasks(j) {
		if t.started() {
			statuses = append(statuses, a.status(t, t.term, t.ref()))
		}
	}
	return statuses
}

// report makes the agent send the state of a task to the owner until it is
// acknowledged.
func (a *Agent) report(t *task) {
	if t.unacked {
		return
	}
	t.unacked = true
	j := t.job
	j.unacked = append(j.unacked, t)
	j.unsent = append(j.unsent, t)
	if !j.unsentListed {
		j.unsentListed = true
		a.unsent = append(a.unsent, j)
	}
	if !j.reporting {
		j.reporting = true
		a.reporting = append(a.reporting, j)
	}
}

// clearUnacked ends the reports on a task.
func (a *Agent) clearUnacked(t *task) {
	if !t.unacked {
		return
	}
	t.unacked = false
	at := slices.Index(t.job.unacked, t)
	t.job.unacked = slices.Delete(t.job.unacked, at, at+1)
}

func (a *Agent) acknowledge(from zinniasill.Node, ack message.ResultAck) {
	j := a.findJob(ack.Key)
	if j == nil || j.owner != from || j.term != ack.Term {
		return
	}
	for _, ref := range ack.Tasks {
		if t := j.tasks[ref.Index]; t != nil && t.attempt == ref.Attempt {
			a.clearUnacked(t)
		}
	}
	if len(j.unacked) == 0 && j.reporting {
		j.reporting = false
		at := slices.Index(a.reporting, j)
		a.reporting = slices.Delete(a.reporting, at, at+1)
	}
}

// sendResult sends the states of those tasks that are not acknowledged to the owner.
func (a *Agent) sendResult(j *job, tasks []*task) {
	statuses := make([]message.TaskStatus, 0, len(tasks))
	for _, t := range tasks {
		if t.unacked {
			statuses = append(statuses, a.status(t, t.term, t.ref()))
		}
	}
	if len(statuses) > 0 {
		a.send(j.owner, message.Result{Key: j.key, Term: j.term, Tasks: statuses, Load: a.load()})
	}
}

// resendResults resends the unacknowledged results that are due.
func (a *Agent) resendResults(now time.Time) {
	a.reporting = slices.DeleteFunc(a.reporting, func(j *job) bool {
		if len(j.unacked) == 0 {
			j.reporting = false
			a.markDirty(j)
			return true
		}
		if !now.Before(j.nextReportAt) && len(j.unsent) == 0 {
			a.sendResult(j, j.unacked)
			j.nextReportAt = now.Add(a.resultResendDelay(j))
		}
		return false
	})
}

// resultResendDelay returns the time until the results of a job are resent. It is
// longer for an owner that is not in the catalog, since only a takeover can acknowledge
// them.
func (a *Agent) resultResendDelay(j *job) time.Duration {
	if a.ownerAlive(j) {
		return resultResendInterval
	}
	return deadOwnerResendInterval
}

// load returns the load report that is sent to entries.
func (a *Agent) load() message.Load {
	work := a.runningWork - time.Duration(len(a.running))*a.now.Sub(a.origin)
	return message.Load{
		Slots:       a.slots,
		Busy:        len(a.running) + a.reserved,
		Queued:      a.queue.count,
		QueuedWork:  a.queue.work,
		RunningWork: max(0, work),
		Failed:      a.failed,
		Succeeded:   a.succeeded,
	}
}

// Occupancy returns the number of slots in use and of queued tasks.
func (a *Agent) Occupancy() (busy, queued int) {
	return len(a.running) + a.reserved, a.queue.count
}
