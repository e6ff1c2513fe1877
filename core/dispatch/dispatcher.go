// Package dispatch is the entry's part of direct jobs: it places their tasks at agents,
// tracks them, and answers the callers.
//
// It works with a subset of the agents, see package subset, so that its cost does not
// grow with their number.
//
// A Dispatcher owns the jobs that its entry has accepted. They are kept in memory only:
// if the entry fails, agents stop its tasks, and the caller resends the job. The
// dispatcher never has two runs of a task at the same time: it requeues a task only
// after its agent has returned it, or after all leases on it have expired. It is a state
// machine without I/O, driven by a daemon loop:
//
//	dispatcher := dispatch.New(dispatch.Config{Self: node, Domain: "zone-a"})
//	dispatcher.SetMembers(now, subset.Membership{Entries: entries, Agents: agents})
//	dispatcher.Submit(now, request, job)
//	for _, reply := range dispatcher.Replies() {
//		answer(reply)
//	}
package dispatch

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/joblock"
	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// RequestID identifies the request of a caller that waits for an answer.
type RequestID uint64

// Job is a direct job, which is answered on the request that submitted it.
type Job struct {
	ID    string
	Queue string
	// Configuration is the version of the configuration that defines the queue.
	Configuration zinniasill.DocumentVersion
	Kind          zinniasill.Kind
	Spec          string
	Priority      int
	// Attempts is the number of failures of one task after which the job fails.
	Attempts int
	// Stretch and Objective define the target response time of the job: Stretch times
	// the length of its critical path, plus Objective.
	Stretch   float64
	Objective time.Duration
	// ArrivedAt is when the request arrived, if it was held before Submit, zero otherwise.
	ArrivedAt time.Time
	// AnswerWithin is the time after which the caller has no use for an answer, 0 if it has
	// no limit besides the objective.
	AnswerWithin time.Duration
	Steps        []Step
}

// Step is a group of equal tasks.
type Step struct {
	Count    int
	Need     resource.Amount
	Estimate time.Duration
	// DependsOn lists the steps that must complete first.
	DependsOn []int
	// Label, if set, must be one of the endpoint's labels. An endpoint with NearLabel is
	// preferred.
	Label     string
	NearLabel string
	// PerEndpoint, if above 0, limits the tasks of the step at one endpoint.
	PerEndpoint int
}

// Result is the outcome of a job.
type Result string

// Values of Result.
const (
	Completed Result = "completed"
	Failed    Result = "failed"
	// Refused means that no task has started and none will.
	Refused Result = "refused"
	// Unknown means that the job was aborted after tasks may have started.
	Unknown Result = "unknown"
	// Cancelled and NoJob are the results of a cancellation that another entry had to be told
	// of: NoJob means that none works on the job.
	Cancelled Result = "cancelled"
	NoJob     Result = "no-job"
)

// Reply is the answer to one caller.
type Reply struct {
	Request RequestID
	Result  Result
	Reason  zinniasill.Reason
	// RetryAfter is the time after which a retry of a refused job may succeed, 0 if
	// unknown.
	RetryAfter time.Duration
}

// Config configures a Dispatcher.
type Config struct {
	// Self is this incarnation of the entry.
	Self     zinniasill.Node
	Domain   zinniasill.Domain
	Recorder zinniasill.Recorder
	// NoWarmup makes admission ignore the capacity of agents that have not reported yet, for
	// comparisons in tests.
	NoWarmup bool
	// IgnoreSpeed places tasks as if no agent reported a speed, for comparison in tests.
	IgnoreSpeed bool
	// Counters, if set, counts changes of class in overload_classes_total.
	Counters zinniasill.Counters
	// Overload is RefuseLate if it is empty.
	Overload OverloadPolicy
}

// Dispatcher owns the jobs of one entry. It is not safe for concurrent use. Use New.
type Dispatcher struct {
	cfg Config
	// agents are those of the subset, and others that still have tasks or report.
	agents       map[zinniasill.NodeID]*agent
	sortedAgents []*agent // by id
	firstAgentAt time.Time
	domainsOut   map[zinniasill.Domain]bool
	jobs         map[string]*job
	requests     map[RequestID]*job
	crashes      crashLog
	withdrawals  map[string]*withdrawal // by id of the job
	lastActive   time.Time
	// resumed are the postponed jobs that can be taken.
	resumed []*job
	locks   *joblock.Locks
	// cancels are the requests that wait for the outcome of a cancellation, by job.
	cancels map[string][]RequestID
	// unplaced are the tasks that wait to be placed at an agent.
	unplaced []*task
	// placementDue is set when it may have become possible to place a waiting task. No
	// placement pass runs before nextPlacement.
	placementDue  bool
	nextPlacement time.Time
	speeds        speeds
	// assignment is the number of the last assignment of a task.
	assignment uint64
	replies    []Reply
	outbox     []message.Envelope
	suspects   []zinniasill.NodeID
	overload   overloadState
}

