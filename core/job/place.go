package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/admission"
	"zinniasill/core/message"
	"zinniasill/core/placement"
)

const (
	// spares is the number of candidates beyond those that tasks are planned for.
	// They take tasks that come back, without another claim.
	spares = 2
	// offerBytes bounds the payloads of one offer.
	offerBytes = 512 << 10
	// placeRetry is the time until a task without an eligible agent is tried again.
	placeRetry = 20 * time.Millisecond
)

// plan chooses an agent for each task that is not started and writes the claim
// whose candidates are these agents and a few spares in other failure domains.
func (c *Coordinator) plan(now time.Time, r *record) {
	run := c.times.Expect(r.profile).Mean
	request := placement.Request{Profile: r.profile}
	var nodes []zinniasill.Node
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskFinished || t.state == taskFailed {
			continue
		}
		if len(nodes) == c.cfg.Limits.MaxCandidates {
			t.planned = nodes[i%len(nodes)]
			continue
		}
		node, ok := c.views.Pick(now, request)
		if !ok {
			break
		}
		t.planned = node
		// Counting the plan spreads the tasks of the job over the agents.
		c.views.AddUnanswered(node, 1, run)
		t.counted = run
		if !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	c.releaseViews(r)
	c.claims++
	r.planned = c.claims
	r.claim = message.Claim{
		Owner: c.cfg.Self, Digest: r.digest, Candidates: c.addSpares(now, r, nodes), Sequence: c.claims,
	}
}

// addSpares adds agents to the candidates, of other domains than those of the
// last candidates where possible.
func (c *Coordinator) addSpares(now time.Time, r *record, nodes []zinniasill.Node) []zinniasill.Node {
	for range spares {
		tail := nodes[max(0, len(nodes)-spares):]
		node, ok := c.views.Pick(now, placement.Request{Profile: r.profile, Exclude: func(n zinniasill.Node) bool {
			return slices.Contains(nodes, n) || slices.ContainsFunc(tail, func(other zinniasill.Node) bool {
				return c.views.Domain(other) == c.views.Domain(n)
			})
		}})
		if !ok {
			node, ok = c.views.Pick(now, placement.Request{Profile: r.profile, Exclude: func(n zinniasill.Node) bool {
				return slices.Contains(nodes, n)
			}})
		}
		if !ok {
			break
		}
		nodes = append(nodes, node)
	}
	return nodes
}

// releaseViews ends the counts of unanswered offers in the views.
func (c *Coordinator) releaseViews(r *record) {
	for i := range r.tasks {
		c.releaseTask(&r.tasks[i])
	}
}

func (c *Coordinator) releaseTask(t *task) {
	if t.counted == 0 {
		return
	}
	node := t.node
	if t.state == taskWaiting {
		node = t.planned
	}
	c.views.RemoveUnanswered(node, 1, t.counted)
	t.counted = 0
}

// startPlacing begins or continues the offers of an owned job.
func (c *Coordinator) startPlacing(now time.Time, r *record) {
	c.move(r, eventPlace)
	cat := c.cfg.Lease.Catalog()
	if r.cancelled {
		c.close(now, r, zinniasill.ReasonCancelled, "the job was cancelled")
		return
	}
	if !now.Before(r.deadline) {
		c.close(now, r, zinniasill.ReasonDeadline, "the job was claimed too late")
		return
	}
	c.agentsGone(now, r, func(node zinniasill.Node) bool { return !cat.RecordsReachable(node) })
}

// place offers the waiting tasks that are due.
func (c *Coordinator) place(now time.Time, r *record) {
	if r.counts[taskWaiting] == 0 {
		c.move(r, eventPlaced)
		return
	}
	c.move(r, eventPlace)
	c.timers.push(r, now.Add(placeRetry))
	if r.extending || !c.cfg.Lease.Valid(now) {
		return
	}
	batch := offers{}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state != taskWaiting || now.Before(t.next) {
			continue
		}
		if !c.placeTask(now, r, zinniasill.TaskIndex(i), &batch) && r.extending {
			break
		}
	}
	c.sendOffers(r, r.term, &batch)
	if r.counts[taskWaiting] == 0 {
		c.move(r, eventPlaced)
	}
}

