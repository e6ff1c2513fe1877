package dispatch

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/message"
	"zinniasill/core/rendezvous"
	"zinniasill/core/stream"
	"zinniasill/core/subset"
)

const (
	// HeartbeatInterval is the maximum time between two messages to an agent that has
	// tasks of this entry.
	HeartbeatInterval = 150 * time.Millisecond
	// IdleHeartbeatInterval is the same for an agent that has none. Such an agent must
	// have reported within its EntryLease, because it accepts tasks only under a valid
	// lease.
	IdleHeartbeatInterval = 350 * time.Millisecond
	// UnresponsiveTimeout is the time without a report after which an agent with tasks
	// gets no more of them. It covers two heartbeats and a late one.
	UnresponsiveTimeout = 350 * time.Millisecond
	// IdleUnresponsiveTimeout is the same for an agent without tasks. It covers one
	// heartbeat and a late one.
	IdleUnresponsiveTimeout = 600 * time.Millisecond
	// LostTimeout is the time without a report after which all leases on the agent's
	// tasks have expired. It covers this entry's lease at the agent, the time to stop a
	// run, the endpoint's lease, and an allowance of 2% for the rates of clocks.
	LostTimeout = executor.EntryLease + executor.MaxLease + 250*time.Millisecond
	// minReportInterval and maxReportInterval are the limits of the minimum time between
	// two messages in which one agent reports only a changed load.
	minReportInterval = 5 * time.Millisecond
	maxReportInterval = 100 * time.Millisecond
	// waitingReportSpacing is the mean time between such messages from all agents together
	// while tasks wait for free capacity. reportSpacing is the same while none waits: then
	// older reports do, because an agent declines a task that it has no capacity for.
	waitingReportSpacing = time.Millisecond
	reportSpacing        = 4 * time.Millisecond
	// minCallerRetryDelay is the shortest time after which a caller without a usable
	// answer resends its job.
	minCallerRetryDelay = 1300 * time.Millisecond
	// unknownAnswerTimeout is the time without a report from an agent after which a job
	// may be answered with Unknown: all leases will have expired when the caller resends
	// the job.
	unknownAnswerTimeout = LostTimeout - minCallerRetryDelay + 50*time.Millisecond
)

// agent is the entry's recorded state of one agent.
type agent struct {
	id          zinniasill.NodeID
	domain      zinniasill.Domain
	incarnation zinniasill.Incarnation
	session     uint64
	in          stream.Receiver
	out         stream.Sender[message.Command]
	// lastReport is the time at which the newest report arrived, reportSentAt the SentAt
	// in it.
	lastReport   time.Time
	reportSentAt time.Duration
	// echoedSentAt is the highest SentAt that the agent has echoed.
	echoedSentAt   time.Duration
	lastSent       time.Time
	load           message.EndpointLoad
	tasks          map[*task]struct{}
	withdrawn      map[uint64]*withdrawal // by assignment
	handledCommand uint64                 // number of the last command that the agent has processed
	unresponsive   bool
	// respondingSince is the time of the first report, or of the first one after the agent
	// was unresponsive.
	respondingSince time.Time
	// listed is set while control lists the agent. inUse is set while it may get tasks,
	// since inUseSince.
	listed     bool
	inUse      bool
	inUseSince time.Time
	// busySince is when the agent last got tasks while it had none.
	busySince time.Time
	// heartbeatDue is set if the agent needs a message soon to keep its tasks.
	heartbeatDue bool
	hash         uint64
}

func newAgent(member subset.Member, now time.Time) *agent {
	return &agent{
		id: member.ID, domain: member.Domain, session: 1, lastReport: now, tasks: map[*task]struct{}{}, withdrawn: map[uint64]*withdrawal{},
		hash: rendezvous.Hash(string(member.ID)),
	}
}

// idle reports whether the agent has no tasks and no unacknowledged commands.
func (a *agent) idle() bool {
	return len(a.tasks) == 0 && a.out.Pending() == 0
}

