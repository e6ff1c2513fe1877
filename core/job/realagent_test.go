package job

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/message"
)

// realAgent runs the state machine of package agent in place of the fake.
type realAgent struct {
	*agent.Agent
	simulation *simulation
	lease      *fixedLease
	running    []zinniasill.Task
}

// useRealAgents replaces the fake agents. A record limit of 0 selects the default.
func (s *simulation) useRealAgents(recordLimit int) {
	for _, fake := range s.agents {
		lease := &fixedLease{valid: true, simulation: s}
		entry := s.versions[0].Nodes[fake.node.ID]
		machine := agent.New(agent.Config{Self: fake.node, Domain: entry.Domain, Lease: lease, Counters: s.counters, RecordLimit: recordLimit})
		machine.SetEndpoint(s.now, entry.Slots, entry.Kinds, true)
		fake.real = &realAgent{Agent: machine, simulation: s, lease: lease}
	}
}

// flush collects the outputs of the agent after a call.
func (r *realAgent) flush() {
	for _, run := range r.StartPending(r.simulation.now) {
		r.simulation.recordStart(run.Key, run.Index)
		r.running = append(r.running, run)
	}
	r.simulation.inFlight = append(r.simulation.inFlight, message.Split(r.Outbox())...)
}

func (r *realAgent) receive(from, to zinniasill.Node, body any) {
	r.Receive(r.simulation.now, message.Envelope{From: from, To: to, Body: body})
	r.flush()
}

// read reads a register of the agent on behalf of the test.
func (r *realAgent) read(node zinniasill.Node, register message.Register) (reply message.ClaimReply) {
	test := zinniasill.Node{ID: "test"}
	r.Receive(r.simulation.now, message.Envelope{From: test, To: node, Body: message.ClaimRead{Register: register}})
	for _, env := range message.Split(r.Outbox()) {
		if env.To != test {
			r.simulation.inFlight = append(r.simulation.inFlight, env)
		} else if answer, ok := env.Body.(message.ClaimReply); ok {
			reply = answer
		}
	}
	return reply
}

func (r *realAgent) tick() {
	r.Tick(r.simulation.now)
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
	r.Finished(r.simulation.now, run, outcome)
	r.flush()
}

// TestGuaranteesWithRealAgents guards against a coordinator and an agent that interpret a
// message differently, which the fake agent cannot reveal.
func TestGuaranteesWithRealAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]int{0, 0, 800, 3000}).Draw(t, "agent record limit")
		s := runChaosWith(t, nil, func(s *simulation) { s.useRealAgents(limit) })
		for _, failure := range s.failures {
			t.Error(failure)
		}
		for _, name := range []string{CounterUnexpected + "/job", agent.CounterIllegalEvent + "/", agent.CounterOrphanedOutcome + "/"} {
			if n := s.counters[name]; n > 0 {
				t.Errorf("%s is %d", name, n)
			}
		}
	})
}

// TestRealAgentsCompleteJobs guards against queued tasks that wait for a resend, and
// against more messages for each task than planned.
func TestRealAgentsCompleteJobs(t *testing.T) {
	cases := map[string]struct{ tasks, agents, slots int }{
		"one task":        {1, 3, 10},
		"many tasks":      {530, 100, 10},
		"more than slots": {40, 3, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, c.agents, c.slots, 1)
			s.useRealAgents(0)
			s.submit(s.entries[0], "a", "proof", c.tasks)
			for range 100 {
				s.runFor(10 * time.Millisecond)
			}
			s.requireComplete(t, 1)
			perTask := float64(s.delivered) / float64(c.tasks)
			t.Logf("%.2f messages per task with the claim", perTask)
			if c.tasks > 1 && perTask > 4 {
				t.Fatal("more than 4 messages per task")
			}
		})
	}
}