// placeTask offers one task to an agent. It returns false when no agent can take
// it or the retry budget is used up.
func (c *Coordinator) placeTask(now time.Time, r *record, index zinniasill.TaskIndex, batch *offers) bool {
	t := &r.tasks[index]
	node, ok := c.choose(now, r, t)
	if !ok {
		t.next = now.Add(placeRetry)
		c.extend(now, r)
		return false
	}
	if t.charged && !c.budget.Spend() {
		c.cfg.Counters.Inc(CounterRetryDelayed, "")
		t.next = now.Add(admission.Backoff(c.cfg.Rand, len(t.refused)+1))
		return false
	}
	if t.attempt == 0 {
		c.budget.Earn()
	}
	run := c.times.Expect(r.profile).Mean
	t.charged = false
	t.node = node
	t.term = r.term
	t.attempt++
	t.next = now.Add(resendAfter)
	t.began = now
	t.planned = zinniasill.Node{}
	t.counted = max(run, 1)
	r.setTask(t, taskOffer)
	c.views.AddUnanswered(node, 1, t.counted)
	c.views.RecordOffer(now, node)
	batch.add(node, index, len(r.payloads[index]))
	return true
}

// choose returns the planned agent of a task if it still serves, else a candidate
// that has not returned the task, else any candidate.
func (c *Coordinator) choose(now time.Time, r *record, t *task) (zinniasill.Node, bool) {
	// The plan is of no use when a claim of an earlier plan was chosen.
	if t.planned.ID != "" && r.claim.Sequence == r.planned && c.views.Available(now, t.planned) {
		return t.planned, true
	}
	request := placement.Request{Profile: r.profile, Allowed: r.claim.Candidates}
	if request.Allowed == nil {
		return zinniasill.Node{}, false
	}
	request.Exclude = func(node zinniasill.Node) bool { return slices.Contains(t.refused, node) }
	if node, ok := c.views.Pick(now, request); ok {
		return node, true
	}
	request.Exclude = nil
	return c.views.Pick(now, request)
}

// extend claims the next term for this entry with more candidates, when none of
// the present ones can take a task and there are others.
func (c *Coordinator) extend(now time.Time, r *record) {
	if r.proposer != nil || r.extending || r.registerGone {
		return
	}
	node, ok := c.views.Pick(now, placement.Request{Profile: r.profile, Exclude: func(n zinniasill.Node) bool {
		return slices.Contains(r.claim.Candidates, n)
	}})
	if !ok {
		return
	}
	c.claims++
	value := r.claim
	value.Sequence = c.claims
	value.Candidates = c.addSpares(now, r, append(slices.Clone(r.claim.Candidates), node))
	r.extending = true
	c.proposeExtension(now, r, value)
}

// batchOf is the part of an offer for one agent.
type batchOf struct {
	node    zinniasill.Node
	indexes []zinniasill.TaskIndex
	bytes   int
}

// offers collects tasks by agent in the order of their placement.
type offers struct {
	batches []batchOf
	last    map[zinniasill.Node]int
}

func (o *offers) add(node zinniasill.Node, index zinniasill.TaskIndex, size int) {
	at := -1
	if o.last != nil {
		if found, ok := o.last[node]; ok {
			at = found
		}
	} else if len(o.batches) == 1 && o.batches[0].node == node {
		at = 0
	}
	if at < 0 || o.batches[at].bytes+size > offerBytes {
		at = len(o.batches)
		o.batches = append(o.batches, batchOf{node: node})
		if at == 1 && o.last == nil {
			// One agent needs no map, which is the case of most jobs.
			o.last = map[zinniasill.Node]int{o.batches[0].node: 0}
		}
		if o.last != nil {
			o.last[node] = at
		}
	}
	b := &o.batches[at]
	b.indexes = append(b.indexes, index)
	b.bytes += size
}

