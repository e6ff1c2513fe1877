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

// Life returns the present life of the process.
func (e *Entry) Life() zinniasill.Incarnation { return e.life }

// Life returns the present life of the process.
func (a *Agent) Life() zinniasill.Incarnation { return a.life }

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
			Life: zinniasill.EndpointIncarnation{ID: fmt.Sprintf("endpoint-%d", i), StartedMillis: 1},
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

// Gone reports whether the life of an entry that a dispatcher belongs to has ended.
func (w *World) Gone(entry int, life *dispatch.Dispatcher) bool {
	e := w.Entries[entry]
	return e.dead || e.Dispatcher != life
}
