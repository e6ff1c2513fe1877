package agent

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

type replyKind uint8

const (
	replyOffer replyKind = iota
	// replyGrant tells that granted tasks have started.
	replyGrant
	// replyAgain answers a repeated offer or grant.
	replyAgain
	replyWithdraw
	replyFence
)

// reply is an answer whose content is the state at the moment it leaves.
type reply struct {
	to   zinniasill.Node
	kind replyKind
	job  *job
	term zinniasill.Term
	refs []message.TaskRef
	// due is when a reply that is kept back leaves at the latest.
	due time.Time
}

func (a *Agent) reply(to zinniasill.Node, kind replyKind, j *job, term zinniasill.Term, refs []message.TaskRef) {
	a.replies = append(a.replies, reply{to: to, kind: kind, job: j, term: term, refs: refs})
}

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

func (a *Agent) startedTasks(j *job) []message.TaskStatus {
	var statuses []message.TaskStatus
	for _, t := range sortedTasks(j) {
		if t.started() {
			statuses = append(statuses, a.status(t, t.term, t.ref()))
		}
	}
	return statuses
}

// report has the state of a task sent to the owner until it is acknowledged.
func (a *Agent) report(t *task) {
	if t.unacked {
		return
	}
	t.unacked = true
	j := t.job
	j.unacked = append(j.unacked, t)
	j.fresh = append(j.fresh, t)
	if !j.changed {
		j.changed = true
		a.fresh = append(a.fresh, j)
	}
	if !j.reporting {
		j.reporting = true
		a.reporting = append(a.reporting, j)
	}
}

// confirm ends the reports on a task.
func (a *Agent) confirm(t *task) {
	if !t.unacked {
		return
	}
	t.unacked = false
	at := slices.Index(t.job.unacked, t)
	t.job.unacked = slices.Delete(t.job.unacked, at, at+1)
}

func (a *Agent) acknowledge(from zinniasill.Node, ack message.ResultAck) {
	j := a.find(ack.Key)
	if j == nil || j.owner != from || j.term != ack.Term {
		return
	}
	for _, ref := range ack.Tasks {
		if t := j.tasks[ref.Index]; t != nil && t.attempt == ref.Attempt {
			a.confirm(t)
		}
	}
	if len(j.unacked) == 0 && j.reporting {
		j.reporting = false
		at := slices.Index(a.reporting, j)
		a.reporting = slices.Delete(a.reporting, at, at+1)
	}
}

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

func (a *Agent) resendResults(now time.Time) {
	a.reporting = slices.DeleteFunc(a.reporting, func(j *job) bool {
		if len(j.unacked) == 0 {
			j.reporting = false
			a.touch(j)
			return true
		}
		if !now.Before(j.reportAt) && len(j.fresh) == 0 {
			a.sendResult(j, j.unacked)
			j.reportAt = now.Add(a.resendAfter(j))
		}
		return false
	})
}

// resendAfter spaces the reports to an owner that the catalog does not list;
// only a takeover will acknowledge them.
func (a *Agent) resendAfter(j *job) time.Duration {
	if a.ownerAlive(j) {
		return resultWait
	}
	return deadOwnerWait
}

// load returns the load report that goes with every message to an entry.
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
