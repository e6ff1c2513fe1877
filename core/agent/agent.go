// Package agent is the state machine of an agent: it alone starts tasks at the
// endpoint beside it, and it keeps the record of what it started.
//
//	a := agent.New(agent.Config{Self: self, Domain: domain, Lease: lease, Counters: counters})
//	a.SetEndpoint(now, slots, kinds, true)
//	a.Receive(now, envelope)
//	for _, task := range a.Runs(now) {
//		go run(task) // ends with a.Finished(now, task, outcome) on the loop
//	}
//	for _, env := range a.Outbox() {
//		link.Send(env)
//	}
//
// Runs must be called after each step and before Outbox: a task that is to start
// is recorded as started by Runs, after a last check of the lease and the
// failure domain, and answers about it wait for that.
package agent

import (
	"time"

	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

const (
	// DefaultQueueLimit is the highest number of queued tasks.
	DefaultQueueLimit = 1024
	// DefaultOutputBudget is the highest size of the kept outputs in bytes.
	DefaultOutputBudget = 16 << 20

	// resendWait is the time after which a fetch or a part of a handover is sent
	// again.
	resendWait = 200 * time.Millisecond
	// resultWait is the time after which a result is sent again. It is longer than
	// the time for which owners may keep an acknowledgement back.
	resultWait = 600 * time.Millisecond
	// fetchLimit is the time after which a fetch without a grant frees its slot.
	fetchLimit = time.Second
	// deadOwnerWait spaces the reports to an owner that is not in the catalog.
	deadOwnerWait = 2 * time.Second
)

// Names of counters. A reason is their label.
const (
	CounterStarted   = "agent_tasks_started"
	CounterFinished  = "agent_tasks_finished"
	CounterClosed    = "agent_attempts_closed"
	CounterEvicted   = "agent_outputs_evicted"
	CounterWrongIncarnation = "agent_messages_for_other_incarnation"
	CounterWrongOwner   = "agent_messages_from_other_owner"
	CounterExpiredEpoch   = "agent_messages_for_expired_epoch"
	CounterIllegalEvent   = "agent_illegal_events"
	CounterOrphanedOutcome     = "agent_outcomes_without_run"
)

// Lease is the agent's lease from control and the catalog that came with it.
type Lease interface {
	// Valid reports whether the lease is in force.
	Valid(now time.Time) bool
	// Catalog returns the newest catalog. It is not modified by the agent.
	Catalog() *catalog.Catalog
}

// Config configures an Agent.
type Config struct {
	Self   zinniasill.Node
	Domain zinniasill.Domain
	Lease  Lease
	// QueueLimit is DefaultQueueLimit if 0.
	QueueLimit int
	// OutputBudget in bytes is DefaultOutputBudget if 0.
	OutputBudget int
	// RecordLimit in bytes is DefaultRecordLimit if 0. From there on the agent takes no
	// job and no register that it has no record of, and hosts no records of others.
	RecordLimit int
	Counters    zinniasill.Counters
}

// Agent is the state machine. Use New. It is not safe for concurrent use.
type Agent struct {
	cfg      Config
	acceptor *claim.Acceptor
	hosted   []*Agent
	frozen   bool
	incoming map[zinniasill.Node]*incoming
	outgoing *outgoing

	slots   int
	kinds   []zinniasill.Kind
	serving bool
	leaving bool

	// jobs are those that have not ended, and ended the encoded others.
	jobs  map[zinniasill.Key]*job
	ended archive.Archive
	// touched are jobs that may have ended in this step, and live counts the tasks
	// in jobs.
	touched []*job
	live    int
	owners  archive.NodeTable
	// refused is the latest epoch in which a job was refused for want of room, and
	// refusing is set when the agent takes no job at all.
	refused  zinniasill.Epoch
	refusing bool
	oldest   zinniasill.Epoch
	// expiring is set while a job of an epoch before oldest is kept.
	expiring bool
	queue    queue
	fetching []*task
	pending  []*task // offered or granted, to be started by Runs
	reserved int     // slots of pending and fetching tasks
	running  map[*task]struct{}
	// runningWork is the sum of the expected run times of the running tasks and
	// their start times relative to origin.
	runningWork time.Duration
	origin      time.Time

	reporting []*job // jobs with results to be acknowledged
	fresh     []*job // jobs with results that were never sent
	outputs   archive.Outputs[[]byte]
	failed    uint64
	succeeded uint64

	now     time.Time
	replies []reply
	outbox  []message.Envelope
	// heldReplies and heldResults wait for another message to their receivers.
	heldReplies []reply
	heldResults []*job
}

// New returns an agent without an endpoint.
func New(cfg Config) *Agent {
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = DefaultQueueLimit
	}
	if cfg.OutputBudget == 0 {
		cfg.OutputBudget = DefaultOutputBudget
	}
	if cfg.RecordLimit == 0 {
		cfg.RecordLimit = DefaultRecordLimit
	}
	a := &Agent{
		cfg:      cfg,
		acceptor: claim.NewAcceptor(cfg.Self),
		incoming: map[zinniasill.Node]*incoming{},
		jobs:     map[zinniasill.Key]*job{},
		running:  map[*task]struct{}{},
		outputs:  archive.Outputs[[]byte]{Budget: cfg.OutputBudget},
	}
	a.acceptor.SetFullFunc(a.isFullFor)
	return a
}

