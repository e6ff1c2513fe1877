// Package dispatch is the entry's part of jobs that are answered at their end: it
// places their tasks at agents, follows them, and answers.
//
// A Dispatcher owns the jobs that its entry has taken. They are not stored: when the
// entry ends, agents end its tasks, and the caller sends the job again. The dispatcher
// never has two runs of a task at the same time: it places a task again only after
// its agent has returned it or all leases there have ended. It is a machine for a
// daemon loop:
//
//	dispatcher := dispatch.New(dispatch.Config{Self: node, Domain: "zone-a"})
//	dispatcher.SetAgents(now, agents)
//	dispatcher.Submit(now, request, job)
//	for _, reply := range dispatcher.Replies() {
//		answer(reply)
//	}
package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// RequestID names a caller that waits for an answer.
type RequestID uint64

// Job is a job that is answered at its end.
type Job struct {
	ID    string
	Queue string
	// Configuration is the version of the configuration that the queue is from.
	Configuration zinniasill.DocumentVersion
	Kind          zinniasill.Kind
	Spec          string
	Priority      int
	// Attempts is the number of failures of one task that fail the job.
	Attempts int
	// Stretch and Objective say how soon the job is to be answered: within Stretch
	// times its longest chain of work, and Objective.
	Stretch   float64
	Objective time.Duration
	Steps     []Step
}

// Step is a number of equal tasks.
type Step struct {
	Count    int
	Need     resource.Amount
	Estimate time.Duration
	// DependsOn are the steps that must have ended before.
	DependsOn []int
	// Label, if set, must be one of an endpoint's labels. NearLabel is preferred.
	Label     string
	NearLabel string
	// PerEndpoint, if above 0, bounds the tasks of the step at one endpoint.
	PerEndpoint int
}

// Result says how a job ended.
type Result string

// Values of Result.
const (
	Completed Result = "completed"
	Failed    Result = "failed"
	// Refused means that no task has started and none will.
	Refused Result = "refused"
	// Unknown means that the job was given up after tasks may have started.
	Unknown Result = "unknown"
)

// Reply is the answer to one caller.
type Reply struct {
	Request RequestID
	Result  Result
	Reason  zinniasill.Reason
	// RetryAfter is when a refused job has a chance, 0 if unknown.
	RetryAfter time.Duration
}

// AgentEntry is an agent that the entry may use.
type AgentEntry struct {
	ID     zinniasill.NodeID
	Domain zinniasill.Domain
}

// Config configures a Dispatcher.
type Config struct {
	// Self is this life of the entry.
	Self     zinniasill.Node
	Domain   zinniasill.Domain
	Recorder zinniasill.Recorder
}

// Dispatcher owns the jobs of one entry. It is not safe for concurrent use. Use New.
type Dispatcher struct {
	cfg        Config
	agents     map[zinniasill.NodeID]*agent
	order      []*agent // by id
	learned    time.Time
	domainsOut map[zinniasill.Domain]bool
	jobs       map[string]*job
	requests   map[RequestID]*job
	// unplaced are the tasks that wait for an agent.
	unplaced []*task
	// changed is set when a waiting task may have become able to be placed. There is no
	// plan for that before planAfter.
	changed   bool
	planAfter time.Time
	// assignment is the number of the last assignment of a task.
	assignment uint64
	replies    []Reply
	outbox     []message.Envelope
}

// New returns a dispatcher that knows no agent.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:        cfg,
		agents:     map[zinniasill.NodeID]*agent{},
		domainsOut: map[zinniasill.Domain]bool{},
		jobs:       map[string]*job{},
		requests:   map[RequestID]*job{},
	}
}

// SetAgents adds the agents that are not known yet. An agent that is no longer listed
// stays usable while it answers: control may be away.
func (d *Dispatcher) SetAgents(now time.Time, agents []AgentEntry) {
	for _, entry := range agents {
		if known := d.agents[entry.ID]; known != nil {
			known.domain = entry.Domain
			continue
		}
		a := newAgent(entry, now)
		d.agents[entry.ID] = a
		d.order = append(d.order, a)
		d.record("agent-learned", slog.String("agent", string(entry.ID)))
	}
	slices.SortFunc(d.order, compareAgents)
	if d.learned.IsZero() && len(d.order) > 0 {
		d.learned = now
	}
}

