// Package directmodel runs entries, agents and endpoints of jobs that are answered at
// their end in virtual time, with faults. It drives the real core/dispatch and
// core/executor against stand-ins of endpoints, and watches what must hold:
//
//	world := directmodel.New(directmodel.Config{Entries: 2, Agents: 3})
//	world.Submit(0, directmodel.Job("a", 4, 100*time.Millisecond))
//	world.Run(time.Second)
//	for _, broken := range world.Violations { ... }
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
)

const (
	// linkDelay is the time of a message between two processes.
	linkDelay = time.Millisecond
	// callDelay is the time of an order or its answer on one machine.
	callDelay = 500 * time.Microsecond
	// announceEvery is the time between two announcements of an endpoint.
	announceEvery = 1500 * time.Millisecond
	// tickEvery is the time between two ticks of a machine.
	tickEvery = 20 * time.Millisecond
	// stepEvery is the resolution of the virtual time.
	stepEvery = 500 * time.Microsecond
)

// Kind is the kind of all endpoints.
const Kind = zinniasill.Kind("text")

// Config configures a World.
type Config struct {
	Entries, Agents int
	// Capacity is the capacity of each endpoint, 10 cores if 0.
	Capacity resource.Amount
	// Log, if set, gets all decisions.
	Log func(at time.Duration, who, decision string, inputs []slog.Attr)
}

// Entry is one entry with its answers.
type Entry struct {
	*dispatch.Dispatcher
	id     zinniasill.NodeID
	life   zinniasill.Incarnation
	dead   bool
	frozen bool
}

// Agent is one agent and the endpoint beside it.
type Agent struct {
	*executor.Supervisor
	Endpoint *Endpoint
	id       zinniasill.NodeID
	life     zinniasill.Incarnation
	dead     bool
	frozen   bool
	holds    []heldCall
}

// heldCall is a hold that waits for an end.
type heldCall struct {
	call  executor.Call
	until time.Time
}