// Restart discards all state and continues as another incarnation. It is called
// when control has declared the present one dead. The caller must first cancel
// the runs in progress and drop their outcomes.
func (a *Agent) Restart(node zinniasill.Node) {
	cfg := a.cfg
	cfg.Self = node
	fresh := New(cfg)
	fresh.slots, fresh.kinds, fresh.serving = a.slots, a.kinds, a.serving
	fresh.leaving = a.leaving
	*a = *fresh
	a.acceptor.SetFullFunc(a.isFullFor)
}

// SetEndpoint tells the state of the endpoint. Zero slots mean that it is gone:
// running tasks then end with an unknown outcome.
func (a *Agent) SetEndpoint(now time.Time, slots int, kinds []zinniasill.Kind, serving bool) {
	a.setNow(now)
	a.slots = slots
	a.kinds = kinds
	a.serving = serving
	if slots == 0 {
		a.failRunning(now)
	}
	a.settle(now)
}

// Leave makes the agent return its queued tasks and take no new ones.
func (a *Agent) Leave(now time.Time) {
	a.setNow(now)
	a.leaving = true
	a.settle(now)
}

// Idle reports whether nothing runs or waits and every result is acknowledged.
// Results that are owed to an entry not in the catalog do not count: only a
// takeover collects them, and it also finds them at the host of a handover.
func (a *Agent) Idle() bool {
	if len(a.running) > 0 || a.reserved > 0 || a.queue.count > 0 {
		return false
	}
	for _, j := range a.reporting {
		if len(j.unacked) > 0 && a.ownerAlive(j) {
			return false
		}
	}
	return true
}

// Receive implements daemon.Machine.
func (a *Agent) Receive(now time.Time, env message.Envelope) {
	if env.To != a.cfg.Self {
		a.receiveHosted(now, env)
		return
	}
	if _, ok := env.Body.(message.Bundle); ok {
		for _, part := range message.Split([]message.Envelope{env}) {
			a.Receive(now, part)
		}
		return
	}
	if a.receiveHandover(now, env) || a.frozen {
		return
	}
	a.setNow(now)
	if a.receiveClaim(env) {
		return
	}
	switch body := env.Body.(type) {
	case message.Offer:
		a.offer(now, env.From, body)
	case message.Grant:
		a.grant(now, env.From, body)
	case message.Withdraw:
		a.withdraw(env.From, body)
	case message.Fence:
		a.fence(env.From, body)
	case message.ResultAck:
		a.acknowledge(env.From, body)
	}
	a.settle(now)
}

