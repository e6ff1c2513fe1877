package dispatch

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/message"
	"zinniasill/core/stream"
)

const (
	// HeartbeatInterval is the time between two messages to an agent.
	HeartbeatInterval = 100 * time.Millisecond
	// UnresponsiveTimeout is the time without a report after which an agent gets no new
	// tasks. It spans two heartbeats and a late one.
	UnresponsiveTimeout = 350 * time.Millisecond
	// LostTimeout is the time without a report after which all leases for the agent's
	// tasks have ended: that of this entry at the agent, the time to stop a run, and
	// that of the endpoint, with an allowance of 2% for the rates of clocks.
	LostTimeout = executor.EntryLease + executor.MaxLease + 250*time.Millisecond
	// minNewsEvery is the least time between two reports of an agent that only tell of
	// changed room, newsTime the mean time between such reports of all agents.
	minNewsEvery = 5 * time.Millisecond
	newsTime     = 500 * time.Microsecond
	// callerPause is the shortest time after which a caller without a usable answer
	// sends its job again.
	callerPause = 1300 * time.Millisecond
	// answerAfter is the silence of an agent after which a job may be answered as not
	// known: when its caller sends it again, all leases have ended.
	answerAfter = LostTimeout - callerPause + 50*time.Millisecond
)

// agent is what the entry knows of one agent.
type agent struct {
	id      zinniasill.NodeID
	domain  zinniasill.Domain
	life    zinniasill.Incarnation
	session uint64
	in      stream.Receiver
	out     stream.Sender[message.Command]
	// heard is when the last report arrived and echo the time stamp in it.
	heard time.Time
	echo  time.Duration
	// answered is when the newest message that the agent has answered was sent.
	answered time.Duration
	sent     time.Time
	room     message.EndpointLoad
	tasks    map[*task]struct{}
	taken    uint64 // the last command that the agent has handled
	silent   bool
}

func newAgent(entry AgentEntry, now time.Time) *agent {
	return &agent{id: entry.ID, domain: entry.Domain, session: 1, heard: now, tasks: map[*task]struct{}{}}
}

func compareAgents(a, b *agent) int {
	return cmp.Compare(a.id, b.id)
}

// release forgets that the agent has a task.
func (a *agent) release(t *task) {
	delete(a.tasks, t)
	t.agent = nil
}

// pending returns the processor of the tasks that the agent's report cannot include
// yet, in thousandths of a core.
func (a *agent) pending() int64 {
	sum := int64(0)
	for t := range a.tasks {
		if t.command > a.taken {
			sum += t.job.Steps[t.step].Need.MilliCPU
		}
	}
	return sum
}

// Receive handles a report of an agent.
func (d *Dispatcher) Receive(now time.Time, env message.Envelope) {
	progress, ok := env.Body.(message.Progress)
	if !ok || env.Version != message.Version || progress.Entry != d.cfg.Self.Incarnation {
		return
	}
	a := d.agents[env.From.ID]
	if a == nil {
		return
	}
	if progress.Agent != a.life {
		if a.life != 0 && progress.Echo <= a.answered {
			// A late report of a former life answers what was sent before.
			return
		}
		d.newLife(now, a, progress)
	}
	a.hear(now, progress)
	if a.silent {
		a.silent = false
		d.record("agent-regained", slog.String("agent", string(a.id)))
	}
	if progress.Session != a.session {
		return
	}
	a.out.Ack(now, progress.Received)
	a.taken = max(a.taken, progress.Received)
	for _, update := range stream.Accept(&a.in, progress.First, progress.Updates) {
		d.update(now, a, update)
	}
	d.changed = true
}

// hear takes the report, unless a newer one has overtaken it.
func (a *agent) hear(now time.Time, progress message.Progress) {
	a.answered = max(a.answered, progress.Echo)
	if progress.SentAt < a.echo {
		return
	}
	a.heard = now
	a.echo = progress.SentAt
	a.room = progress.Load
}

