package agent_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// taskID identifies a task.
type taskID struct {
	key   zinniasill.Key
	index zinniasill.TaskIndex
}

// attemptID identifies an attempt of a task in a term.
type attemptID struct {
	task    taskID
	term    zinniasill.Term
	attempt zinniasill.Attempt
}

// checker checks invariants of the agent. It derives them from the messages alone:
// which tasks have started, the term of the highest acknowledged fence of each job, and
// which attempts were reported as closed or queued.
type checker struct {
	t       *rapid.T
	started map[taskID]bool
	fenced  map[zinniasill.Key]zinniasill.Term
	closed  map[attemptID]bool
	queued  map[attemptID]bool
	granted map[attemptID]bool
	// waiting lists the queued attempts in the order in which the agent reported them.
	waiting []attemptID
	// firstJob is the number of the first of the two jobs that drawn messages refer to.
	firstJob int
}

// operationsPerJob is the number of operations after which drawn messages refer to the
// next job. The tasks of a job have soon all started, and no invariant can be violated
// then.
const operationsPerJob = 25

// maxGrantCandidates is the number of latest queued attempts from which grants are
// drawn.
const maxGrantCandidates = 6

// checkStarts checks the tasks that have started since f.runs had length from.
func (c *checker) checkStarts(f *fixture, from int) {
	for _, run := range f.runs[from:] {
		id := taskID{run.Key, run.Index}
		if c.started[id] {
			c.t.Fatalf("%v started twice", id)
		}
		c.started[id] = true
		if !f.lease.valid || !f.lease.catalog.DomainInService(domain) {
			c.t.Fatalf("%v started with lease %t, domain %v", id, f.lease.valid, f.lease.catalog.Domains)
		}
		term := termOf(run.Payload)
		if term < c.fenced[run.Key] {
			c.t.Fatalf("%v of term %d started after a fence for term %d", id, term, c.fenced[run.Key])
		}
		attempt := attemptID{id, term, run.Attempt}
		if c.closed[attempt] {
			c.t.Fatalf("%v of term %d started after it was closed", attempt, term)
		}
		if c.queued[attempt] && !c.granted[attempt] {
			c.t.Fatalf("%v started without a grant", attempt)
		}
	}
}

// termOf returns the term that a drawn payload carries.
func termOf(payload []byte) zinniasill.Term { return zinniasill.Term(payload[0]) }

// checkMessages checks the messages that the agent sent.
func (c *checker) checkMessages(out []message.Envelope) {
	for _, env := range out {
		switch body := env.Body.(type) {
		case message.OfferReply:
			c.checkStatuses(body.Key, body.Term, body.Tasks)
		case message.WithdrawReply:
			c.checkStatuses(body.Key, body.Term, body.Tasks)
		case message.Result:
			c.checkStatuses(body.Key, body.Term, body.Tasks)
		case message.Fetch:
			if body.Term < c.fenced[body.Key] {
				c.t.Fatalf("%v of term %d is fetched after a fence for term %d", body.Key, body.Term, c.fenced[body.Key])
			}
		case message.FenceReply:
			c.fenced[body.Key] = max(c.fenced[body.Key], body.Fenced)
			listed := map[zinniasill.TaskIndex]bool{}
			for _, status := range body.Tasks {
				listed[status.Ref.Index] = true
			}
			for id := range c.started {
				if id.key == body.Key && !listed[id.index] {
					c.t.Fatalf("fence reply does not list the started task %v", id)
				}
			}
		}
	}
}

// checkStatuses checks reported states of tasks.
func (c *checker) checkStatuses(key zinniasill.Key, term zinniasill.Term, statuses []message.TaskStatus) {
	for _, status := range statuses {
		id := taskID{key, status.Ref.Index}
		attempt := attemptID{id, term, status.Ref.Attempt}
		started := status.State == message.TaskRunning || status.State == message.TaskFinished
		if started && !c.started[id] {
			c.t.Fatalf("%v reported in state %d although it has not started", id, status.State)
		}
		if status.State == message.TaskClosed {
			if c.started[id] {
				c.t.Fatalf("started task %v reported as closed", attempt)
			}
			c.closed[attempt] = true
		}
		if status.State != message.TaskQueued {
			continue
		}
		if term < c.fenced[key] {
			c.t.Fatalf("%v is queued after a fence for term %d", attempt, c.fenced[key])
		}
		if !c.queued[attempt] {
			c.queued[attempt] = true
			c.waiting = append(c.waiting, attempt)
		}
	}
}

