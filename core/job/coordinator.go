package job

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/admission"
	"zinniasill/core/archive"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
	"zinniasill/core/placement"
)

// Timeouts and intervals of the protocol.
const (
	// resendTimeout is the time after which an unanswered message is resent.
	resendTimeout = 200 * time.Millisecond
	// ownerTimeout is the time without a reply from the owner after which an attached
	// entry takes the job over.
	ownerTimeout = 500 * time.Millisecond
	// claimPollInterval is the interval at which proposals in progress are polled.
	claimPollInterval = 5 * time.Millisecond
	// proofTimeout bounds how long a refusal or failure waits for proof that nothing
	// ran. After that, the answer reports that it is unknown what ran.
	proofTimeout = 500 * time.Millisecond
	// lostTimeout is the time without a reply to a fence after which an agent that is not
	// in the catalog is considered lost. It is needed because the catalog may be stale:
	// an agent may also be missing because it was added after the local revision.
	lostTimeout = 500 * time.Millisecond
	// runPollInterval is the interval at which agents are polled for running tasks. Most
	// tasks are shorter, so polling adds no messages for them.
	runPollInterval = time.Second
	// defaultAnswerTimeout is the answer timeout of jobs whose profile sets none or is
	// unknown.
	defaultAnswerTimeout = 10 * time.Second
	// staleLeaseAge is the age of the last valid lease beyond which every epoch in the
	// local catalog may have left the retention window of other nodes, so that empty
	// registers prove nothing. It is below the 5 min that an epoch stays current.
	staleLeaseAge = 4 * time.Minute
)

// Names of counters.
const (
	// CounterCompleted counts complete answers. CounterRefused counts all other answers
	// by reason.
	CounterCompleted = "jobs_completed"
	CounterRefused   = "jobs_refused"
	// CounterRetried counts attempts that ended without a start and whose task is offered
	// again, by the reason of that end. CounterRetryDelayed counts retries delayed by the
	// retry budget.
	CounterRetried      = "tasks_retried"
	CounterRetryDelayed = "task_retries_held_back"
	// CounterTakeover counts jobs that this entry took over, CounterSuperseded jobs that
	// another entry took over from this one, and CounterAttached jobs that this entry
	// attached to.
	CounterTakeover   = "jobs_taken_over"
	CounterSuperseded = "jobs_superseded"
	CounterAttached   = "jobs_attached"
	// CounterUnexpected counts malformed task reports and, with the reason "job", events
	// that are not valid in the state of a job.
	CounterUnexpected = "task_messages_unexpected"
	// CounterEvicted counts answers whose outputs were evicted to stay within
	// Limits.MaxAnswerBytes.
	CounterEvicted = "answers_evicted"
)

// RequestID identifies a waiting caller at this entry.
type RequestID uint64

// Reply is the answer for one waiting caller.
type Reply struct {
	Request RequestID
	Answer  message.Answer
}

// Lease provides the state of the entry's lease and its copy of the catalog. The catalog
// must not be modified while its revision stays the same.
type Lease interface {
	Valid(now time.Time) bool
	Catalog() *catalog.Catalog
}

// Limits bounds the memory of a Coordinator. Zero values select the defaults.
type Limits struct {
	// MaxAnswerBytes bounds the outputs in retained answers. The default is 32 MiB.
	MaxAnswerBytes int
	// MaxRecordBytes bounds the records of jobs. The default is 128 MiB. New jobs are
	// refused when the limit is reached; a record is never dropped before its epoch is.
	MaxRecordBytes int
	// MaxCandidates bounds the number of agents that the tasks of one job are planned on.
	// The default is 256.
	MaxCandidates int
}

// Config configures a Coordinator. All fields except Limits are required.
type Config struct {
	Self     zinniasill.Node
	Lease    Lease
	Picker   zinniasill.Picker
	Rand     *rand.Rand
	Counters zinniasill.Counters
	Limits   Limits
}