// newLife takes over another life of an agent's process. It speaks only when nothing
// of the former one runs at the endpoint.
func (d *Dispatcher) newLife(now time.Time, a *agent, progress message.Progress) {
	if a.life != 0 {
		d.loseAgent(now, a, "agent-restarted")
	}
	a.life = progress.Agent
	a.echo = 0
	a.reset()
}

// reset begins a session: what was assigned before is given up.
func (a *agent) reset() {
	a.session++
	a.in = stream.Receiver{}
	a.out = stream.Sender[message.Command]{}
	a.taken = 0
}

// loseAgent takes back all tasks of an agent whose leases have ended.
func (d *Dispatcher) loseAgent(now time.Time, a *agent, why string) {
	d.record("agent-lost", slog.String("agent", string(a.id)), slog.String("reason", why),
		slog.Duration("silent", now.Sub(a.heard)), slog.Int("tasks", len(a.tasks)))
	a.reset()
	for _, t := range a.sortedTasks() {
		t.job.ran = true
		d.returned(now, t, zinniasill.ReasonLeaseExpired)
	}
}

// answerHopeless answers the jobs with tasks at a silent agent whose outcome would come
// too late to be of use.
func (d *Dispatcher) answerHopeless(now time.Time, a *agent) {
	for _, t := range a.sortedTasks() {
		if !t.job.ended && now.Sub(t.job.arrived) > lateFactor*t.job.goal {
			d.finish(now, t.job, Unknown, zinniasill.ReasonOutcomeUnknown)
		}
	}
}

func (a *agent) sortedTasks() []*task {
	tasks := make([]*task, 0, len(a.tasks))
	for t := range a.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(x, y *task) int {
		return cmp.Or(cmp.Compare(x.job.ID, y.job.ID), cmp.Compare(x.step, y.step), cmp.Compare(x.index, y.index))
	})
	return tasks
}

// newsEvery returns how often an agent may tell of changed room only. It answers load on
// many agents: what an entry hears of their room must not grow with their number. The end
// of a task is told at once to the entry that waits for it, with the room that it leaves.
func (d *Dispatcher) newsEvery() time.Duration {
	return min(max(time.Duration(len(d.order))*newsTime, minNewsEvery), HeartbeatInterval)
}

// Flush places waiting tasks if there is news, and sends each agent its commands, or a
// heartbeat when one is due. The loop calls it after each step.
func (d *Dispatcher) Flush(now time.Time) {
	if d.changed && !now.Before(d.planAfter) {
		d.placeAgain(now)
	}
	var waiting []int64
	for _, a := range d.order {
		if !a.silent && a.life != 0 && now.Sub(a.heard) > UnresponsiveTimeout {
			a.silent = true
			d.record("agent-silent", slog.String("agent", string(a.id)), slog.Int("tasks", len(a.tasks)))
		}
		if !a.out.Due(now) && now.Sub(a.sent) < HeartbeatInterval {
			continue
		}
		a.sent = now
		if waiting == nil {
			waiting = d.waiting()
		}
		first, commands := a.out.Batch(now)
		d.outbox = append(d.outbox, message.Envelope{
			Version: message.Version,
			To:      zinniasill.Node{ID: a.id},
			Body: message.Assign{
				Entry: d.cfg.Self.Incarnation, Agent: a.life, Session: a.session,
				First: first, Commands: commands, Received: a.in.Last(), Echo: a.echo, Waiting: waiting,
				SentAt: now.Sub(d.learned), ReportInterval: d.newsEvery(),
			},
		})
	}
}

// waiting returns the processor that the waiting tasks need, by priority.
func (d *Dispatcher) waiting() []int64 {
	sums := make([]int64, message.Priorities)
	for _, t := range d.unplaced {
		sums[t.job.level()] += t.job.Steps[t.step].Need.MilliCPU
	}
	return sums
}
