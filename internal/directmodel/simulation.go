// Package directmodel simulates entries, agents and endpoints of direct jobs in virtual
// time, with injected faults. It runs the real core/dispatch and core/executor against
// fake endpoints and checks invariants:
//
//	sim := directmodel.New(directmodel.Config{Entries: 2, Agents: 3})
//	sim.Submit(0, directmodel.Job("a", 4, 100*time.Millisecond))
//	sim.Run(time.Second)
//	for _, violation := range sim.Violations { ... }
package directmodel

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/dispatch"
	"zinniasill/core/executor"
	"zinniasill/core/message"
	"zinniasill/core/resource"
	"zinniasill/core/subset"
)

const (
	// linkDelay is the latency of a message between two processes.
	linkDelay = time.Millisecond
	// callDelay is the one-way latency of a call from an agent to its endpoint.
	callDelay = 500 * time.Microsecond
	// announceInterval is the interval between announcements of an endpoint.
	announceInterval = 1500 * time.Millisecond
	// timeResolution is the resolution of virtual time.
	timeResolution = 500 * time.Microsecond
)

// Kind is the kind of all endpoints.
const Kind = zinniasill.Kind("text")

// Config configures a Simulation.
type Config struct {
	// Entries and Agents are the numbers of processes of each role.
	Entries, Agents int
	// Domains is the number of failure domains, 3 if 0.
	Domains int
	// Capacity is the capacity of each endpoint, 10 cores if 0.
	Capacity resource.Amount
	// NoWarmup is passed to the entries.
	NoWarmup bool
	// IgnoreSpeed is that of all entries.
	IgnoreSpeed bool
	// Overload is the policy of all entries.
	Overload dispatch.OverloadPolicy
	// Log, if set, is called for each decision with the time since the start.
	Log func(at time.Duration, who, decision string, inputs []slog.Attr)
}

// Entry is the dispatcher of one entry and the state of its process.
type Entry struct {
	*dispatch.Dispatcher
	id          zinniasill.NodeID
	incarnation zinniasill.Incarnation
	dead        bool
	frozen      bool
	lastTick    time.Time
}

// Agent is the supervisor of one agent, the state of its process, and its endpoint.
type Agent struct {
	*executor.Supervisor
	Endpoint    *Endpoint
	id          zinniasill.NodeID
	incarnation zinniasill.Incarnation
	dead        bool
	frozen      bool
	renewals    []pendingRenewal
	lastTick    time.Time
	// lag is the time for which the host was suspended, which its clock does not count.
	lag time.Duration
}

// now returns the time by the clock of the agent's host.
func (a *Agent) now(s *Simulation) time.Time { return s.Now.Add(-a.lag) }

// Incarnation returns the current incarnation of the process.
func (e *Entry) Incarnation() zinniasill.Incarnation { return e.incarnation }

// Incarnation returns the current incarnation of the process.
func (a *Agent) Incarnation() zinniasill.Incarnation { return a.incarnation }

// pendingRenewal is a lease renewal that waits for a completion.
type pendingRenewal struct {
	call  executor.Call
	until time.Time
	// outcome and incarnation are those of the endpoint when the renewal arrived.
	outcome     zinniasill.OrderOutcome
	incarnation zinniasill.EndpointIncarnation
}

// Answer is the answer to one submission.
type Answer struct {
	dispatch.Reply
	Job string
	// Latency is the time from the submission to the answer.
	Latency time.Duration
}

// taskSpec describes the tasks of a job.
type taskSpec struct {
	need    resource.Amount
	runTime time.Duration
}

// Simulation is a set of entries, agents and endpoints in virtual time. Use New to
// create one.
type Simulation struct {
	// Now is the current virtual time.
	Now     time.Time
	Entries []*Entry
	Agents  []*Agent
	Answers []Answer
	// Violations describe the invariants that were violated.
	Violations []string
	// Drop reports whether a message between two processes is lost.
	Drop func(from, to zinniasill.NodeID) bool
	// CrashesEndpoint, if set, reports whether a task crashes each endpoint that starts it.
	CrashesEndpoint func(task zinniasill.TaskID) bool
	// CrashesHost extends these crashes to the agent of the endpoint.
	CrashesHost bool
	// Sent, if set, is called with each message that a process sends.
	Sent func(from zinniasill.NodeID, env message.Envelope)
	// Rewrite, if set, returns what is sent instead of a message.
	Rewrite func(env message.Envelope) message.Envelope
	// RunTime, if set, returns the nominal run time of a task, which is its estimate
	// otherwise.
	RunTime func(task zinniasill.TaskID) time.Duration

	cfg             Config
	start           time.Time
	events          eventQueue
	members         subset.Membership
	entriesByID     map[zinniasill.NodeID]*Entry
	agentsByID      map[zinniasill.NodeID]*Agent
	specs           map[string]taskSpec
	submitted       map[dispatch.RequestID]submission
	started         map[string]bool // by job
	starts          map[zinniasill.TaskID]int
	crashes         map[zinniasill.TaskID]*crashRecord
	lastRequest     dispatch.RequestID
	lastIncarnation zinniasill.Incarnation
}