// receiveClaim answers claim messages and reports whether env was one.
func (a *Agent) receiveClaim(env message.Envelope) bool {
	if answer, ok := a.acceptor.Handle(env.Body); ok {
		a.countFull(answer)
		a.send(env.From, answer)
		return true
	}
	batch, ok := env.Body.(message.ClaimBatch)
	if !ok {
		return false
	}
	if answers, ok := a.acceptor.HandleBatch(batch); ok {
		for _, answer := range answers.Replies {
			a.countFull(answer)
		}
		a.send(env.From, answers)
	}
	return true
}

func (a *Agent) countFull(answer message.ClaimReply) {
	if answer.Full {
		a.count(CounterClaimRefused, zinniasill.ReasonRecordsFull)
	}
}

// Tick implements daemon.Machine.
func (a *Agent) Tick(now time.Time) {
	a.resendHandover(now)
	if a.frozen {
		return
	}
	a.setNow(now)
	a.dropExpired()
	a.dropIncoming()
	a.settle(now)
	a.resendFetches(now)
	a.resendResults(now)
	for _, h := range a.hosted {
		h.Tick(now)
	}
}

// StartPending returns the tasks to start now and records them as started. Those that
// may not start any more are returned to their owners instead.
func (a *Agent) StartPending(now time.Time) []zinniasill.Task {
	if len(a.pending) == 0 {
		return nil
	}
	a.setNow(now)
	if reason := a.refusal(now); reason != "" {
		a.returnWaiting(reason)
		return nil
	}
	runs := make([]zinniasill.Task, 0, len(a.pending))
	for _, t := range a.pending {
		if a.start(now, t) {
			runs = append(runs, zinniasill.Task{
				Key: t.job.key, Index: t.index, Attempt: t.attempt, Profile: t.profile, Payload: t.payload,
			})
			t.payload = nil
		}
	}
	a.pending = a.pending[:0]
	return runs
}

// refusal returns why no task may start now, empty if one may.
func (a *Agent) refusal(now time.Time) zinniasill.Reason {
	switch {
	case a.leaving || a.frozen:
		return zinniasill.ReasonLeaving
	case a.slots == 0:
		return zinniasill.ReasonNoEndpoint
	case !a.serving:
		return zinniasill.ReasonLeaving
	case !a.cfg.Lease.Valid(now):
		return zinniasill.ReasonLeaseExpired
	}
	current := a.cfg.Lease.Catalog()
	switch {
	case !current.DomainInService(a.cfg.Domain):
		return zinniasill.ReasonDomainOut
	case current.Endpoints[a.cfg.Self.ID].State == catalog.Leaving:
		return zinniasill.ReasonLeaving
	default:
		return ""
	}
}

// settle returns the waiting tasks when none may start, and fetches queued tasks
// for free slots otherwise.
func (a *Agent) settle(now time.Time) {
	if a.queue.count == 0 && a.reserved == 0 {
		return
	}
	if reason := a.refusal(now); reason != "" {
		a.returnWaiting(reason)
		return
	}
	for a.free() > 0 && a.queue.count > 0 {
		a.fetch(now, a.queue.pop())
	}
}

func (a *Agent) free() int { return a.slots - len(a.running) - a.reserved }

// setNow keeps the latest reading for load reports.
func (a *Agent) setNow(now time.Time) {
	if a.origin.IsZero() {
		a.origin = now
	}
	a.now = now
}

func (a *Agent) count(name string, reason zinniasill.Reason) {
	if a.cfg.Counters != nil {
		a.cfg.Counters.Inc(name, reason)
	}
}

func (a *Agent) send(to zinniasill.Node, body any) {
	a.outbox = append(a.outbox, message.Envelope{From: a.cfg.Self, To: to, Body: body})
}