// Answer is the answer to one submission.
type Answer struct {
	dispatch.Reply
	Job   string
	After time.Duration
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type spec struct {
	need resource.Amount
	run  time.Duration
}

// World is the whole system in virtual time. Use New.
type World struct {
	Now     time.Time
	Entries []*Entry
	Agents  []*Agent
	Answers []Answer
	// Violations are the promises that were broken.
	Violations []string
	// Cut says whether messages between two processes are lost.
	Cut func(from, to zinniasill.NodeID) bool

	cfg       Config
	began     time.Time
	events    []event
	specs     map[string]spec
	submitted map[dispatch.RequestID]submission
	started   map[string]bool
	last      dispatch.RequestID
	lives     zinniasill.Incarnation
}

type submission struct {
	job string
	at  time.Time
}

// New returns a world in which all processes have started.
func New(cfg Config) *World {
	if cfg.Capacity == (resource.Amount{}) {
		cfg.Capacity = resource.Amount{MilliCPU: 10_000, MemoryMB: 10_000}
	}
	began := time.Unix(1_000_000, 0)
	w := &World{
		Now: began, began: began, cfg: cfg, specs: map[string]spec{},
		submitted: map[dispatch.RequestID]submission{}, started: map[string]bool{},
		Cut: func(zinniasill.NodeID, zinniasill.NodeID) bool { return false },
	}
	for i := range cfg.Agents {
		a := &Agent{id: zinniasill.NodeID(fmt.Sprintf("agent-%d", i))}
		a.Endpoint = &Endpoint{
			Life: zinniasill.EndpointLife{ID: fmt.Sprintf("endpoint-%d", i), Born: 1},
			Kind: Kind, Capacity: cfg.Capacity, world: w,
		}
		a.Endpoint.begin()
		w.Agents = append(w.Agents, a)
		w.RestartAgent(i)
	}
	for i := range cfg.Entries {
		w.Entries = append(w.Entries, &Entry{id: zinniasill.NodeID(fmt.Sprintf("entry-%d", i))})
		w.RestartEntry(i)
	}
	return w
}

// Settle lets the processes find each other.
func (w *World) Settle() {
	w.Run(2 * time.Second)
}

// domain spreads processes over three failure domains.
func domain(i int) zinniasill.Domain {
	return zinniasill.Domain(fmt.Sprintf("zone-%d", i%3))
}

// RestartAgent begins a new life of an agent's process; its endpoint goes on.
func (w *World) RestartAgent(i int) {
	a := w.Agents[i]
	w.lives++
	a.life = w.lives
	a.dead, a.frozen = false, false
	a.holds = nil
	a.Supervisor = executor.New(executor.Config{
		Self:   zinniasill.Node{ID: a.id, Incarnation: a.life},
		Domain: domain(i), Recorder: recorder{world: w, who: string(a.id)},
	})
}

// RestartEntry begins a new life of an entry. Its callers get no answer.
func (w *World) RestartEntry(i int) {
	e := w.Entries[i]
	w.lives++
	e.life = w.lives
	e.dead, e.frozen = false, false
	e.Dispatcher = dispatch.New(dispatch.Config{
		Self:   zinniasill.Node{ID: e.id, Incarnation: e.life},
		Domain: domain(i), Recorder: recorder{world: w, who: string(e.id)},
	})
	var agents []dispatch.AgentEntry
	for i, a := range w.Agents {
		agents = append(agents, dispatch.AgentEntry{ID: a.id, Domain: domain(i)})
	}
	e.SetAgents(w.Now, agents)
}

// KillEntry and KillAgent end a process. Connections to it are gone at once.
func (w *World) KillEntry(i int) { w.Entries[i].dead = true }

// KillAgent ends an agent's process.
func (w *World) KillAgent(i int) { w.Agents[i].dead = true }

// FreezeAgent stops an agent's process, or lets it go on. What has arrived meanwhile
// is handled then.
func (w *World) FreezeAgent(i int, frozen bool) { w.Agents[i].frozen = frozen }

// FreezeEntry stops an entry's process, or lets it go on.
func (w *World) FreezeEntry(i int, frozen bool) { w.Entries[i].frozen = frozen }

// Job returns a job of one step whose tasks need a core each.
func Job(id string, tasks int, run time.Duration) dispatch.Job {
	return dispatch.Job{
		ID: id, Queue: "q", Kind: Kind, Attempts: 3, Stretch: 1.6, Objective: 60 * time.Millisecond,
		Steps: []dispatch.Step{{
			Count: tasks, Need: resource.Amount{MilliCPU: 1000, MemoryMB: 10}, Estimate: run,
		}},
	}
}

// Submit hands a job to an entry.
func (w *World) Submit(entry int, job dispatch.Job) dispatch.RequestID {
	w.last++
	step := job.Steps[0]
	w.specs[job.ID] = spec{need: step.Need, run: step.Estimate}
	w.submitted[w.last] = submission{job: job.ID, at: w.Now}
	request, e := w.last, w.Entries[entry]
	w.toEntry(e, e.life, func() { e.Submit(w.Now, request, job) })
	return request
}

// After has something happen at a time from now.
func (w *World) After(delay time.Duration, do func()) {
	w.events = append(w.events, event{at: w.Now.Add(delay), do: do})
}

// Run lets time pass.
func (w *World) Run(length time.Duration) {
	for end := w.Now.Add(length); w.Now.Before(end); {
		w.Now = w.Now.Add(stepEvery)
		w.step()
	}
}

func (w *World) step() {
	w.carryOutEvents()
	since := w.Now.Sub(w.began)
	tick := since%tickEvery < stepEvery
	for _, a := range w.Agents {
		a.Endpoint.step()
		w.answerHolds(a)
		if since%announceEvery < stepEvery && !a.Endpoint.Faults.Silent {
			w.toAgent(a, a.life, func() { a.Announce(w.Now, a.Endpoint.announcement()) })
		}
		if tick {
			w.toAgent(a, a.life, func() { a.Tick(w.Now) })
		}
	}
	for _, e := range w.Entries {
		if tick {
			w.toEntry(e, e.life, func() { e.Tick(w.Now) })
		}
	}
	w.check()
}

// carryOutEvents runs the events that are due, in their order.
func (w *World) carryOutEvents() {
	var due []event
	w.events = slices.DeleteFunc(w.events, func(e event) bool {
		if e.at.After(w.Now) {
			return false
		}
		due = append(due, e)
		return true
	})
	slices.SortStableFunc(due, func(a, b event) int { return a.at.Compare(b.at) })
	for _, e := range due {
		e.do()
	}
}

// toAgent runs a step of an agent, later if it is frozen, never if it is gone.
func (w *World) toAgent(a *Agent, life zinniasill.Incarnation, do func()) {
	if a.dead || a.life != life {
		return
	}
	if a.frozen {
		w.After(stepEvery, func() { w.toAgent(a, life, do) })
		return
	}
	do()
	a.Flush(w.Now)
	for _, env := range a.Outbox() {
		w.send(a.id, env)
	}
	for _, call := range a.Calls() {
		w.call(a, call)
	}
}

func (w *World) toEntry(e *Entry, life zinniasill.Incarnation, do func()) {
	if e.dead || e.life != life {
		return
	}
	if e.frozen {
		w.After(stepEvery, func() { w.toEntry(e, life, do) })
		return
	}
	do()
	w.flushEntry(e)
}

func (w *World) flushEntry(e *Entry) {
	e.Flush(w.Now)
	for _, env := range e.Outbox() {
		w.send(e.id, env)
	}
	for _, reply := range e.Replies() {
		sent := w.submitted[reply.Request]
		w.Answers = append(w.Answers, Answer{Reply: reply, Job: sent.job, After: w.Now.Sub(sent.at)})
	}
}

func (w *World) send(from zinniasill.NodeID, env message.Envelope) {
	if w.Cut(from, env.To.ID) {
		return
	}
	env.From.ID = from
	w.After(linkDelay, func() {
		for _, a := range w.Agents {
			if a.id == env.To.ID {
				w.toAgent(a, a.life, func() { a.Receive(w.Now, env) })
			}
		}
		for _, e := range w.Entries {
			if e.id == env.To.ID {
				w.toEntry(e, e.life, func() { e.Receive(w.Now, env) })
			}
		}
	})
}

// call carries an order to the endpoint and its answer back.
func (w *World) call(a *Agent, call executor.Call) {
	life := a.life
	e := a.Endpoint
	unanswered := e.Faults.Silent || e.Faults.Unanswered != nil && e.Faults.Unanswered(call)
	if unanswered {
		if late := e.Faults.Late; late > 0 && call.Hold == nil {
			w.After(late, func() { e.order(call) })
		}
		w.After(call.Timeout, func() { w.noAnswer(a, life, call) })
		return
	}
	w.After(callDelay, func() {
		if call.Hold != nil {
			if call.Hold.Life == e.Life {
				e.extend(call.Hold.Deadline)
			}
			a.holds = append(a.holds, heldCall{call: call, until: w.Now.Add(call.Hold.Wait)})
			w.answerHolds(a)
			return
		}
		result := e.order(call)
		w.After(callDelay, func() {
			w.toAgent(a, life, func() { a.Answered(w.Now, call.ID, result) })
		})
	})
}

func (w *World) noAnswer(a *Agent, life zinniasill.Incarnation, call executor.Call) {
	none := zinniasill.OrderResult{Outcome: zinniasill.OrderNoAnswer}
	w.toAgent(a, life, func() {
		if call.Hold != nil {
			a.Held(w.Now, call.ID, zinniasill.HoldResult{OrderResult: none})
			return
		}
		a.Answered(w.Now, call.ID, none)
	})
}

// answerHolds answers the holds whose wait is over or that have an end to report.
func (w *World) answerHolds(a *Agent) {
	life := a.life
	waiting := a.holds
	a.holds = nil
	for _, held := range waiting {
		fresh := slices.ContainsFunc(a.Endpoint.ends, func(end zinniasill.EndedTask) bool {
			return end.Number > held.call.Hold.Cursor
		})
		if !fresh && w.Now.Before(held.until) {
			a.holds = append(a.holds, held)
			continue
		}
		result := a.Endpoint.hold(*held.call.Hold)
		w.After(callDelay, func() {
			w.toAgent(a, life, func() { a.Held(w.Now, held.call.ID, result) })
		})
	}
}

func (w *World) noteStart(_ *Endpoint, task zinniasill.TaskID) {
	w.started[task.Job] = true
}

// check records runs of one task at two endpoints.
func (w *World) check() {
	running := map[zinniasill.TaskID]int{}
	for _, a := range w.Agents {
		for id := range a.Endpoint.running {
			running[id]++
			if running[id] > 1 {
				w.violate("task %s runs at two endpoints at %v", id, w.Now.Sub(w.began))
			}
		}
	}
}

func (w *World) violate(format string, args ...any) {
	if len(w.Violations) < 10 {
		w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
	}
}

// recorder passes decisions to the world's log.
type recorder struct {
	world *World
	who   string
}

// Record implements zinniasill.Recorder.
func (r recorder) Record(decision string, inputs ...slog.Attr) {
	if r.world.cfg.Log != nil {
		r.world.cfg.Log(r.world.Now.Sub(r.world.began), r.who, decision, inputs)
	}
}

// CheckRefusals records the jobs of which a task started although each submission was
// refused. It is to be called at the end: a refused task may start later.
func (w *World) CheckRefusals() {
	tries := map[string]int{}
	for _, sent := range w.submitted {
		tries[sent.job]++
	}
	for _, answer := range w.Answers {
		if answer.Result == dispatch.Refused {
			tries[answer.Job]--
		}
	}
	for job, others := range tries {
		if others == 0 && w.started[job] {
			w.violate("job %s was refused as not run, but a task started", job)
		}
	}
}

// Gone reports whether the life of an entry that a dispatcher belongs to has ended.
func (w *World) Gone(entry int, life *dispatch.Dispatcher) bool {
	e := w.Entries[entry]
	return e.dead || e.Dispatcher != life
}
