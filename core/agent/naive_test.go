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

type taskID struct {
	key   zinniasill.Key
	index zinniasill.TaskIndex
}

type attemptID struct {
	task    taskID
	term    zinniasill.Term
	attempt zinniasill.Attempt
}

// naive states what the agent must never do, from the messages alone: which
// tasks started, which terms the agent acknowledged a fence for, and which
// attempts it called closed.
type naive struct {
	t       *rapid.T
	started map[taskID]bool
	fenced  map[zinniasill.Key]zinniasill.Term
	closed  map[attemptID]bool
	queued  map[attemptID]bool
	granted map[attemptID]bool
	// waiting lists the queued attempts in the order in which the agent told them.
	waiting []attemptID
	// jobs numbers the first of the two jobs that messages are about at present.
	jobs int
}

// stepsPerJob is the number of steps after which messages turn to the next job.
// The tasks of a job soon have all started, and then nothing can go wrong.
const stepsPerJob = 25

// latestWaiting is the number of queued attempts that drawn grants are about.
const latestWaiting = 6

func (n *naive) starts(f *fixture, from int) {
	for _, run := range f.runs[from:] {
		id := taskID{run.Key, run.Index}
		if n.started[id] {
			n.t.Fatalf("%v started twice", id)
		}
		n.started[id] = true
		if !f.lease.valid || !f.lease.catalog.DomainInService(domain) {
			n.t.Fatalf("%v started with lease %t, domain %v", id, f.lease.valid, f.lease.catalog.Domains)
		}
		term := termOf(run.Payload)
		if term < n.fenced[run.Key] {
			n.t.Fatalf("%v of term %d started after the fence for %d", id, term, n.fenced[run.Key])
		}
		attempt := attemptID{id, term, run.Attempt}
		if n.closed[attempt] {
			n.t.Fatalf("%v of term %d started after it was closed", attempt, term)
		}
		if n.queued[attempt] && !n.granted[attempt] {
			n.t.Fatalf("%v started without a grant", attempt)
		}
	}
}

func termOf(payload []byte) zinniasill.Term { return zinniasill.Term(payload[0]) }

func (n *naive) answers(out []message.Envelope) {
	for _, env := range out {
		switch body := env.Body.(type) {
		case message.OfferReply:
			n.statuses(body.Key, body.Term, body.Tasks)
		case message.WithdrawReply:
			n.statuses(body.Key, body.Term, body.Tasks)
		case message.Result:
			n.statuses(body.Key, body.Term, body.Tasks)
		case message.Fetch:
			if body.Term < n.fenced[body.Key] {
				n.t.Fatalf("%v of term %d is fetched after the fence for %d", body.Key, body.Term, n.fenced[body.Key])
			}
		case message.FenceReply:
			n.fenced[body.Key] = max(n.fenced[body.Key], body.Fenced)
			listed := map[zinniasill.TaskIndex]bool{}
			for _, status := range body.Tasks {
				listed[status.Ref.Index] = true
			}
			for id := range n.started {
				if id.key == body.Key && !listed[id.index] {
					n.t.Fatalf("fence reply lacks the started task %v", id)
				}
			}
		}
	}
}

func (n *naive) statuses(key zinniasill.Key, term zinniasill.Term, statuses []message.TaskStatus) {
	for _, status := range statuses {
		id := taskID{key, status.Ref.Index}
		attempt := attemptID{id, term, status.Ref.Attempt}
		started := status.State == message.TaskRunning || status.State == message.TaskFinished
		if started && !n.started[id] {
			n.t.Fatalf("%v reported as %d without a start", id, status.State)
		}
		if status.State == message.TaskClosed {
			if n.started[id] {
				n.t.Fatalf("started task %v reported as closed", attempt)
			}
			n.closed[attempt] = true
		}
		if status.State != message.TaskQueued {
			continue
		}
		if term < n.fenced[key] {
			n.t.Fatalf("%v waits after the fence for term %d", attempt, n.fenced[key])
		}
		if !n.queued[attempt] {
			n.queued[attempt] = true
			n.waiting = append(n.waiting, attempt)
		}
	}
}

// TestAgentAgainstNaive guards against a second start of a task, a start after a
// fence, a close or a missing grant, an attempt that waits after a fence, a start without a lease or in a domain that
// is out, and against answers that contradict what started.
func TestAgentAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(1, 3).Draw(t, "slots"), func(cfg *agent.Config) { cfg.QueueLimit = 3 })
		n := &naive{
			t: t, started: map[taskID]bool{}, fenced: map[zinniasill.Key]zinniasill.Term{},
			closed: map[attemptID]bool{}, queued: map[attemptID]bool{}, granted: map[attemptID]bool{},
		}
		var history []message.Envelope
		finished := 0
		steps := rapid.IntRange(100, 400).Draw(t, "steps")
		for step := range steps {
			from := len(f.runs)
			n.jobs = step / stepsPerJob
			f.out = nil
			switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
			case action < 12:
				env := n.drawMessage(t)
				if len(history) > 0 && rapid.IntRange(0, 2).Draw(t, "repeat") == 0 {
					env = rapid.SampledFrom(history).Draw(t, "old")
				}
				history = append(history, env)
				n.noteGrant(env)
				f.agent.Receive(f.now, env)
				// The loop may handle several messages before it drains.
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
			n.starts(f, from)
			n.answers(f.out)
		}
		f.out = nil
		from := len(f.runs)
		f.drain()
		n.starts(f, from)
		n.answers(f.out)
	})
}

// mostly draws true three times of four. An agent that may not start anything
// returns all its tasks, so that few rules are at work.
func mostly(t *rapid.T, label string) bool { return rapid.IntRange(0, 3).Draw(t, label) > 0 }

func ownerOf(term zinniasill.Term) zinniasill.Node {
	return zinniasill.Node{ID: "entry", Incarnation: zinniasill.Incarnation(term)}
}

func grantOf(id attemptID) message.Envelope {
	refs := []message.TaskRef{ref(id.task.index, id.attempt)}
	return message.Envelope{
		From: ownerOf(id.term), To: self,
		Body: message.Grant{Key: id.task.key, Term: id.term, Tasks: refs},
	}
}

func (n *naive) noteGrant(env message.Envelope) {
	if g, ok := env.Body.(message.Grant); ok {
		for _, ref := range g.Tasks {
			n.granted[attemptID{taskID{g.Key, ref.Index}, g.Term, ref.Attempt}] = true
		}
	}
}

// drawMessage draws a message of the owner of one of three terms; the payload
// carries the term. Some are grants of attempts that the agent called queued: an
// owner that was superseded meanwhile grants them too.
func (n *naive) drawMessage(t *rapid.T) message.Envelope {
	if len(n.waiting) > 0 && rapid.IntRange(0, 3).Draw(t, "grant") == 0 {
		latest := n.waiting[max(0, len(n.waiting)-latestWaiting):]
		return grantOf(rapid.SampledFrom(latest).Draw(t, "waiting"))
	}
	term := zinniasill.Term(rapid.IntRange(1, 3).Draw(t, "term"))
	from := ownerOf(term)
	k := key(strconv.Itoa(n.jobs + rapid.IntRange(0, 1).Draw(t, "key")))
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