// Coordinator is the state machine of all jobs at one entry. Create it with New. It is
// not safe for concurrent use.
type Coordinator struct {
	cfg         Config
	rules       rules
	views       *placement.Views
	runTimes    *admission.RunTimes
	quotas      *admission.Quotas
	retryBudget *admission.RetryBudget
	groups      map[zinniasill.Epoch]*claim.Groups
	// jobs holds the records of jobs without an answer and of jobs that a resubmission may
	// reopen. archived holds the encoded records of all other answered jobs.
	jobs     map[zinniasill.Key]*record
	archived archive.Archive
	outputs  archive.Outputs[[][]byte]
	// requests maps the requests of waiting callers to their jobs.
	requests       map[RequestID]*record
	timers         timers
	outbox         []message.Envelope
	deferred       deferred
	replies        []Reply
	inquiries      []*inquiry
	inquiryResults []InquiryResult
	revision       zinniasill.Revision
	// entryCount is the number of entries in the catalog.
	entryCount int
	// sequence and claimSequence are the sequence numbers of the last job and claim.
	sequence      uint64
	claimSequence uint64
	// lastValid is the last time at which the lease was seen to be valid.
	lastValid time.Time
	draining  bool
}

// New returns a coordinator without jobs.
func New(cfg Config) *Coordinator {
	cfg.Limits.MaxAnswerBytes = cmp.Or(cfg.Limits.MaxAnswerBytes, defaultAnswerLimit)
	cfg.Limits.MaxRecordBytes = cmp.Or(cfg.Limits.MaxRecordBytes, DefaultRecordLimit)
	cfg.Limits.MaxCandidates = cmp.Or(cfg.Limits.MaxCandidates, 256)
	c := &Coordinator{cfg: cfg, rules: defaultRules()}
	c.reset()
	return c
}

func (c *Coordinator) reset() {
	c.views = placement.New(placement.Config{Picker: c.cfg.Picker})
	c.runTimes = admission.NewRunTimes()
	c.quotas = admission.NewQuotas()
	c.retryBudget = admission.NewRetryBudget()
	c.groups = map[zinniasill.Epoch]*claim.Groups{}
	c.jobs = map[zinniasill.Key]*record{}
	c.requests = map[RequestID]*record{}
	c.timers = nil
	c.deferred = deferred{}
	c.archived = archive.Archive{}
	c.outputs = archive.Outputs[[][]byte]{Budget: c.cfg.Limits.MaxAnswerBytes}
	c.revision = 0
}

// Restart discards all jobs and continues as a new incarnation after the old one was
// declared dead. Waiting callers get the answer that the outcome is unknown; they may
// resubmit the same key.
func (c *Coordinator) Restart(node zinniasill.Node) {
	ids := make([]RequestID, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.reply(id, undecidedAnswer(zinniasill.ReasonOutcomeUnknown, "the entry was declared dead and has restarted"))
	}
	c.cfg.Self = node
	c.outbox = nil
	c.reset()
}

// Replies returns and clears the answers to waiting callers.
func (c *Coordinator) Replies() []Reply {
	out := c.replies
	c.replies = nil
	return out
}

// Drain makes the coordinator refuse new jobs and finish those in flight. Deferred
// messages are sent at once.
func (c *Coordinator) Drain(now time.Time) {
	c.draining = true
	c.sendDueDeferred(now.Add(maxAckDelay))
}

// Idle reports whether no caller is waiting and no owned job is in flight.
func (c *Coordinator) Idle() bool {
	if len(c.requests) > 0 {
		return false
	}
	for _, r := range c.jobs {
		if r.owns() {
			return false
		}
	}
	return true
}

// Receive handles one message. Messages to another incarnation are dropped.
func (c *Coordinator) Receive(now time.Time, env message.Envelope) {
	if env.To.ID != c.cfg.Self.ID || env.To.Incarnation != 0 && env.To != c.cfg.Self {
		return
	}
	if _, ok := env.Body.(message.Bundle); ok {
		for _, part := range message.Split([]message.Envelope{env}) {
			c.Receive(now, part)
		}
		return
	}
	c.refreshCatalog(now)
	switch body := env.Body.(type) {
	case message.ClaimReply:
		c.handleClaimReply(now, env.From, body)
	case message.ClaimReplies:
		for _, reply := range body.Replies {
			c.handleClaimReply(now, env.From, reply)
		}
	case message.LoadReport:
		c.views.Report(now, env.From, body.Load)
	case message.OfferReply:
		c.views.Report(now, env.From, body.Load)
		c.handleTaskStatuses(now, env.From, body.Key, body.Term, body.Tasks)
	case message.WithdrawReply:
		c.views.Report(now, env.From, body.Load)
		c.handleTaskStatuses(now, env.From, body.Key, body.Term, body.Tasks)
	case message.Result:
		c.views.Report(now, env.From, body.Load)
		c.handleResult(now, env.From, body)
	case message.Fetch:
		c.handleFetch(now, env.From, body)
	case message.FenceReply:
		c.views.Report(now, env.From, body.Load)
		c.handleFenceReply(now, env.From, body)
	case message.Attach:
		c.handleAttach(env.From, body)
	case message.AttachReply:
		status := Status{Known: body.Known, State: "elsewhere", Answer: body.Answer}
		c.handleInquiryReply(now, env.From, body.Key, false, InquiryResult{Status: status})
		c.handleAttachReply(now, env.From, body)
	case message.Cancel:
		c.handleCancel(now, env.From, body)
	case message.CancelReply:
		c.handleInquiryReply(now, env.From, body.Key, true, InquiryResult{Cancelled: body.Done})
	}
}

