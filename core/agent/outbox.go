package agent

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

const (
	// maxReplyDelay is the maximum delay of a reply that reports started tasks, while
	// it waits for their results or another message to the owner. Together with two
	// ticks and a round trip it is below the 200 ms after which the owner resends an
	// offer or grant.
	maxReplyDelay = 150 * time.Millisecond
	// maxResultDelay is the maximum delay of a job's results while other tasks of the
	// job are running or waiting at this agent.
	maxResultDelay = 150 * time.Millisecond
)

// Outbox implements daemon.Machine.
func (a *Agent) Outbox() []message.Envelope {
	a.flushReplies()
	a.flushResults()
	a.flushDeferred()
	a.archiveJobs()
	a.addLoadReports()
	out := message.Join(a.outbox)
	a.outbox = nil
	for _, h := range a.hosted {
		out = append(out, h.Outbox()...)
	}
	return out
}

// flushReplies sends or defers the pending replies. It does nothing before StartPending
// has decided on the pending tasks, because a reply could then wrongly report them as
// started or as not started.
func (a *Agent) flushReplies() {
	if len(a.pending) > 0 {
		return
	}
	for _, r := range a.replies {
		if a.mayDefer(r) {
			r.due = a.now.Add(maxReplyDelay)
			r.job.deferredReplies++
			a.deferredReplies = append(a.deferredReplies, r)
		} else {
			a.sendReply(r)
		}
	}
	clear(a.replies)
	a.replies = a.replies[:0]
}

// mayDefer reports whether a reply can be deferred: it is the first reply to an offer
// or grant and all tasks have started, so that their results serve as a reply too.
func (a *Agent) mayDefer(r reply) bool {
	switch {
	case a.leaving || a.frozen:
		return false
	case r.kind == replyGrant:
		return true
	case r.kind != replyOffer:
		return false
	}
	return !slices.ContainsFunc(r.refs, func(ref message.TaskRef) bool {
		t := r.job.tasks[ref.Index]
		return t == nil || !t.started()
	})
}

func (a *Agent) sendReply(r reply) {
	key := r.job.key
	switch r.kind {
	case replyWithdraw:
		a.send(r.to, message.WithdrawReply{Key: key, Term: r.term, Tasks: a.statuses(r), Load: a.load()})
	case replyFence:
		a.send(r.to, message.FenceReply{
			Key: key, Term: r.term, Fenced: r.job.term, Tasks: a.startedTasks(r.job), Load: a.load(),
		})
	default:
		if statuses := a.statuses(r); len(statuses) > 0 {
			a.send(r.to, message.OfferReply{Key: key, Term: r.term, Tasks: statuses, Load: a.load()})
		}
	}
}

// flushResults sends or defers the new results of each job. resendResults resends them
// until they are acknowledged.
func (a *Agent) flushResults() {
	for _, j := range a.unsent {
		j.unsentListed = false
		switch {
		case !a.mayDeferResults(j):
			a.sendUnsent(j)
		case !j.deferred:
			j.deferred = true
			j.deferredUntil = a.now.Add(maxResultDelay)
			a.deferredResults = append(a.deferredResults, j)
		}
	}
	clear(a.unsent)
	a.unsent = a.unsent[:0]
}

// mayDeferResults reports whether the new results of a job can be deferred. Unless a
// task has failed, the job cannot be answered before its other tasks at this agent have
// ended.
func (a *Agent) mayDeferResults(j *job) bool {
	if a.leaving || a.frozen {
		return false
	}
	for _, t := range j.unsent {
		if t.state != stateFinished {
			return false
		}
	}
	for _, t := range j.tasks {
		if t.isWaiting() || t.state == stateRunning {
			return true
		}
	}
	return false
}

func (a *Agent) sendUnsent(j *job) {
	a.sendResult(j, j.unsent)
	j.nextReportAt = a.now.Add(resultResendInterval)
	j.deferred = false
	clear(j.unsent)
	j.unsent = j.unsent[:0]
	a.markDirty(j)
}

// flushDeferred sends the deferred replies and results to every recipient of a message
// in the outbox, and to every recipient of a deferred message that is due.
func (a *Agent) flushDeferred() {
	if len(a.deferredReplies) == 0 && len(a.deferredResults) == 0 {
		return
	}
	recipients := a.recipients()
	a.deferredReplies = slices.DeleteFunc(a.deferredReplies, func(r reply) bool {
		if !slices.Contains(recipients, r.to) {
			return false
		}
		r.job.deferredReplies--
		a.markDirty(r.job)
		r.dropReported()
		if len(r.refs) > 0 {
			a.sendReply(r)
		}
		return true
	})
	a.deferredResults = slices.DeleteFunc(a.deferredResults, func(j *job) bool {
		if j.deferred && slices.Contains(recipients, j.owner) {
			a.sendUnsent(j)
		}
		return !j.deferred
	})
}

// addLoadReports sends a load report to each recipient of a claim reply that gets no
// other message with the load. Entries then place tasks by recent loads although
// replies are deferred.
func (a *Agent) addLoadReports() {
	if a.leaving || a.slots == 0 {
		return
	}
	var reported, unreported []zinniasill.Node
	for _, env := range a.outbox {
		switch env.Body.(type) {
		case message.ClaimReply, message.ClaimReplies:
			unreported = append(unreported, env.To)
		case message.OfferReply, message.WithdrawReply, message.FenceReply, message.Result:
			reported = append(reported, env.To)
		default:
		}
	}
	for _, node := range unreported {
		if !slices.Contains(reported, node) {
			a.send(node, message.LoadReport{Load: a.load()})
			reported = append(reported, node)
		}
	}
}

// recipients returns the nodes that a message is sent to now.
func (a *Agent) recipients() []zinniasill.Node {
	var nodes []zinniasill.Node
	add := func(node zinniasill.Node) {
		if !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	for _, env := range a.outbox {
		add(env.To)
	}
	now := a.leaving || a.frozen
	for _, r := range a.deferredReplies {
		if now || !a.now.Before(r.due) {
			add(r.to)
		}
	}
	for _, j := range a.deferredResults {
		if j.deferred && (now || !a.now.Before(j.deferredUntil)) {
			add(j.owner)
		}
	}
	return nodes
}

// dropReported removes the tasks whose results are sent to the same recipient, and
// granted tasks that were returned to the owner.
func (r *reply) dropReported() {
	r.refs = slices.DeleteFunc(r.refs, func(ref message.TaskRef) bool {
		t := r.job.tasks[ref.Index]
		return t.ended() && r.to == r.job.owner || r.kind == replyGrant && t.state == stateClosed
	})
}