// submission is the submission of a job and its time.
type submission struct {
	job string
	at  time.Time
}

// New returns a simulation in which all processes have started.
func New(cfg Config) *Simulation {
	if cfg.Capacity == (resource.Amount{}) {
		cfg.Capacity = resource.Amount{MilliCPU: 10_000, MemoryMB: 10_000}
	}
	if cfg.Domains == 0 {
		cfg.Domains = 3
	}
	start := time.Unix(1_000_000, 0)
	s := &Simulation{
		Now: start, start: start, cfg: cfg, specs: map[string]taskSpec{},
		submitted: map[dispatch.RequestID]submission{}, started: map[string]bool{}, starts: map[zinniasill.TaskID]int{},
		crashes:     map[zinniasill.TaskID]*crashRecord{},
		entriesByID: map[zinniasill.NodeID]*Entry{}, agentsByID: map[zinniasill.NodeID]*Agent{},
		Drop: func(zinniasill.NodeID, zinniasill.NodeID) bool { return false },
	}
	for i := range cfg.Agents {
		a := &Agent{id: zinniasill.NodeID(fmt.Sprintf("agent-%d", i))}
		a.Endpoint = &Endpoint{
			Incarnation: zinniasill.EndpointIncarnation{ID: fmt.Sprintf("endpoint-%d", i), StartedMillis: 1},
			Kind:        Kind, Capacity: cfg.Capacity, sim: s,
		}
		a.Endpoint.reset()
		s.Agents = append(s.Agents, a)
		s.agentsByID[a.id] = a
		s.members.Agents = append(s.members.Agents, subset.Member{ID: a.id, Domain: s.Domain(i)})
		s.RestartAgent(i)
	}
	for i := range cfg.Entries {
		e := &Entry{id: zinniasill.NodeID(fmt.Sprintf("entry-%d", i))}
		s.Entries = append(s.Entries, e)
		s.entriesByID[e.id] = e
		s.members.Entries = append(s.members.Entries, subset.Member{ID: e.id, Domain: s.Domain(i)})
	}
	for i := range s.Entries {
		s.RestartEntry(i)
	}
	return s
}

// Settle runs for two seconds so that the processes establish their sessions.
func (s *Simulation) Settle() {
	s.Run(2 * time.Second)
}

// Domain returns the failure domain of the i-th process of each role.
func (s *Simulation) Domain(i int) zinniasill.Domain {
	return zinniasill.Domain(fmt.Sprintf("zone-%d", i%s.cfg.Domains))
}

// RestartAgent begins a new incarnation of an agent; its endpoint keeps running.
func (s *Simulation) RestartAgent(i int) {
	a := s.Agents[i]
	s.lastIncarnation++
	a.incarnation = s.lastIncarnation
	a.dead, a.frozen = false, false
	a.renewals = nil
	a.Supervisor = executor.New(executor.Config{
		Self:   zinniasill.Node{ID: a.id, Incarnation: a.incarnation},
		Domain: s.Domain(i), Recorder: recorder{sim: s, who: string(a.id)},
	})
}

// RestartEntry begins a new incarnation of an entry. Callers of the previous one get no
// answer.
func (s *Simulation) RestartEntry(i int) {
	e := s.Entries[i]
	s.lastIncarnation++
	e.incarnation = s.lastIncarnation
	e.dead, e.frozen = false, false
	e.Dispatcher = dispatch.New(dispatch.Config{
		Self:   zinniasill.Node{ID: e.id, Incarnation: e.incarnation},
		Domain: s.Domain(i), Recorder: recorder{sim: s, who: string(e.id)},
		NoWarmup: s.cfg.NoWarmup, IgnoreSpeed: s.cfg.IgnoreSpeed, Overload: s.cfg.Overload,
	})
	e.SetMembers(s.Now, s.members)
}

// DomainOf returns the failure domain of a process, or an empty one if there is none of
// this id.
func (s *Simulation) DomainOf(id zinniasill.NodeID) zinniasill.Domain {
	for _, member := range slices.Concat(s.members.Entries, s.members.Agents) {
		if member.ID == id {
			return member.Domain
		}
	}
	return ""
}

// Job returns a job of one step whose tasks need one core each and run for run.
func Job(id string, tasks int, run time.Duration) dispatch.Job {
	return dispatch.Job{
		ID: id, Queue: "q", Kind: Kind, Attempts: 3, Stretch: 1.6, Objective: 60 * time.Millisecond,
		Steps: []dispatch.Step{{
			Count: tasks, Need: resource.Amount{MilliCPU: 1000, MemoryMB: 10}, Estimate: run,
		}},
	}
}

