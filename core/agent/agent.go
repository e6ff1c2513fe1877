// Package agent implements the state machine of an agent. Only the agent starts tasks
// at the endpoint beside it, and it records every task that it has started.
//
//	a := agent.New(agent.Config{Self: self, Domain: domain, Lease: lease, Counters: counters})
//	a.SetEndpoint(now, slots, kinds, true)
//	a.Receive(now, envelope)
//	for _, task := range a.StartPending(now) {
//		go run(task) // when done, a.Finished(now, task, outcome) is called on the event loop
//	}
//	for _, env := range a.Outbox() {
//		link.Send(env)
//	}
//
// After every event, StartPending must be called before Outbox. It checks the lease and
// the failure domain a last time and records the pending tasks as started, or closes
// them. Replies about these tasks are composed only after that.
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
	// DefaultQueueLimit is the default maximum number of queued tasks.
	DefaultQueueLimit = 1024
	// DefaultOutputBudget is the default maximum total size of the retained outputs, in
	// bytes.
	DefaultOutputBudget = 16 << 20

	// resendInterval is the time after which an unanswered fetch or handover part is
	// resent.
	resendInterval = 200 * time.Millisecond
	// resultResendInterval is the time after which an unacknowledged result is resent.
	// It exceeds the time for which an owner may defer an acknowledgement.
	resultResendInterval = 600 * time.Millisecond
	// fetchTimeout is the time after which a fetch without a grant releases its slot.
	fetchTimeout = time.Second
	// deadOwnerResendInterval is the interval at which results are resent to an owner
	// that is not in the catalog.
	deadOwnerResendInterval = 2 * time.Second
)

// Names of the agent's counters. The label of a counter is a reason.
const (
	CounterStarted          = "agent_tasks_started"
	CounterFinished         = "agent_tasks_finished"
	CounterClosed           = "agent_attempts_closed"
	CounterEvicted          = "agent_outputs_evicted"
	CounterWrongIncarnation = "agent_messages_for_other_incarnation"
	CounterWrongOwner       = "agent_messages_from_other_owner"
	CounterExpiredEpoch     = "agent_messages_for_expired_epoch"
	CounterIllegalEvent     = "agent_illegal_events"
	CounterOrphanedOutcome  = "agent_outcomes_without_run"
)

// Lease is the agent's lease from control and the catalog received with it.
type Lease interface {
	// Valid reports whether the lease is in force at now.
	Valid(now time.Time) bool
	// Catalog returns the latest catalog. The agent does not modify it.
	Catalog() *catalog.Catalog
}

// Config configures an Agent.
type Config struct {
	Self   zinniasill.Node
	Domain zinniasill.Domain
	Lease  Lease
	// QueueLimit is the maximum number of queued tasks, DefaultQueueLimit if 0.
	QueueLimit int
	// OutputBudget is the maximum total size of the retained outputs in bytes,
	// DefaultOutputBudget if 0.
	OutputBudget int
	// RecordLimit is the limit of the size of the records and registers in bytes,
	// DefaultRecordLimit if 0. At the limit the agent accepts no job or register that
	// it has no record of, and does not become the host of further records.
	RecordLimit int
	Counters    zinniasill.Counters
}

// Agent is the state machine of an agent. Use New to create one. It is not safe for
// concurrent use.
type Agent struct {
	cfg      Config
	acceptor *claim.Acceptor
	hosted   []*Agent
	frozen   bool
	incoming map[zinniasill.Node]*incoming
	// refusedSenders are the agents whose records were refused, with the reason. A refusal
	// is final, because the sender names another host after it.
	refusedSenders map[zinniasill.Node]zinniasill.Reason
	outgoing       *outgoing

	slots   int
	kinds   []zinniasill.Kind
	serving bool
	leaving bool

	// jobs are the records in use. archived holds the encoded records of jobs whose
	// tasks have all ended and whose owner has acknowledged that.
	jobs     map[zinniasill.Key]*job
	archived archive.Archive
	// dirty are the jobs used since the last call of archiveJobs, which may now be
	// archivable. liveTasks counts the tasks in jobs.
	dirty     []*job
	liveTasks int
	owners    archive.NodeTable
	// refusedEpoch is the latest epoch of a job that was refused because the records
	// were full. refuseNewJobs makes the agent refuse every job that it has no record
	// of.
	refusedEpoch  zinniasill.Epoch
	refuseNewJobs bool
	oldestEpoch   zinniasill.Epoch
	// retainsExpired is set while a job of an epoch before oldestEpoch is retained.
	retainsExpired bool
	queue          queue
	fetching       []*task
	pending        []*task // offered or granted, and to be started by StartPending
	reserved       int     // slots reserved for pending and fetching tasks
	running        map[*task]struct{}
	// runningWork is the sum, over the running tasks, of the expected run time and the
	// start time relative to origin.
	runningWork time.Duration
	origin      time.Time

	reporting []*job // jobs with unacknowledged results
	unsent    []*job // jobs with results that have not been sent yet
	outputs   archive.Outputs[[]byte]
	failed    uint64
	succeeded uint64

	now     time.Time
	replies []reply
	outbox  []message.Envelope
	// deferredReplies and deferredResults are sent with the next message to their
	// recipients, or when their maximum delay is over.
	deferredReplies []reply
	deferredResults []*job
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
		cfg:            cfg,
		acceptor:       claim.NewAcceptor(cfg.Self),
		incoming:       map[zinniasill.Node]*incoming{},
		refusedSenders: map[zinniasill.Node]zinniasill.Reason{},
		jobs:           map[zinniasill.Key]*job{},
		running:        map[*task]struct{}{},
		outputs:        archive.Outputs[[]byte]{Budget: cfg.OutputBudget},
	}
	a.acceptor.SetFullFunc(a.registersFull)
	return a
}