// responsive reports whether the newest report is recent enough for new tasks. An agent
// that has just got its first tasks may not have been due to report before.
func (a *agent) responsive(now time.Time) bool {
	silence := now.Sub(a.lastReport)
	if a.idle() || now.Sub(a.busySince) <= UnresponsiveTimeout {
		return silence <= IdleUnresponsiveTimeout
	}
	return silence <= UnresponsiveTimeout
}

// messageDue reports whether commands or a heartbeat are to be sent. An agent that is not
// in use gets heartbeats only while it has tasks.
func (a *agent) messageDue(now time.Time) bool {
	switch {
	case a.out.Due(now), a.heartbeatDue:
		return true
	case !a.idle():
		return now.Sub(a.lastSent) >= HeartbeatInterval
	default:
		return a.inUse && now.Sub(a.lastSent) >= IdleHeartbeatInterval
	}
}

func compareAgents(a, b *agent) int {
	return cmp.Compare(a.id, b.id)
}

// release removes a task from the agent.
func (a *agent) release(t *task) {
	delete(a.tasks, t)
	t.agent = nil
}

// unreportedCPU returns the CPU required by tasks that the agent's report cannot include
// yet, in thousandths of a core.
func (a *agent) unreportedCPU() int64 {
	sum := int64(0)
	for t := range a.tasks {
		if t.command > a.handledCommand {
			sum += t.job.Steps[t.step].Need.MilliCPU
		}
	}
	return sum
}

// Receive handles a report from an agent, or a message of another entry.
func (d *Dispatcher) Receive(now time.Time, env message.Envelope) {
	d.detectPause(now)
	if env.Version == message.Version && d.locks.Receive(now, env) {
		return
	}
	progress, ok := env.Body.(message.Progress)
	if !ok || env.Version != message.Version || progress.Entry != d.cfg.Self.Incarnation {
		return
	}
	a := d.agents[env.From.ID]
	if a == nil {
		return
	}
	if progress.Agent != a.incarnation {
		if a.incarnation != 0 && progress.Echo <= a.echoedSentAt {
			// A delayed report of an earlier incarnation echoes an older message.
			return
		}
		d.replaceIncarnation(now, a, progress)
	}
	// An agent can only echo what was sent. A later time would make it ignored once it
	// restarts.
	progress.Echo = min(progress.Echo, now.Sub(d.firstAgentAt))
	a.applyReport(now, progress)
	if a.unresponsive {
		a.unresponsive = false
		a.respondingSince = now
		a.heartbeatDue = true
		d.record("agent-regained", slog.String("agent", string(a.id)))
	}
	if progress.Session != a.session {
		return
	}
	a.out.Ack(now, progress.Received)
	a.handledCommand = max(a.handledCommand, progress.Received)
	for _, update := range stream.Accept(&a.in, progress.First, progress.Updates) {
		d.update(now, a, update)
	}
	d.placementDue = true
}

// applyReport records the report, unless a newer one arrived before it.
func (a *agent) applyReport(now time.Time, progress message.Progress) {
	a.echoedSentAt = max(a.echoedSentAt, progress.Echo)
	if progress.SentAt < a.reportSentAt {
		return
	}
	a.lastReport = now
	a.reportSentAt = progress.SentAt
	a.load = progress.Load
	if progress.Session != a.session {
		return
	}
	for t := range a.tasks {
		t.started = t.started || slices.Contains(progress.Started, t.assignment)
	}
}

// replaceIncarnation switches to another incarnation of an agent. An incarnation sends
// reports only when no run of an earlier one is left at the endpoint.
func (d *Dispatcher) replaceIncarnation(now time.Time, a *agent, progress message.Progress) {
	if a.incarnation != 0 {
		d.loseAgent(now, a, "agent-restarted")
	} else {
		a.respondingSince = now
	}
	a.incarnation = progress.Agent
	a.reportSentAt = 0
	a.reset()
}

// reset begins a new session. All earlier assignments are abandoned.
func (a *agent) reset() {
	a.session++
	a.in = stream.Receiver{}
	a.out = stream.Sender[message.Command]{}
	a.handledCommand = 0
}