// SetDomainsOut replaces the failure domains that are out of service.
func (d *Dispatcher) SetDomainsOut(domains map[zinniasill.Domain]bool) {
	d.domainsOut = domains
}

// Submit takes or refuses a job. A job of the same id that is in progress gets one
// more caller instead.
func (d *Dispatcher) Submit(now time.Time, request RequestID, spec Job) {
	if running := d.jobs[spec.ID]; running != nil {
		running.requests = append(running.requests, request)
		d.requests[request] = running
		return
	}
	j := newJob(now, request, spec)
	loads := d.loads(now)
	wait, reason := d.admit(now, j, loads)
	if reason != "" {
		d.record("job-refused", slog.String("job", spec.ID), slog.String("queue", spec.Queue),
			slog.String("reason", string(reason)), slog.Duration("wait", wait),
			slog.Duration("patience", j.patience()), slog.Int("tasks", len(j.tasks)),
			slog.Int("unplaced", len(d.unplaced)), slog.Int("agents", len(loads)),
			slog.Int64("configuration", int64(spec.Configuration)))
		d.reply(j, Refused, reason, wait)
		return
	}
	d.jobs[spec.ID] = j
	d.requests[request] = j
	d.record("job-taken", slog.String("job", spec.ID), slog.String("queue", spec.Queue),
		slog.Int("tasks", len(j.tasks)), slog.Duration("wait", wait),
		slog.Duration("goal", j.goal), slog.Int("unplaced", len(d.unplaced)),
		slog.Int("agents", len(loads)), slog.Int64("configuration", int64(spec.Configuration)))
	d.unplaced = append(d.unplaced, j.ready()...)
	d.placeAgain(now)
}

// Abandon handles a caller that has gone. A job without callers is withdrawn.
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
	d.record("job-abandoned", slog.String("job", j.ID), slog.Duration("after", now.Sub(j.arrived)))
	d.end(j)
}

// Cancel ends a job for its caller, who gets the answer that it has failed. It returns
// false if no such job is in progress here.
func (d *Dispatcher) Cancel(now time.Time, id string) bool {
	j := d.jobs[id]
	if j == nil {
		return false
	}
	d.finish(now, j, Failed, zinniasill.ReasonCancelled)
	return true
}

// Waiting returns the number of a queue's jobs of which no task has started.
func (d *Dispatcher) Waiting(queue string) int {
	count := 0
	for _, j := range d.jobs {
		if j.Queue == queue && !j.ran {
			count++
		}
	}
	return count
}

// Idle reports whether no job is in progress.
func (d *Dispatcher) Idle() bool {
	return len(d.jobs) == 0
}

// Tick handles the passing of time.
func (d *Dispatcher) Tick(now time.Time) {
	for _, a := range d.order {
		if a.life != 0 && len(a.tasks) > 0 && now.Sub(a.heard) > LostTimeout {
			d.loseAgent(now, a, "agent-silent")
		}
		if now.Sub(a.heard) > answerAfter {
			d.answerHopeless(now, a)
		}
	}
	d.changed = true
}

// finish answers a job and ends it.
func (d *Dispatcher) finish(now time.Time, j *job, result Result, reason zinniasill.Reason) {
	d.record("job-ended", slog.String("job", j.ID), slog.String("queue", j.Queue),
		slog.String("result", string(result)), slog.String("reason", string(reason)),
		slog.Duration("after", now.Sub(j.arrived)), slog.Duration("goal", j.goal))
	d.reply(j, result, reason, 0)
	d.end(j)
}

func (d *Dispatcher) reply(j *job, result Result, reason zinniasill.Reason, after time.Duration) {
	for _, request := range j.requests {
		delete(d.requests, request)
		d.replies = append(d.replies, Reply{Request: request, Result: result, Reason: reason, RetryAfter: after})
	}
	j.requests = nil
}

// end forgets a job and withdraws what its agents still have of it.
func (d *Dispatcher) end(j *job) {
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
		t.agent.release(t)
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

// Replies returns and clears the answers.
func (d *Dispatcher) Replies() []Reply {
	out := d.replies
	d.replies = nil
	return out
}