// Restart discards all state and continues as another incarnation. It is called when
// control has declared the current incarnation dead. The caller must first cancel the
// running tasks and discard their outcomes.
func (a *Agent) Restart(node zinniasill.Node) {
	cfg := a.cfg
	cfg.Self = node
	restarted := New(cfg)
	restarted.slots, restarted.kinds, restarted.serving = a.slots, a.kinds, a.serving
	restarted.leaving = a.leaving
	*a = *restarted
	a.acceptor.SetFullFunc(a.registersFull)
}

// SetEndpoint sets the state of the endpoint. Zero slots mean that the endpoint is
// lost: the running tasks then end with an unknown outcome.
func (a *Agent) SetEndpoint(now time.Time, slots int, kinds []zinniasill.Kind, serving bool) {
	a.setNow(now)
	a.slots = slots
	a.kinds = kinds
	a.serving = serving
	if slots == 0 {
		a.failRunning(now)
	}
	a.schedule(now)
}

// Leave makes the agent return its waiting tasks to their owners and accept no new
// ones.
func (a *Agent) Leave(now time.Time) {
	a.setNow(now)
	a.leaving = true
	a.schedule(now)
}

// Idle reports whether no task is running or waiting and every result is acknowledged.
// Unacknowledged results for an entry that is not in the catalog are ignored: only a
// takeover reads them, and it can also read them from the host of a handover.
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
	a.schedule(now)
}

// receiveClaim replies to claim messages and reports whether env was one.
func (a *Agent) receiveClaim(env message.Envelope) bool {
	if reply, ok := a.acceptor.Handle(env.Body); ok {
		a.countRefusedClaim(reply)
		a.send(env.From, reply)
		return true
	}
	batch, ok := env.Body.(message.ClaimBatch)
	if !ok {
		return false
	}
	if replies, ok := a.acceptor.HandleBatch(batch); ok {
		for _, reply := range replies.Replies {
			a.countRefusedClaim(reply)
		}
		a.send(env.From, replies)
	}
	return true
}

func (a *Agent) countRefusedClaim(reply message.ClaimReply) {
	if reply.Full {
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
	a.schedule(now)
	a.resendFetches(now)
	a.resendResults(now)
	a.tickHosted(now)
}

// StartPending records the pending tasks as started and returns them. If the agent may
// not start tasks any more, it returns them to their owners instead.
func (a *Agent) StartPending(now time.Time) []zinniasill.Task {
	if len(a.pending) == 0 {
		return nil
	}
	a.setNow(now)
	if reason := a.refusal(now); reason != "" {
		a.returnWaitingTasks(reason)
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

// refusal returns the reason why no task may start now, or "" if tasks may start.
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

// schedule fetches queued tasks for the free slots, or returns all waiting tasks if
// none may start.
func (a *Agent) schedule(now time.Time) {
	if a.queue.count == 0 && a.reserved == 0 {
		return
	}
	if reason := a.refusal(now); reason != "" {
		a.returnWaitingTasks(reason)
		return
	}
	for a.freeSlots() > 0 && a.queue.count > 0 {
		a.fetch(now, a.queue.pop())
	}
}

func (a *Agent) freeSlots() int { return a.slots - len(a.running) - a.reserved }

// setNow stores the time of the current event, which load reports and deferred messages
// refer to.
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