// New returns a dispatcher without agents.
func New(cfg Config) *Dispatcher {
	cfg.Overload = cmp.Or(cfg.Overload, RefuseLate)
	return &Dispatcher{
		cfg:         cfg,
		agents:      map[zinniasill.NodeID]*agent{},
		domainsOut:  map[zinniasill.Domain]bool{},
		jobs:        map[string]*job{},
		requests:    map[RequestID]*job{},
		crashes:     crashLog{},
		locks:       joblock.New(joblock.Config{Self: cfg.Self, Recorder: cfg.Recorder}),
		withdrawals: map[string]*withdrawal{},
		cancels:     map[string][]RequestID{},
	}
}

// Submit accepts or refuses a job. If a job with the same id is in progress, the request
// is attached to it.
func (d *Dispatcher) Submit(now time.Time, request RequestID, spec Job) {
	d.detectPause(now)
	if running := d.jobs[spec.ID]; running != nil {
		running.requests = append(running.requests, request)
		d.requests[request] = running
		return
	}
	j := newJob(now, request, spec)
	if d.locks.Cancelled(j.ID) {
		d.finish(now, j, Failed, zinniasill.ReasonCancelled)
		return
	}
	if d.crashes.blamesAny(j) {
		d.finish(now, j, Failed, zinniasill.ReasonEndpointLost)
		return
	}
	d.jobs[spec.ID] = j
	d.requests[request] = j
	if w := d.withdrawals[spec.ID]; w != nil {
		d.postpone(j, w)
		return
	}
	d.take(now, j)
}

// take accepts or refuses a job that no task of a former one of the same id stands against.
// A job that is accepted begins once its lock has been granted.
func (d *Dispatcher) take(now time.Time, j *job) {
	candidates := d.candidates(now)
	wait, reason := d.admit(now, j, candidates)
	wait, reason = d.reconsider(now, j, candidates, wait, reason)
	if reason != "" {
		d.record("job-refused", slog.String("job", j.ID), slog.String("queue", j.Queue),
			slog.String("reason", string(reason)), slog.Duration("wait", wait),
			slog.Duration("patience", j.maxWait()), slog.Int("tasks", len(j.tasks)),
			slog.Int("unplaced", len(d.unplaced)), slog.Int("agents", len(candidates)),
			slog.Int64("configuration", int64(j.Configuration)))
		d.refuse(now, j, reason, wait)
		return
	}
	d.noteArrival(j)
	d.record("job-taken", slog.String("job", j.ID), slog.String("queue", j.Queue),
		slog.Int("tasks", len(j.tasks)), slog.Duration("wait", wait),
		slog.Duration("goal", j.targetTime), slog.Int("unplaced", len(d.unplaced)),
		slog.Int("agents", len(candidates)), slog.Int64("configuration", int64(j.Configuration)),
		slog.String("class", j.class.String()))
	if !j.locked {
		d.locks.Acquire(now, j.ID)
		d.applyLocks(now)
		return
	}
	d.begin(now, j)
}

// begin lets the tasks of a job be placed.
func (d *Dispatcher) begin(now time.Time, j *job) {
	j.taken = true
	d.unplaced = append(d.unplaced, j.ready()...)
	d.placeWaiting(now)
}

// refuse refuses a job that is not taken. After a former submission, it may have run.
func (d *Dispatcher) refuse(now time.Time, j *job, reason zinniasill.Reason, wait time.Duration) {
	result := Refused
	if j.mayHaveRun {
		result = Unknown
	}
	d.reply(j, result, reason, wait)
	d.end(now, j)
}

