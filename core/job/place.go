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
	// spareCandidates is the number of candidates beyond those that tasks are planned on.
	// They can take returned tasks without another claim.
	spareCandidates = 2
	// maxOfferBytes bounds the total size of the payloads in one offer.
	maxOfferBytes = 512 << 10
	// placeRetryInterval is the time until the placement of a task without an eligible
	// agent is retried.
	placeRetryInterval = 20 * time.Millisecond
)

// planClaim chooses an agent for each task that has not ended, and prepares the claim whose
// candidates are these agents and a few spares in other failure domains.
func (c *Coordinator) planClaim(now time.Time, r *record) {
	run := c.runTimes.Expect(r.profile).Mean
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
		// Counting the plan as an unanswered offer spreads the tasks of the job over the
		// agents.
		c.views.AddUnanswered(node, 1, run)
		t.unansweredWork = run
		if !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	c.releaseOffers(r)
	c.claimSequence++
	r.planned = c.claimSequence
	r.claim = message.Claim{
		Owner: c.cfg.Self, Digest: r.digest, Candidates: c.addSpareCandidates(now, r, nodes), Sequence: c.claimSequence,
	}
}

// addSpareCandidates adds spare agents to the candidates, where possible from other failure
// domains than those of the last candidates.
func (c *Coordinator) addSpareCandidates(now time.Time, r *record, nodes []zinniasill.Node) []zinniasill.Node {
	for range spareCandidates {
		tail := nodes[max(0, len(nodes)-spareCandidates):]
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

// releaseOffers removes the plans and unanswered offers of a job from the placement views.
func (c *Coordinator) releaseOffers(r *record) {
	for i := range r.tasks {
		c.releaseOffer(&r.tasks[i])
	}
}

// releaseOffer removes the plan or unanswered offer of a task from the placement views.
func (c *Coordinator) releaseOffer(t *task) {
	if t.unansweredWork == 0 {
		return
	}
	node := t.node
	if t.state == taskWaiting {
		node = t.planned
	}
	c.views.RemoveUnanswered(node, 1, t.unansweredWork)
	t.unansweredWork = 0
}

// startPlacing starts to offer the tasks of an owned job, or closes the job if it was
// cancelled or its deadline has passed.
func (c *Coordinator) startPlacing(now time.Time, r *record) {
	c.transition(r, eventPlace)
	cat := c.cfg.Lease.Catalog()
	if r.cancelled {
		c.close(now, r, zinniasill.ReasonCancelled, "the job was cancelled")
		return
	}
	if !now.Before(r.deadline) {
		c.close(now, r, zinniasill.ReasonDeadline, "the job was claimed too late")
		return
	}
	c.handleLostAgents(now, r, func(node zinniasill.Node) bool { return !cat.RecordsReachable(node) })
}

// offerDueTasks offers the waiting tasks that are due.
func (c *Coordinator) offerDueTasks(now time.Time, r *record) {
	if r.counts[taskWaiting] == 0 {
		c.transition(r, eventPlaced)
		return
	}
	c.transition(r, eventPlace)
	c.timers.push(r, now.Add(placeRetryInterval))
	if r.extending || !c.cfg.Lease.Valid(now) {
		return
	}
	batch := offers{}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state != taskWaiting || now.Before(t.due) {
			continue
		}
		if !c.offerTask(now, r, zinniasill.TaskIndex(i), &batch) && r.extending {
			break
		}
	}
	c.sendOffers(r, r.term, &batch)
	if r.counts[taskWaiting] == 0 {
		c.transition(r, eventPlaced)
	}
}

// offerTask adds one task to the batch of offers. It returns false when no agent can take
// the task or the retry budget is exhausted.
func (c *Coordinator) offerTask(now time.Time, r *record, index zinniasill.TaskIndex, batch *offers) bool {
	t := &r.tasks[index]
	node, ok := c.chooseAgent(now, r, t)
	if !ok {
		t.due = now.Add(placeRetryInterval)
		c.extendCandidates(now, r)
		return false
	}
	if t.chargesBudget && !c.retryBudget.Spend() {
		c.cfg.Counters.Inc(CounterRetryDelayed, "")
		t.due = now.Add(admission.Backoff(c.cfg.Rand, len(t.returnedBy)+1))
		return false
	}
	if t.attempt == 0 {
		c.retryBudget.Earn()
	}
	run := c.runTimes.Expect(r.profile).Mean
	t.chargesBudget = false
	t.node = node
	t.term = r.term
	t.attempt++
	t.due = now.Add(resendTimeout)
	t.startedAt = now
	t.planned = zinniasill.Node{}
	t.unansweredWork = max(run, 1)
	r.transitionTask(t, taskOffer)
	c.views.AddUnanswered(node, 1, t.unansweredWork)
	c.views.RecordOffer(now, node)
	batch.add(node, index, len(r.payloads[index]))
	return true
}

// chooseAgent returns the planned agent of a task if it is still available, else a
// candidate that has not returned the task, else any candidate.
func (c *Coordinator) chooseAgent(now time.Time, r *record, t *task) (zinniasill.Node, bool) {
	// The plan does not apply if the claim of an earlier plan was chosen.
	if t.planned.ID != "" && r.claim.Sequence == r.planned && c.views.Available(now, t.planned) {
		return t.planned, true
	}
	request := placement.Request{Profile: r.profile, Allowed: r.claim.Candidates}
	if request.Allowed == nil {
		return zinniasill.Node{}, false
	}
	request.Exclude = func(node zinniasill.Node) bool { return slices.Contains(t.returnedBy, node) }
	if node, ok := c.views.Pick(now, request); ok {
		return node, true
	}
	request.Exclude = nil
	return c.views.Pick(now, request)
}

// extendCandidates claims the next term for this entry with more candidates. It is called
// when no present candidate can take a task, and does nothing if there are no others.
func (c *Coordinator) extendCandidates(now time.Time, r *record) {
	if r.proposer != nil || r.extending || r.registerUnavailable {
		return
	}
	node, ok := c.views.Pick(now, placement.Request{Profile: r.profile, Exclude: func(n zinniasill.Node) bool {
		return slices.Contains(r.claim.Candidates, n)
	}})
	if !ok {
		return
	}
	c.claimSequence++
	value := r.claim
	value.Sequence = c.claimSequence
	value.Candidates = c.addSpareCandidates(now, r, append(slices.Clone(r.claim.Candidates), node))
	r.extending = true
	c.proposeExtension(now, r, value)
}

// offerBatch is the set of tasks in one offer to an agent.
type offerBatch struct {
	node    zinniasill.Node
	indexes []zinniasill.TaskIndex
	bytes   int
}

// offers collects tasks into batches by agent, in the order of their placement.
type offers struct {
	batches []offerBatch
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
	if at < 0 || o.batches[at].bytes+size > maxOfferBytes {
		at = len(o.batches)
		o.batches = append(o.batches, offerBatch{node: node})
		if at == 1 && o.last == nil {
			// Most jobs use a single agent and need no map.
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
	run := c.runTimes.Expect(r.profile).Mean
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

// resendUnanswered resends the unanswered offers and grants of a job that are due.
func (c *Coordinator) resendUnanswered(now time.Time, r *record) {
	byTerm := map[zinniasill.Term]*offers{}
	for i := range r.tasks {
		t := &r.tasks[i]
		if now.Before(t.due) {
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
		t.due = now.Add(resendTimeout)
	}
	for term := zinniasill.Term(1); len(byTerm) > 0 && term <= r.term; term++ {
		if byTerm[term] != nil {
			c.sendOffers(r, term, byTerm[term])
		}
	}
}

// wakeRunning handles everything that is due in a job that is placing or running tasks. It
// returns the time of the next call.
func (c *Coordinator) wakeRunning(now time.Time, r *record) time.Time {
	if !now.Before(r.deadline) {
		c.close(now, r, zinniasill.ReasonDeadline, "the job did not complete in time")
		return now.Add(claimPollInterval)
	}
	if r.proposer != nil {
		c.tickProposals(now, r)
		if r.done() || r.state != statePlacing && r.state != stateRunning {
			return now.Add(claimPollInterval)
		}
	}
	if r.counts[taskOffered]+r.counts[taskGranted] > 0 {
		c.resendUnanswered(now, r)
	}
	c.pollRunning(now, r)
	if r.counts[taskWaiting] > 0 {
		c.offerDueTasks(now, r)
	}
	if r.done() {
		return now
	}
	return c.nextRunningDue(now, r)
}

// nextRunningDue returns the next time at which something is due in a job that is placing or
// running tasks.
func (c *Coordinator) nextRunningDue(now time.Time, r *record) time.Time {
	due := r.deadline
	if r.proposer != nil {
		due = earliest(due, now.Add(claimPollInterval))
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		switch t.state {
		case taskWaiting:
			due = earliest(due, clampToFuture(now, t.due))
		case taskOffered, taskGranted:
			due = earliest(due, t.due)
		case taskRunning:
			due = earliest(due, clampToFuture(now, r.nextPoll(t)))
		default:
		}
	}
	return due
}

// adopted reports whether a task is running that an earlier owner may have offered.
func (r *record) adopted(t *task) bool {
	return t.state == taskRunning && len(r.priorClaims) > 0
}

// nextPoll returns the time to poll the agent of a running task. Polling is needed because
// the result of an adopted task may have been sent to the earlier owner, and that of a
// long task to an entry that has taken the job over.
func (r *record) nextPoll(t *task) time.Time {
	from := t.startedAt.Add(runPollInterval)
	if r.adopted(t) || from.Before(r.resendAt) {
		return r.resendAt
	}
	return from
}

// pollRunning polls the agents of running tasks with a fence for this entry's term. The
// replies report the states of the tasks and whether a later term exists.
func (c *Coordinator) pollRunning(now time.Time, r *record) {
	var polled []zinniasill.Node
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskRunning && !now.Before(r.nextPoll(t)) && !slices.Contains(polled, t.node) {
			polled = append(polled, t.node)
		}
	}
	for _, node := range polled {
		r.resendAt = now.Add(runPollInterval)
		c.send(node, message.Fence{Key: r.key, Term: r.term, Epoch: r.epoch})
	}
}
