package job

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/message"
)

// realAgent runs the agent's own state machine in place of the naive one.
type realAgent struct {
	*agent.Agent
	world   *world
	lease   *fixedLease
	running []zinniasill.Task
}

// useRealAgents replaces the naive agents. A limit of 0 is the default.
func (w *world) useRealAgents(recordLimit int) {
	for _, fake := range w.agents {
		lease := &fixedLease{valid: true, world: w}
		entry := w.versions[0].Nodes[fake.node.ID]
		machine := agent.New(agent.Config{Self: fake.node, Domain: entry.Domain, Lease: lease, Counters: w.counts, RecordLimit: recordLimit})
		machine.SetEndpoint(w.now, entry.Slots, entry.Kinds, true)
		fake.real = &realAgent{Agent: machine, world: w, lease: lease}
	}
}

// flush takes the agent's outputs after a step.
func (r *realAgent) flush() {
	for _, run := range r.StartPending(r.world.now) {
		r.world.started(run.Key, run.Index)
		r.running = append(r.running, run)
	}
	r.world.flight = append(r.world.flight, message.Split(r.Outbox())...)
}

func (r *realAgent) receive(from, to zinniasill.Node, body any) {
	r.Receive(r.world.now, message.Envelope{From: from, To: to, Body: body})
	r.flush()
}

// read asks the agent for a register on behalf of the test.
func (r *realAgent) read(node zinniasill.Node, register message.Register) (reply message.ClaimReply) {
	test := zinniasill.Node{ID: "test"}
	r.Receive(r.world.now, message.Envelope{From: test, To: node, Body: message.ClaimRead{Register: register}})
	for _, env := range message.Split(r.Outbox()) {
		if env.To != test {
			r.world.flight = append(r.world.flight, env)
		} else if answer, ok := env.Body.(message.ClaimReply); ok {
			reply = answer
		}
	}
	return reply
}

func (r *realAgent) tick() {
	r.Tick(r.world.now)
	r.flush()
}

// finishOne ends the oldest running task.
func (r *realAgent) finishOne(fails bool) {
	if len(r.running) == 0 {
		return
	}
	run := r.running[0]
	r.running = r.running[1:]
	outcome := zinniasill.Outcome{OK: !fails, Output: []byte(output(run.Key, run.Index)), Ran: zinniasill.DidRun}
	r.Finished(r.world.now, run, outcome)
	r.flush()
}

// Guards against the coordinator and the agent understanding a message
// differently. The naive agent can't show that.
func TestGuaranteesWithRealAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]int{0, 0, 800, 3000}).Draw(t, "agent's records")
		w := runChaosWith(t, nil, func(w *world) { w.useRealAgents(limit) })
		for _, failure := range w.failures {
			t.Error(failure)
		}
		for _, name := range []string{CounterUnexpected + "/job", agent.CounterIllegalEvent + "/", agent.CounterOrphanedOutcome + "/"} {
			if n := w.counts[name]; n > 0 {
				t.Errorf("%s is %d", name, n)
			}
		}
	})
}

// Guards against queued tasks that wait for a resend, and against more messages
// for each task than planned.
func TestRealAgentsCompleteJobs(t *testing.T) {
	cases := map[string]struct{ tasks, agents, slots int }{
		"one task":        {1, 3, 10},
		"many tasks":      {530, 100, 10},
		"more than slots": {40, 3, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, c.agents, c.slots, 1)
			w.useRealAgents(0)
			w.submit(w.entries[0], "a", "proof", c.tasks)
			for range 100 {
				w.settleAll(10 * time.Millisecond)
			}
			w.complete(t, 1)
			perTask := float64(w.delivered) / float64(c.tasks)
			t.Logf("%.2f messages per task with the claim", perTask)
			if c.tasks > 1 && perTask > 4 {
				t.Fatal("more than 4 messages per task")
			}
		})
	}
}