// TestAgentInvariants guards against a second start of a task; a start after a fence,
// after a close, without a grant, without a lease or in a domain that is out; an
// attempt that is queued after a fence; and replies that contradict which tasks have
// started.
func TestAgentInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(1, 3).Draw(t, "slots"), func(cfg *agent.Config) { cfg.QueueLimit = 3 })
		c := &checker{
			t: t, started: map[taskID]bool{}, fenced: map[zinniasill.Key]zinniasill.Term{},
			closed: map[attemptID]bool{}, queued: map[attemptID]bool{}, granted: map[attemptID]bool{},
		}
		var history []message.Envelope
		finished := 0
		operations := rapid.IntRange(100, 400).Draw(t, "steps")
		for operation := range operations {
			from := len(f.runs)
			c.firstJob = operation / operationsPerJob
			f.out = nil
			switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
			case action < 12:
				env := c.drawMessage(t)
				if len(history) > 0 && rapid.IntRange(0, 2).Draw(t, "repeat") == 0 {
					env = rapid.SampledFrom(history).Draw(t, "old")
				}
				history = append(history, env)
				c.recordGrant(env)
				f.agent.Receive(f.now, env)
				// The event loop may handle several messages before it drains.
				if rapid.Bool().Draw(t, "drain") {
					f.drain()
				}
			case action < 15 && finished < len(f.runs):
				f.finish(f.runs[finished], zinniasill.Outcome{OK: rapid.Bool().Draw(t, "ok")})
				finished++
			case action < 16:
				f.lease.valid = mostly(t, "valid")
			case action < 17:
				f.lease.setDomain(catalog.DomainOutOfService)
				if mostly(t, "in") {
					f.lease.setDomain(catalog.DomainInService)
				}
			case action < 18:
				f.agent.SetEndpoint(f.now, rapid.IntRange(0, 3).Draw(t, "slots"), []zinniasill.Kind{kind}, mostly(t, "serving"))
			default:
				f.tick(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
			}
			c.checkStarts(f, from)
			c.checkMessages(f.out)
		}
		f.out = nil
		from := len(f.runs)
		f.drain()
		c.checkStarts(f, from)
		c.checkMessages(f.out)
	})
}

// mostly draws true with probability 3/4. An agent that may not start tasks returns all
// of them, so most invariants are not exercised then.
func mostly(t *rapid.T, label string) bool { return rapid.IntRange(0, 3).Draw(t, label) > 0 }

// ownerOf returns the owner of all jobs in a term.
func ownerOf(term zinniasill.Term) zinniasill.Node {
	return zinniasill.Node{ID: "entry", Incarnation: zinniasill.Incarnation(term)}
}

// grantOf returns the owner's grant of an attempt.
func grantOf(id attemptID) message.Envelope {
	refs := []message.TaskRef{ref(id.task.index, id.attempt)}
	return message.Envelope{
		From: ownerOf(id.term), To: self,
		Body: message.Grant{Key: id.task.key, Term: id.term, Tasks: refs},
	}
}

// recordGrant records the attempts that a message grants.
func (c *checker) recordGrant(env message.Envelope) {
	if g, ok := env.Body.(message.Grant); ok {
		for _, ref := range g.Tasks {
			c.granted[attemptID{taskID{g.Key, ref.Index}, g.Term, ref.Attempt}] = true
		}
	}
}

// drawMessage draws a message from the owner of one of three terms; the payload carries
// the term. Some messages are grants of attempts that the agent reported as queued,
// since an owner that is superseded meanwhile also sends these.
func (c *checker) drawMessage(t *rapid.T) message.Envelope {
	if len(c.waiting) > 0 && rapid.IntRange(0, 3).Draw(t, "grant") == 0 {
		latest := c.waiting[max(0, len(c.waiting)-maxGrantCandidates):]
		return grantOf(rapid.SampledFrom(latest).Draw(t, "waiting"))
	}
	term := zinniasill.Term(rapid.IntRange(1, 3).Draw(t, "term"))
	from := ownerOf(term)
	k := key(strconv.Itoa(c.firstJob + rapid.IntRange(0, 1).Draw(t, "key")))
	r := ref(zinniasill.TaskIndex(rapid.IntRange(0, 2).Draw(t, "index")), zinniasill.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt")))
	refs := []message.TaskRef{r}
	var body any
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0, 1, 2, 3:
		o := offer(k.Client, term, r)
		o.Tasks[0].Payload = []byte{byte(term)}
		body = o
	case 4, 5, 6:
		body = message.Grant{Key: k, Term: term, Tasks: refs}
	case 7:
		body = message.Withdraw{Key: k, Term: term, Epoch: 5, Tasks: refs}
	case 8, 9:
		body = message.Fence{Key: k, Term: term, Epoch: 5}
	default:
		body = message.ResultAck{Key: k, Term: term, Tasks: refs}
	}
	return message.Envelope{From: from, To: self, Body: body}
}