// Tick handles all timers that are due at a time.
func (c *Coordinator) Tick(now time.Time) {
	c.refreshCatalog(now)
	c.endInquiries(now)
	c.sendDueDeferred(now)
	for {
		r := c.timers.pop(now)
		if r == nil {
			return
		}
		c.wake(now, r)
	}
}

// wake handles everything that is due in a job and schedules its next timer.
func (c *Coordinator) wake(now time.Time, r *record) {
	if r.done() {
		return
	}
	due := r.deadline
	switch r.state {
	case stateRefusing, stateClaiming:
		due = c.wakeClaiming(now, r)
	case stateAttached:
		due = c.wakeAttached(now, r)
	case stateFencing:
		due = c.wakeFencing(now, r)
	case statePlacing, stateRunning:
		due = c.wakeRunning(now, r)
	case stateClosing:
		due = c.wakeClosing(now, r)
	default:
	}
	if !r.done() {
		c.timers.push(r, clampToFuture(now, due))
	}
}

// clampToFuture replaces a time that is already due by a time 1 ms ahead, which keeps
// Tick from looping.
func clampToFuture(now, due time.Time) time.Time {
	if !due.After(now) {
		return now.Add(time.Millisecond)
	}
	return due
}

// refreshCatalog records the state of the lease and applies a new catalog revision.
func (c *Coordinator) refreshCatalog(now time.Time) {
	if c.cfg.Lease.Valid(now) {
		c.lastValid = now
	}
	cat := c.cfg.Lease.Catalog()
	if cat.Revision == c.revision {
		return
	}
	c.revision = cat.Revision
	c.views.Update(now, cat)
	c.entryCount = 0
	for _, node := range cat.Nodes {
		if node.Role == catalog.RoleEntry {
			c.entryCount++
		}
	}
	c.dropEpochs(cat)
	for _, r := range c.unanswered() {
		c.catalogChanged(now, r, cat)
	}
}

// unanswered returns the jobs without an answer in order of arrival.
func (c *Coordinator) unanswered() []*record {
	var open []*record
	for _, r := range c.jobs {
		if r.answer == nil {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b *record) int { return cmp.Compare(a.sequence, b.sequence) })
	return open
}

// catalogChanged applies declared deaths and new epochs to one job.
func (c *Coordinator) catalogChanged(now time.Time, r *record, cat *catalog.Catalog) {
	switch r.state {
	case stateRefusing, stateClaiming:
		c.catalogChangedClaiming(now, r, cat)
	case stateAttached:
		if !cat.Alive(r.owner) {
			c.takeOver(now, r)
		}
	case statePlacing, stateRunning, stateClosing:
		c.handleLostAgents(now, r, func(node zinniasill.Node) bool { return !cat.RecordsReachable(node) })
	default:
	}
}

// Disconnected handles the loss of the connection to an agent. Tasks that are queued
// there without a grant are requeued at once.
func (c *Coordinator) Disconnected(now time.Time, node zinniasill.NodeID) {
	for _, r := range c.unanswered() {
		if r.state != statePlacing && r.state != stateRunning {
			continue
		}
		for i := range r.tasks {
			t := &r.tasks[i]
			if t.node.ID == node && t.state == taskQueued {
				c.requeue(now, r, t, zinniasill.ReasonNoEndpoint, false)
			}
		}
		c.advance(now, r)
	}
}

func (c *Coordinator) send(to zinniasill.Node, body any) {
	c.outbox = append(c.outbox, message.Envelope{
		Version: message.Version,
		From:    c.cfg.Self,
		To:      to,
		Body:    body,
	})
}

func (c *Coordinator) reply(id RequestID, answer message.Answer) {
	delete(c.requests, id)
	c.replies = append(c.replies, Reply{Request: id, Answer: answer})
	if answer.Complete {
		c.cfg.Counters.Inc(CounterCompleted, "")
	} else {
		c.cfg.Counters.Inc(CounterRefused, answer.Code)
	}
}
