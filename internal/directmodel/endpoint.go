package directmodel

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/resource"
)

// Faults are what may go wrong at an endpoint.
type Faults struct {
	// Unanswered, if set, says whether an order gets no answer. It is then carried out
	// after Late, or never if Late is 0.
	Unanswered func(call executor.Call) bool
	Late       time.Duration
	// Closes has unanswered orders fail at once instead of after their timeout.
	Closes bool
	// Slow multiplies run times, 0 stands for 1.
	Slow float64
	// Hang keeps tasks from ending, Fail has them end as failed.
	Hang, Fail bool
	// Silent answers nothing at all.
	Silent bool
}

// stopTime is how long a stop takes.
const stopTime = 20 * time.Millisecond

// Endpoint is a stand-in for an endpoint that guards its room.
type Endpoint struct {
	Life     zinniasill.EndpointIncarnation
	Kind     zinniasill.Kind
	Capacity resource.Amount
	Faults   Faults
	Draining bool
	// ClockRate is the rate of the endpoint's clock, 1 if 0.
	ClockRate float64

	world    *World
	born     time.Time
	sequence uint64
	deadline time.Duration // of the lease, on the endpoint's clock
	fence    uint64
	running  map[zinniasill.TaskID]*run
	highest  map[zinniasill.TaskID]zinniasill.Attempt
	ends     []zinniasill.Completion
	number   uint64
	// Starts counts runs that began, Lapsed those that ended with their lease.
	Starts, Lapsed int
}

// run is one run at an endpoint.
type run struct {
	number zinniasill.Attempt
	need   resource.Amount
	endAt  time.Time
	stopAt time.Time
}

func (e *Endpoint) clock() time.Duration {
	elapsed := e.world.Now.Sub(e.born)
	if e.ClockRate == 0 {
		return elapsed
	}
	return time.Duration(float64(elapsed) * e.ClockRate)
}

// Restart ends everything and begins a new life under the same id.
func (e *Endpoint) Restart() {
	e.Life.StartedMillis += 1000
	e.begin()
}

func (e *Endpoint) begin() {
	// The clock of an endpoint does not begin at 0.
	e.born = e.world.Now.Add(-time.Minute)
	e.deadline = e.clock()
	e.sequence = 0
	e.fence = 0
	e.running = map[zinniasill.TaskID]*run{}
	e.highest = map[zinniasill.TaskID]zinniasill.Attempt{}
	e.ends = nil
	e.number = 0
}

// announcement returns what the endpoint says of itself now.
func (e *Endpoint) announcement() executor.Announcement {
	e.sequence++
	return executor.Announcement{
		Incarnation: e.Life, Sequence: e.sequence, Kind: e.Kind, Capacity: e.Capacity,
		Draining: e.Draining, Clock: e.clock(),
	}
}

// Running returns the number of runs in progress.
func (e *Endpoint) Running() int {
	return len(e.running)
}

// step ends the runs that are due.
func (e *Endpoint) step() {
	lapsed := e.clock() > e.deadline
	for _, id := range e.ids() {
		r := e.running[id]
		switch {
		case lapsed:
			e.Lapsed++
			e.end(id, r, zinniasill.CompletionStopped)
		case !r.stopAt.IsZero() && !e.world.Now.Before(r.stopAt):
			e.end(id, r, zinniasill.CompletionStopped)
		case !e.Faults.Hang && r.stopAt.IsZero() && !e.world.Now.Before(r.endAt):
			reason := zinniasill.CompletionDone
			if e.Faults.Fail {
				reason = zinniasill.CompletionFailed
			}
			e.end(id, r, reason)
		}
	}
}

func (e *Endpoint) ids() []zinniasill.TaskID {
	ids := make([]zinniasill.TaskID, 0, len(e.running))
	for id := range e.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b zinniasill.TaskID) int {
		return int(e.running[a].number) - int(e.running[b].number)
	})
	return ids
}

func (e *Endpoint) end(id zinniasill.TaskID, r *run, reason zinniasill.CompletionReason) {
	delete(e.running, id)
	e.number++
	e.ends = append(e.ends, zinniasill.Completion{Number: e.number, Task: id, Run: r.number, Reason: reason})
}

// order carries out a start or stop.
func (e *Endpoint) order(call executor.Call) zinniasill.OrderResult {
	result := zinniasill.OrderResult{Clock: e.clock(), Outcome: zinniasill.OrderAccepted}
	if call.Start != nil {
		result.Outcome = e.startRun(*call.Start)
		return result
	}
	stop := *call.Stop
	switch {
	case stop.Incarnation != e.Life:
		result.Outcome = zinniasill.OrderOtherIncarnation
	case stop.Fence < e.fence:
		result.Outcome = zinniasill.OrderFenced
	default:
		e.fence = stop.Fence
		e.highest[stop.Task] = max(e.highest[stop.Task], stop.Run)
		if r := e.running[stop.Task]; r != nil && r.number <= stop.Run && r.stopAt.IsZero() {
			r.stopAt = e.world.Now.Add(stopTime)
		}
	}
	return result
}

func (e *Endpoint) startRun(order zinniasill.StartOrder) zinniasill.OrderOutcome {
	if order.Incarnation != e.Life {
		return zinniasill.OrderOtherIncarnation
	}
	if order.Fence < e.fence {
		return zinniasill.OrderFenced
	}
	if r := e.running[order.Task]; r != nil && r.number == order.Run {
		return zinniasill.OrderAccepted
	}
	spec := e.world.specs[order.Task.Job]
	switch {
	case order.Run <= e.highest[order.Task]:
		return zinniasill.OrderOldRun
	case order.Deadline < e.clock():
		return zinniasill.OrderLate
	case !e.used().Add(spec.need).Within(e.Capacity):
		return zinniasill.OrderNoCapacity
	}
	e.fence = order.Fence
	e.extend(order.Deadline)
	e.Starts++
	e.highest[order.Task] = order.Run
	length := float64(spec.run)
	if e.Faults.Slow > 0 {
		length *= e.Faults.Slow
	}
	e.running[order.Task] = &run{
		number: order.Run, need: spec.need, endAt: e.world.Now.Add(time.Duration(length)),
	}
	e.world.noteStart(e, order.Task)
	return zinniasill.OrderAccepted
}

func (e *Endpoint) used() resource.Amount {
	var sum resource.Amount
	for _, r := range e.running {
		sum = sum.Add(r.need)
	}
	return sum
}

// extend never shortens the lease, and never beyond a second.
func (e *Endpoint) extend(deadline time.Duration) {
	e.deadline = max(e.deadline, min(deadline, e.clock()+time.Second))
}

// hold answers a hold as of now.
func (e *Endpoint) hold(order zinniasill.RenewOrder) zinniasill.RenewResult {
	var result zinniasill.RenewResult
	result.Clock = e.clock()
	result.Outcome = zinniasill.OrderAccepted
	if order.Incarnation != e.Life {
		result.Outcome = zinniasill.OrderOtherIncarnation
		return result
	}
	if order.Fence < e.fence {
		result.Outcome = zinniasill.OrderFenced
		return result
	}
	e.ends = slices.DeleteFunc(e.ends, func(end zinniasill.Completion) bool { return end.Number <= order.Cursor })
	for _, id := range e.ids() {
		result.Running = append(result.Running, zinniasill.RunningTask{Task: id, Run: e.running[id].number})
	}
	result.Completions = slices.Clone(e.ends)
	return result
}