// Submit submits a job to an entry and returns the ID of the request.
func (s *Simulation) Submit(entry int, job dispatch.Job) dispatch.RequestID {
	return s.SubmitRun(entry, job, job.Steps[0].Estimate)
}

// SubmitRun is like Submit for a job whose tasks run for another time than estimated.
func (s *Simulation) SubmitRun(entry int, job dispatch.Job, run time.Duration) dispatch.RequestID {
	s.lastRequest++
	s.specs[job.ID] = taskSpec{need: job.Steps[0].Need, runTime: run}
	s.submitted[s.lastRequest] = submission{job: job.ID, at: s.Now}
	if !job.ArrivedAt.IsZero() {
		s.submitted[s.lastRequest] = submission{job: job.ID, at: job.ArrivedAt}
	}
	request, e := s.lastRequest, s.Entries[entry]
	s.runOnEntry(e, e.incarnation, func() { e.Submit(s.Now, request, job) })
	return request
}

// Abandon breaks the connection of the caller that made a request to an entry.
func (s *Simulation) Abandon(entry int, request dispatch.RequestID) {
	e := s.Entries[entry]
	s.runOnEntry(e, e.incarnation, func() { e.Abandon(s.Now, request) })
}

// After calls do once delay has passed.
func (s *Simulation) After(delay time.Duration, do func()) {
	s.events.push(s.Now.Add(delay), do)
}

// Run advances virtual time by length.
func (s *Simulation) Run(length time.Duration) {
	for end := s.Now.Add(length); s.Now.Before(end); {
		s.Now = s.Now.Add(timeResolution)
		s.advance()
	}
}

// advance processes everything that is due at the current time and checks invariants.
func (s *Simulation) advance() {
	s.runDueEvents()
	elapsed := s.Now.Sub(s.start)
	for _, a := range s.Agents {
		a.Endpoint.advance()
		s.answerRenewals(a)
		if elapsed%announceInterval < timeResolution && !a.Endpoint.Faults.Unresponsive && !a.Endpoint.down {
			s.runOnAgent(a, a.incarnation, func() { a.Announce(a.now(s), a.Endpoint.announcement()) })
		}
		if s.Now.Sub(a.lastTick) >= a.TickInterval() {
			a.lastTick = s.Now
			s.runOnAgent(a, a.incarnation, func() { a.Tick(a.now(s)) })
		}
	}
	for _, e := range s.Entries {
		if s.Now.Sub(e.lastTick) >= e.TickInterval() {
			e.lastTick = s.Now
			s.runOnEntry(e, e.incarnation, func() { e.Tick(s.Now) })
		}
	}
	s.checkConcurrentRuns()
}

// runDueEvents runs the events that are due, in order of their times. Events that they
// schedule for the current time run at the next step.
func (s *Simulation) runDueEvents() {
	for _, do := range s.events.due(s.Now) {
		do()
	}
}

// runOnAgent calls do on an agent's incarnation and then sends its messages and calls.
// It is deferred while the agent is frozen, and does nothing if the incarnation ended.
func (s *Simulation) runOnAgent(a *Agent, incarnation zinniasill.Incarnation, do func()) {
	if a.dead || a.incarnation != incarnation {
		return
	}
	if a.frozen {
		s.After(timeResolution, func() { s.runOnAgent(a, incarnation, do) })
		return
	}
	do()
	a.Flush(a.now(s))
	for _, env := range a.Outbox() {
		s.send(a.id, env)
	}
	for _, call := range a.Calls() {
		s.call(a, call)
	}
}

// runOnEntry is like runOnAgent for an entry.
func (s *Simulation) runOnEntry(e *Entry, incarnation zinniasill.Incarnation, do func()) {
	if e.dead || e.incarnation != incarnation {
		return
	}
	if e.frozen {
		s.After(timeResolution, func() { s.runOnEntry(e, incarnation, do) })
		return
	}
	do()
	s.flushEntry(e)
}

// flushEntry sends an entry's messages and records its replies as answers.
func (s *Simulation) flushEntry(e *Entry) {
	e.Flush(s.Now)
	for _, env := range e.Outbox() {
		s.send(e.id, env)
	}
	for _, reply := range e.Replies() {
		submission := s.submitted[reply.Request]
		s.Answers = append(s.Answers, Answer{Reply: reply, Job: submission.job, Latency: s.Now.Sub(submission.at)})
	}
}

// recorder passes the decisions of one process to the Log of the simulation.
type recorder struct {
	sim *Simulation
	who string
}

// Record passes a decision to the log. It implements zinniasill.Recorder.
func (r recorder) Record(decision string, inputs ...slog.Attr) {
	if r.sim.cfg.Log != nil {
		r.sim.cfg.Log(r.sim.Now.Sub(r.sim.start), r.who, decision, inputs)
	}
}
