package servemodel

import (
	"math/rand/v2"
	"strconv"
	"time"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/job"
	"zinniasill/core/message"
	"zinniasill/core/placement"
)

// entryNode is one entry.
type entryNode struct {
	world  *world
	domain int
	lease  *copyOfCatalog
	jobs   *job.Coordinator
}

func (w *world) addEntry(i int) {
	node := &entryNode{world: w, domain: i % w.cfg.Domains, lease: &copyOfCatalog{current: w.catalog}}
	random := rand.New(rand.NewPCG(w.cfg.Seed, uint64(100+i)))
	node.jobs = job.New(job.Config{
		Self: entryID(i), Lease: node.lease, Picker: w.picker(random), Rand: random, Counters: w.result,
	})
	w.entries = append(w.entries, node)
	w.byID[entryID(i).ID] = node
	w.line.every(time.Duration(w.random.Int64N(int64(tick))), tick, func(now time.Time) {
		node.jobs.Tick(now)
		node.flush(now)
	})
}

func (w *world) picker(random *rand.Rand) zinniasill.Picker {
	switch w.cfg.Picker {
	case Random:
		return &placement.Random{Rand: random}
	case RoundRobin:
		return &placement.RoundRobin{}
	default:
		return &placement.BetterOfTwo{Rand: random}
	}
}

func (n *entryNode) domainOf() int { return n.domain }

func (n *entryNode) receive(now time.Time, env message.Envelope) {
	n.jobs.Receive(now, env)
	n.flush(now)
}

func (n *entryNode) flush(now time.Time) {
	n.world.send(n, n.jobs.Outbox())
	for _, reply := range n.jobs.Replies() {
		record := n.world.jobs[reply.Request]
		answer := reply.Answer
		record.answer = &answer
		n.world.answered++
		record.done = now.Sub(epochStart) - warmUp + callerDelay
	}
}

// submit hands a job to an entry chosen by the balancer.
func (w *world) submit(index int) {
	record := w.jobs[index]
	payloads := make([][]byte, len(record.tasks))
	for i, run := range record.tasks {
		payloads[i] = append(encodeRunTime(run), strconv.Itoa(index)...)
	}
	entry := w.entryOf(index)
	w.line.after(callerDelay, func(now time.Time) {
		entry.jobs.Submit(now, job.RequestID(index), message.Submission{
			Key: record.key, Stamp: 1, Profile: profileName, Payloads: payloads,
		})
		entry.flush(now)
	})
}

// entryOf returns the entry that the balancer chooses for a job.
func (w *world) entryOf(index int) *entryNode {
	return w.entries[index%len(w.entries)]
}

// cancelWave cancels a part of the jobs that wait for their answers.
func (w *world) cancelWave(now time.Time) {
	for i, record := range w.jobs {
		if record.answer != nil || warmUp+record.at > now.Sub(epochStart) || w.random.Float64() >= w.cfg.Load.CancelWave {
			continue
		}
		record.cancelled = true
		entry := w.entryOf(i)
		w.line.after(callerDelay, func(now time.Time) {
			entry.jobs.Cancel(now, record.key)
			entry.flush(now)
		})
	}
}

// agentNode is one agent with the endpoint beside it.
type agentNode struct {
	world   *world
	id      zinniasill.Node
	domain  int
	lease   *copyOfCatalog
	agent   *agent.Agent
	dead    bool
	failing bool
}

func (w *world) addAgent(i int) {
	node := &agentNode{world: w, id: agentID(i), domain: i % w.cfg.Domains, lease: &copyOfCatalog{current: w.catalog}}
	for _, failing := range w.cfg.FailAll {
		node.failing = node.failing || failing == i+1
	}
	node.agent = agent.New(agent.Config{
		Self: node.id, Domain: domainName(node.domain), Lease: node.lease, Counters: w.result,
	})
	node.agent.SetEndpoint(w.line.now, w.cfg.Slots, []zinniasill.Kind{taskKind}, true)
	w.agents = append(w.agents, node)
	w.byID[node.id.ID] = node
	w.line.every(time.Duration(w.random.Int64N(int64(tick))), tick, func(now time.Time) {
		if !node.dead {
			node.agent.Tick(now)
			node.flush(now)
		}
	})
}

func (n *agentNode) domainOf() int { return n.domain }

func (n *agentNode) receive(now time.Time, env message.Envelope) {
	if n.dead {
		return
	}
	n.agent.Receive(now, env)
	n.flush(now)
}

func (n *agentNode) flush(now time.Time) {
	for _, task := range n.agent.StartPending(now) {
		n.run(now, task)
	}
	n.world.send(n, n.agent.Outbox())
}

// run runs a task at the endpoint.
func (n *agentNode) run(now time.Time, task zinniasill.Task) {
	duration := decodeRunTime(task.Payload)
	outcome := zinniasill.Outcome{OK: true, Output: task.Payload, Ran: zinniasill.DidRun}
	if n.failing {
		duration = failFastTime
		outcome = zinniasill.Outcome{Error: "endpoint fails everything", Ran: zinniasill.DidRun}
	}
	n.world.result.started(n, now, task)
	n.world.line.after(duration, func(now time.Time) {
		if n.dead {
			return
		}
		n.world.result.finished(n, now, duration)
		n.agent.Finished(now, task, outcome)
		n.flush(now)
	})
}