// Abandon handles a caller that has disconnected. A job without callers is withdrawn.
func (d *Dispatcher) Abandon(now time.Time, request RequestID) {
	j := d.requests[request]
	if j == nil {
		return
	}
	delete(d.requests, request)
	j.requests = slices.DeleteFunc(j.requests, func(id RequestID) bool { return id == request })
	if len(j.requests) > 0 {
		return
	}
	d.record("job-abandoned", slog.String("job", j.ID), slog.Duration("after", now.Sub(j.arrivedAt)))
	d.end(now, j)
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (d *Dispatcher) Waiting(queue string) int {
	count := 0
	for _, j := range d.jobs {
		if j.Queue == queue && !j.mayHaveRun {
			count++
		}
	}
	return count
}

// Idle reports whether no job is in progress.
func (d *Dispatcher) Idle() bool {
	return len(d.jobs) == 0
}

// Tick performs the work that is due at the given time.
func (d *Dispatcher) Tick(now time.Time) {
	d.detectPause(now)
	for _, a := range d.sortedAgents {
		if a.incarnation != 0 && len(a.tasks)+len(a.withdrawn) > 0 && now.Sub(a.lastReport) > LostTimeout {
			d.loseAgent(now, a, "agent-silent")
		}
		if len(a.tasks) > 0 && now.Sub(a.lastReport) > unknownAnswerTimeout {
			d.answerOverdue(now, a)
		}
	}
	d.locks.Tick(now)
	d.abortPostponed(now)
	d.forgetUnused(now)
	d.crashes.expire(now)
	if len(d.unplaced) == 0 {
		d.observeSpare(now, d.candidates(now))
	}
	d.placementDue = true
}

// finish answers a job's callers and ends the job.
func (d *Dispatcher) finish(now time.Time, j *job, result Result, reason zinniasill.Reason) {
	d.record("job-ended", slog.String("job", j.ID), slog.String("queue", j.Queue),
		slog.String("result", string(result)), slog.String("reason", string(reason)),
		slog.Duration("after", now.Sub(j.arrivedAt)), slog.Duration("goal", j.targetTime),
		slog.Int("endpoints-lost", d.crashes.most(j)))
	d.reply(j, result, reason, 0)
	d.end(now, j)
}

func (d *Dispatcher) reply(j *job, result Result, reason zinniasill.Reason, after time.Duration) {
	for _, request := range j.requests {
		delete(d.requests, request)
		d.replies = append(d.replies, Reply{Request: request, Result: result, Reason: reason, RetryAfter: after})
	}
	j.requests = nil
}

// end removes a job and withdraws its tasks from agents.
func (d *Dispatcher) end(now time.Time, j *job) {
	delete(d.jobs, j.ID)
	j.ended = true
	withdrawn := map[*agent]bool{}
	for _, t := range j.tasks {
		if t.agent == nil {
			continue
		}
		if !withdrawn[t.agent] {
			withdrawn[t.agent] = true
			t.agent.out.Push(message.Command{Withdraw: j.ID})
		}
		d.awaitEnd(t)
		t.agent.release(t)
	}
	switch w := d.withdrawals[j.ID]; {
	case w == nil:
		d.locks.Release(now, j.ID)
	case w.next == j:
		w.next = nil
	}
	d.unplaced = slices.DeleteFunc(d.unplaced, func(t *task) bool { return t.job == j })
}

func (d *Dispatcher) record(decision string, inputs ...slog.Attr) {
	if d.cfg.Recorder != nil {
		d.cfg.Recorder.Record(decision, inputs...)
	}
}

// Outbox returns and clears the messages to send.
func (d *Dispatcher) Outbox() []message.Envelope {
	out := d.outbox
	d.outbox = nil
	return out
}

// Suspects returns and clears the agents that have stopped reporting: the links to them may
// have failed without an error.
func (d *Dispatcher) Suspects() []zinniasill.NodeID {
	out := d.suspects
	d.suspects = nil
	return out
}

// Limits of the time between ticks. While tasks wait, ticks place them; while commands are
// not acknowledged, ticks resend them.
const (
	waitingTickInterval = 20 * time.Millisecond
	busyTickInterval    = 50 * time.Millisecond
	idleTickInterval    = 100 * time.Millisecond
)

// TickInterval returns the time until the next tick that the dispatcher needs.
func (d *Dispatcher) TickInterval() time.Duration {
	switch {
	case len(d.unplaced) > 0:
		return waitingTickInterval
	case len(d.jobs) > 0 || slices.ContainsFunc(d.sortedAgents, func(a *agent) bool { return !a.idle() }):
		return busyTickInterval
	default:
		return idleTickInterval
	}
}

// Replies returns and clears the answers to send.
func (d *Dispatcher) Replies() []Reply {
	out := d.replies
	d.replies = nil
	return out
}
