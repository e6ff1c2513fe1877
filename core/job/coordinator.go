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

// Times of the protocol.
const (
	// resendAfter is the time after which an unanswered message is sent again.
	resendAfter = 200 * time.Millisecond
	// ownerSilence is the time without an answer of the owner after which an
	// attached entry takes the job over.
	ownerSilence = 500 * time.Millisecond
	// claimPoll is the time between two looks at proposals in progress.
	claimPoll = 5 * time.Millisecond
	// settleWithin bounds how long a refusal or failure waits for the proof that
	// nothing ran, before it says that this is unknown.
	settleWithin = 500 * time.Millisecond
	// lostAfter is the time without an answer to a fence after which an agent that
	// is not in the catalog is considered gone. The catalog may be behind, so that
	// a missing agent may also be one that is not known yet.
	lostAfter = 500 * time.Millisecond
	// pollAfter is the time between two questions for tasks that run. Most tasks are
	// shorter, so that polling adds no messages to them.
	pollAfter = time.Second
	// defaultAnswerWithin bounds jobs whose profile is not known.
	defaultAnswerWithin = 10 * time.Second
	// staleLease is the age of the last valid lease from which the epochs known here
	// may all have left the window of other nodes. Their registers then prove
	// nothing. It is below the 5 min that an epoch stays current.
	staleLease = 4 * time.Minute
)

// Names of counters.
const (
	// CounterCompleted counts complete answers, CounterRefused all others by reason.
	CounterCompleted = "jobs_completed"
	CounterRefused  = "jobs_refused"
	// CounterRetried counts tasks offered again, by the reason of the last attempt's
	// end. CounterHeldBack counts retries delayed by the budget.
	CounterRetried  = "tasks_retried"
	CounterRetryDelayed = "task_retries_held_back"
	// CounterTakeover counts jobs taken over, CounterSuperseded jobs that another
	// entry took over, and CounterAttached jobs attached to.
	CounterTakeover   = "jobs_taken_over"
	CounterSuperseded = "jobs_superseded"
	CounterAttached   = "jobs_attached"
	// CounterUnexpected counts messages that do not fit the state of a task.
	CounterUnexpected = "task_messages_unexpected"
	// CounterEvicted counts answers dropped for their size.
	CounterEvicted = "answers_evicted"
)

// RequestID identifies a waiting caller at this entry.
type RequestID uint64

// Reply is the answer to one waiting caller.
type Reply struct {
	Request RequestID
	Answer  message.Answer
}

// Lease is the entry's lease and its copy of the configuration. The catalog must
// not be modified while its revision stays the same.
type Lease interface {
	Valid(now time.Time) bool
	Catalog() *catalog.Catalog
}