// sendOffers sends one offer for each batch.
func (c *Coordinator) sendOffers(r *record, term zinniasill.Term, o *offers) {
	run := c.times.Expect(r.profile).Mean
	for _, b := range o.batches {
		tasks := make([]message.TaskOffer, len(b.indexes))
		for i, index := range b.indexes {
			tasks[i] = message.TaskOffer{
				Ref:     message.TaskRef{Index: index, Attempt: r.tasks[index].attempt},
				Payload: r.payloads[index],
			}
		}
		c.send(b.node, message.Offer{
			Key: r.key, Term: term, Epoch: r.epoch, Profile: r.profile.Name, Kind: r.profile.Kind,
			ExpectedRunTime: run, Slack: r.slack, Tasks: tasks,
		})
	}
}

// resend repeats the unanswered offers and grants of a job that are due.
func (c *Coordinator) resend(now time.Time, r *record) {
	byTerm := map[zinniasill.Term]*offers{}
	for i := range r.tasks {
		t := &r.tasks[i]
		if now.Before(t.next) {
			continue
		}
		switch t.state {
		case taskOffered:
			if byTerm[t.term] == nil {
				byTerm[t.term] = &offers{}
			}
			byTerm[t.term].add(t.node, zinniasill.TaskIndex(i), len(r.payloads[i]))
		case taskGranted:
			ref := message.TaskRef{Index: zinniasill.TaskIndex(i), Attempt: t.attempt}
			c.send(t.node, message.Grant{Key: r.key, Term: t.term, Tasks: []message.TaskRef{ref}})
		default:
			continue
		}
		t.next = now.Add(resendAfter)
	}
	for term := zinniasill.Term(1); len(byTerm) > 0 && term <= r.term; term++ {
		if byTerm[term] != nil {
			c.sendOffers(r, term, byTerm[term])
		}
	}
}

// wakeRunning handles what is due in a job whose tasks are placed.
func (c *Coordinator) wakeRunning(now time.Time, r *record) time.Time {
	if !now.Before(r.deadline) {
		c.close(now, r, zinniasill.ReasonDeadline, "the job did not complete in time")
		return now.Add(claimPoll)
	}
	if r.proposer != nil {
		c.tickProposals(now, r)
		if r.done() || r.state != statePlacing && r.state != stateRunning {
			return now.Add(claimPoll)
		}
	}
	if r.counts[taskOffered]+r.counts[taskGranted] > 0 {
		c.resend(now, r)
	}
	c.pollRunning(now, r)
	if r.counts[taskWaiting] > 0 {
		c.place(now, r)
	}
	if r.done() {
		return now
	}
	return c.nextRunning(now, r)
}

// nextRunning returns the next time at which something is due.
func (c *Coordinator) nextRunning(now time.Time, r *record) time.Time {
	next := r.deadline
	if r.proposer != nil {
		next = earliest(next, now.Add(claimPoll))
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		switch t.state {
		case taskWaiting:
			next = earliest(next, later(now, t.next))
		case taskOffered, taskGranted:
			next = earliest(next, t.next)
		case taskRunning:
			next = earliest(next, later(now, r.pollFrom(t)))
		default:
		}
	}
	return next
}

// adopted reports whether a task runs that an earlier owner offered.
func (r *record) adopted(t *task) bool {
	return t.state == taskRunning && len(r.priors) > 0
}

// pollFrom returns the time from which the agent of a running task is asked for
// it. The result of an adopted task may have been sent to the earlier owner, and
// that of a long task may have been sent to an entry that took the job over.
func (r *record) pollFrom(t *task) time.Time {
	from := t.began.Add(pollAfter)
	if r.adopted(t) || from.Before(r.resendAt) {
		return r.resendAt
	}
	return from
}

// pollRunning asks the agents of running tasks with a fence for the own term. The
// answer tells their states, and whether a later term exists.
func (c *Coordinator) pollRunning(now time.Time, r *record) {
	var asked []zinniasill.Node
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskRunning && !now.Before(r.pollFrom(t)) && !slices.Contains(asked, t.node) {
			asked = append(asked, t.node)
		}
	}
	for _, node := range asked {
		r.resendAt = now.Add(pollAfter)
		c.send(node, message.Fence{Key: r.key, Term: r.term, Epoch: r.epoch})
	}
}
