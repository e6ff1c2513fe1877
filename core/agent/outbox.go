package agent

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

const (
	// replyWait bounds how long the reply that tasks have started waits for their
	// results or another message to the owner. With two ticks and a round trip it is
	// below the 200 ms after which the owner repeats an offer or grant.
	replyWait = 150 * time.Millisecond
	// holdWait bounds how long results of a job wait while other tasks of the job
	// run or wait at this agent.
	holdWait = 150 * time.Millisecond
)

// Outbox implements daemon.Machine.
func (a *Agent) Outbox() []message.Envelope {
	a.flushReplies()
	a.flushResults()
	a.flushHeld()
	a.archiveEnded()
	a.addLoads()
	out := message.Join(a.outbox)
	a.outbox = nil
	for _, h := range a.hosted {
		out = append(out, h.Outbox()...)
	}
	return out
}

// flushReplies writes the answers, or keeps them back. They wait while Runs has not
// yet decided on tasks, because an answer could then be wrong in either direction.
func (a *Agent) flushReplies() {
	if len(a.pending) > 0 {
		return
	}
	for _, r := range a.replies {
		if a.mayHold(r) {
			r.due = a.now.Add(replyWait)
			r.job.heldReplies++
			a.heldReplies = append(a.heldReplies, r)
		} else {
			a.sendReply(r)
		}
	}
	clear(a.replies)
	a.replies = a.replies[:0]
}

// mayHold reports whether a reply can wait: it answers the first offer or grant of
// tasks that have all started, so that their results answer too.
func (a *Agent) mayHold(r reply) bool {
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

// flushResults sends the new results of each job once, or keeps them back;
// resendResults repeats them.
func (a *Agent) flushResults() {
	for _, j := range a.fresh {
		j.changed = false
		switch {
		case !a.mayHoldResults(j):
			a.sendFresh(j)
		case !j.held:
			j.held = true
			j.heldUntil = a.now.Add(holdWait)
			a.heldResults = append(a.heldResults, j)
		}
	}
	clear(a.fresh)
	a.fresh = a.fresh[:0]
}

// mayHoldResults reports whether the new results of a job can wait. The job can't
// be answered before its other tasks here have ended, unless one has failed.
func (a *Agent) mayHoldResults(j *job) bool {
	if a.leaving || a.frozen {
		return false
	}
	for _, t := range j.fresh {
		if t.state != stateFinished {
			return false
		}
	}
	for _, t := range j.tasks {
		if t.waits() || t.state == stateRunning {
			return true
		}
	}
	return false
}

func (a *Agent) sendFresh(j *job) {
	a.sendResult(j, j.fresh)
	j.reportAt = a.now.Add(resultWait)
	j.held = false
	clear(j.fresh)
	j.fresh = j.fresh[:0]
	a.touch(j)
}

// flushHeld sends what was kept back for the receivers of the messages that leave
// now, and for those with something that is due.
func (a *Agent) flushHeld() {
	if len(a.heldReplies) == 0 && len(a.heldResults) == 0 {
		return
	}
	receivers := a.receivers()
	a.heldReplies = slices.DeleteFunc(a.heldReplies, func(r reply) bool {
		if !slices.Contains(receivers, r.to) {
			return false
		}
		r.job.heldReplies--
		a.touch(r.job)
		r.dropReported()
		if len(r.refs) > 0 {
			a.sendReply(r)
		}
		return true
	})
	a.heldResults = slices.DeleteFunc(a.heldResults, func(j *job) bool {
		if j.held && slices.Contains(receivers, j.owner) {
			a.sendFresh(j)
		}
		return !j.held
	})
}

// addLoads adds a load report to the answers to claims that leave without one, so
// that entries place tasks by recent loads although replies are kept back.
func (a *Agent) addLoads() {
	if a.leaving || a.slots == 0 {
		return
	}
	var with, without []zinniasill.Node
	for _, env := range a.outbox {
		switch env.Body.(type) {
		case message.ClaimReply, message.ClaimReplies:
			without = append(without, env.To)
		case message.OfferReply, message.WithdrawReply, message.FenceReply, message.Result:
			with = append(with, env.To)
		default:
		}
	}
	for _, node := range without {
		if !slices.Contains(with, node) {
			a.send(node, message.LoadReport{Load: a.load()})
			with = append(with, node)
		}
	}
}

// receivers returns the processes that get a message now.
func (a *Agent) receivers() []zinniasill.Node {
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
	for _, r := range a.heldReplies {
		if now || !a.now.Before(r.due) {
			add(r.to)
		}
	}
	for _, j := range a.heldResults {
		if j.held && (now || !a.now.Before(j.heldUntil)) {
			add(j.owner)
		}
	}
	return nodes
}

// dropReported removes the tasks whose results the receiver gets, and granted ones
// that were returned.
func (r *reply) dropReported() {
	r.refs = slices.DeleteFunc(r.refs, func(ref message.TaskRef) bool {
		t := r.job.tasks[ref.Index]
		return t.ended() && r.to == r.job.owner || r.kind == replyGrant && t.state == stateClosed
	})
}