// Limits bounds a coordinator's memory. Zero values mean the defaults.
type Limits struct {
	// MaxAnswerBytes bounds the outputs in kept answers, 32 MiB by default.
	MaxAnswerBytes int
	// MaxRecordBytes bounds the records of jobs, 128 MiB by default. From there on new jobs
	// are refused; a record is never dropped before its epoch.
	MaxRecordBytes int
	// MaxCandidates bounds the agents that one job is spread over, 256 by default.
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

// Coordinator is the state machine of all jobs at one entry. Use New.
type Coordinator struct {
	cfg    Config
	rules  rules
	views  *placement.Views
	times  *admission.RunTimes
	quotas *admission.Quotas
	budget *admission.RetryBudget
	groups map[zinniasill.Epoch]*claim.Groups
	// jobs are those without an answer or whose key may be submitted again, and ended
	// the encoded others.
	jobs      map[zinniasill.Key]*record
	ended     archive.Archive
	outputs   archive.Outputs[[][]byte]
	waiting   map[RequestID]*record
	timers    timers
	outbox    []message.Envelope
	deferred  deferred
	replies   []Reply
	inquiries []*inquiry
	found     []InquiryResult
	revision  zinniasill.Revision
	entries   int
	sequence  uint64
	claims    uint64
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
	c.times = admission.NewRunTimes()
	c.quotas = admission.NewQuotas()
	c.budget = admission.NewRetryBudget()
	c.groups = map[zinniasill.Epoch]*claim.Groups{}
	c.jobs = map[zinniasill.Key]*record{}
	c.waiting = map[RequestID]*record{}
	c.timers = nil
	c.deferred = deferred{}
	c.ended = archive.Archive{}
	c.outputs = archive.Outputs[[][]byte]{Budget: c.cfg.Limits.MaxAnswerBytes}
	c.revision = 0
}

// Restart discards all jobs and continues under a new incarnation, after the old
// one was declared dead. Callers that wait are told that the outcome is unknown;
// they may submit the same key again.
func (c *Coordinator) Restart(node zinniasill.Node) {
	ids := make([]RequestID, 0, len(c.waiting))
	for id := range c.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.reply(id, unsettled(zinniasill.ReasonOutcomeUnknown, "the entry was declared dead and has restarted"))
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

// Drain makes the coordinator refuse new jobs and finish the ones in flight.
func (c *Coordinator) Drain(now time.Time) {
	c.draining = true
	c.sendDue(now.Add(ackWait))
}

// Idle reports whether no caller waits and no owned job is in flight.
func (c *Coordinator) Idle() bool {
	if len(c.waiting) > 0 {
		return false
	}
	for _, r := range c.jobs {
		if r.owns() {
			return false
		}
	}
	return true
}

// Receive handles one message.
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
	c.refresh(now)
	switch body := env.Body.(type) {
	case message.ClaimReply:
		c.claimReply(now, env.From, body)
	case message.ClaimReplies:
		for _, reply := range body.Replies {
			c.claimReply(now, env.From, reply)
		}
	case message.LoadReport:
		c.views.Report(now, env.From, body.Load)
	case message.OfferReply:
		c.views.Report(now, env.From, body.Load)
		c.statuses(now, env.From, body.Key, body.Term, body.Tasks)
	case message.WithdrawReply:
		c.views.Report(now, env.From, body.Load)
		c.statuses(now, env.From, body.Key, body.Term, body.Tasks)
	case message.Result:
		c.views.Report(now, env.From, body.Load)
		c.result(now, env.From, body)
	case message.Fetch:
		c.fetch(now, env.From, body)
	case message.FenceReply:
		c.views.Report(now, env.From, body.Load)
		c.fenceReply(now, env.From, body)
	case message.Attach:
		c.attach(env.From, body)
	case message.AttachReply:
		status := Status{Known: body.Known, State: "elsewhere", Answer: body.Answer}
		c.inquiryReply(now, env.From, body.Key, false, InquiryResult{Status: status})
		c.attachReply(now, env.From, body)
	case message.Cancel:
		c.cancelFor(now, env.From, body)
	case message.CancelReply:
		c.inquiryReply(now, env.From, body.Key, true, InquiryResult{Cancelled: body.Done})
	}
}

// Tick handles the passing of time.
func (c *Coordinator) Tick(now time.Time) {
	c.refresh(now)
	c.endInquiries(now)
	c.sendDue(now)
	for {
		r := c.timers.pop(now)
		if r == nil {
			return
		}
		c.wake(now, r)
	}
}

// wake handles everything that is due in a job and schedules the next time.
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
		c.timers.push(r, later(now, due))
	}
}

// later keeps a time that is already due from making Tick loop.
func later(now, due time.Time) time.Time {
	if !due.After(now) {
		return now.Add(time.Millisecond)
	}
	return due
}

// refresh takes over a changed catalog.
func (c *Coordinator) refresh(now time.Time) {
	if c.cfg.Lease.Valid(now) {
		c.lastValid = now
	}
	cat := c.cfg.Lease.Catalog()
	if cat.Revision == c.revision {
		return
	}
	c.revision = cat.Revision
	c.views.Update(now, cat)
	c.entries = 0
	for _, node := range cat.Nodes {
		if node.Role == catalog.RoleEntry {
			c.entries++
		}
	}
	c.dropEpochs(cat)
	for _, r := range c.unanswered() {
		c.catalogChanged(now, r, cat)
	}
}

// unanswered returns the jobs without an answer in the order of their arrival.
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

// catalogChanged handles deaths and new epochs in one job.
func (c *Coordinator) catalogChanged(now time.Time, r *record, cat *catalog.Catalog) {
	switch r.state {
	case stateRefusing, stateClaiming:
		c.claimChanged(now, r, cat)
	case stateAttached:
		if !cat.Alive(r.owner) {
			c.takeOver(now, r)
		}
	case statePlacing, stateRunning, stateClosing:
		c.agentsGone(now, r, func(node zinniasill.Node) bool { return !cat.RecordsReachable(node) })
	default:
	}
}

// Disconnected tells the coordinator that the link to an agent was lost and not
// replaced. Tasks that are queued there without a grant move at once.
func (c *Coordinator) Disconnected(now time.Time, node zinniasill.NodeID) {
	for _, r := range c.unanswered() {
		if r.state != statePlacing && r.state != stateRunning {
			continue
		}
		for i := range r.tasks {
			t := &r.tasks[i]
			if t.node.ID == node && t.state == taskQueued {
				c.returned(now, r, t, zinniasill.ReasonNoEndpoint, false)
			}
		}
		c.progress(now, r)
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
	delete(c.waiting, id)
	c.replies = append(c.replies, Reply{Request: id, Answer: answer})
	if answer.Complete {
		c.cfg.Counters.Inc(CounterCompleted, "")
	} else {
		c.cfg.Counters.Inc(CounterRefused, answer.Code)
	}
}