// loseAgent takes back all tasks of an agent on which all leases have expired.
func (d *Dispatcher) loseAgent(now time.Time, a *agent, why string) {
	d.record("agent-lost", slog.String("agent", string(a.id)), slog.String("reason", why),
		slog.Duration("silent", now.Sub(a.lastReport)), slog.Int("tasks", len(a.tasks)))
	a.reset()
	for _, t := range a.sortedTasks() {
		if t.job.ended {
			// The loss of another of its tasks has ended the job.
			continue
		}
		t.job.mayHaveRun = true
		t.lostRuns++
		if !t.started {
			// The agent may have sent a start order that the endpoint still carries out.
			d.finish(now, t.job, Unknown, zinniasill.ReasonOutcomeUnknown)
			continue
		}
		d.handleReturn(now, t, zinniasill.ReasonLeaseExpired)
	}
	d.confirmAll(now, a)
}

// answerOverdue answers the jobs that have tasks at an unresponsive agent and are
// overdue, since their results would come too late to be useful.
func (d *Dispatcher) answerOverdue(now time.Time, a *agent) {
	for _, t := range a.sortedTasks() {
		if !t.job.ended && now.Sub(t.job.arrivedAt) > d.usefulFor(t.job) {
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

// reportInterval returns the interval at which an agent may report only a changed load.
// It grows with the number of agents, so that the rate of these reports at an entry does
// not. The completion of a task is reported at once to the entry that owns the task,
// along with the new load.
func (d *Dispatcher) reportInterval() time.Duration {
	spacing := reportSpacing
	if len(d.unplaced) > 0 {
		spacing = waitingReportSpacing
	}
	return min(max(time.Duration(len(d.sortedAgents))*spacing, minReportInterval), maxReportInterval)
}

// Flush places waiting tasks if placement is due, and sends each agent its commands, or
// a heartbeat if one is due. The daemon loop calls it after each event.
func (d *Dispatcher) Flush(now time.Time) {
	d.takePostponed(now)
	d.flushLocks(now)
	if d.placementDue && !now.Before(d.nextPlacement) {
		d.placeWaiting(now)
	}
	var waitingCPU []int64
	for _, a := range d.sortedAgents {
		d.detectSilence(now, a)
		if !a.messageDue(now) {
			continue
		}
		a.lastSent = now
		a.heartbeatDue = false
		if waitingCPU == nil {
			waitingCPU = d.waitingCPU(now)
		}
		first, commands := a.out.Batch(now)
		d.outbox = append(d.outbox, message.Envelope{
			Version: message.Version,
			To:      zinniasill.Node{ID: a.id},
			Body: message.Assign{
				Entry: d.cfg.Self.Incarnation, Agent: a.incarnation, Session: a.session,
				First: first, Commands: commands, Received: a.in.Last(), Echo: a.reportSentAt, Waiting: waitingCPU,
				SentAt: now.Sub(d.firstAgentAt), ReportInterval: d.reportInterval(),
			},
		})
	}
}

// detectSilence records once that an agent has stopped reporting.
func (d *Dispatcher) detectSilence(now time.Time, a *agent) {
	if a.unresponsive || a.incarnation == 0 || a.responsive(now) || !a.inUse && a.idle() ||
		now.Sub(a.inUseSince) <= IdleUnresponsiveTimeout {
		return
	}
	a.unresponsive = true
	a.inUse = a.inUse && a.listed
	d.suspects = append(d.suspects, a.id)
	d.record("agent-silent", slog.String("agent", string(a.id)), slog.Int("tasks", len(a.tasks)))
}

// waitingCPU returns the CPU required by the waiting tasks, without those that yield, by
// priority, in thousandths of a core.
func (d *Dispatcher) waitingCPU(now time.Time) []int64 {
	sums := make([]int64, message.Priorities)
	for _, t := range d.unplaced {
		if d.cfg.Overload != RefuseLate && d.yields(now, t) {
			continue // It does not delay work of other entries.
		}
		sums[t.job.priorityLevel()] += t.job.Steps[t.step].Need.MilliCPU
	}
	return sums
}
