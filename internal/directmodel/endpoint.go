package directmodel

import (
	"cmp"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/resource"
)

// Faults are the faults to inject at an endpoint.
type Faults struct {
	// Unanswered, if set, reports whether a call gets no answer. An unanswered call is
	// executed after ExecutionDelay, or never if that is 0.
	Unanswered     func(call executor.Call) bool
	ExecutionDelay time.Duration
	// LateGrants makes the deadlines of calls that are executed late count from their
	// execution.
	LateGrants bool
	// ResetConnections makes unanswered calls fail at once instead of after their timeout.
	ResetConnections bool
	// Slow is a factor that multiplies run times, 1 if 0.
	Slow float64
	// Hang prevents tasks from completing, Fail makes them complete as failed.
	Hang, Fail bool
	// AnswerDelay delays the answers to all calls.
	AnswerDelay time.Duration
	// Unresponsive makes the endpoint answer no calls and announce nothing.
	Unresponsive bool
}

// stopTime is the time that stopping a run takes.
const stopTime = 20 * time.Millisecond

// Endpoint is a fake endpoint that rejects starts beyond its capacity, or records them as
// violations if it is Unguarded.
type Endpoint struct {
	Incarnation zinniasill.EndpointIncarnation
	Kind        zinniasill.Kind
	Capacity    resource.Amount
	Faults      Faults
	Draining    bool
	// Unguarded makes the endpoint start whatever it is told to.
	Unguarded bool
	// ClockRate is the rate of the endpoint's clock, 1 if 0.
	ClockRate float64
	// RunRatio is the ratio of run times to nominal ones, 1 if 0.
	RunRatio float64

	sim            *Simulation
	down           bool // crashed and not started again
	announced      []announcedCapacity
	clockStart     time.Time
	sequence       uint64
	deadline       time.Duration // of the lease, on the endpoint's clock
	fence          uint64
	running        map[zinniasill.TaskID]*run
	highestRun     map[zinniasill.TaskID]zinniasill.Attempt
	completions    []zinniasill.Completion
	lastCompletion uint64
	// Starts counts runs that began, Expired those that ended because the lease expired.
	Starts, Expired int
}

// run is one run of a task at an endpoint.
type run struct {
	attempt zinniasill.Attempt
	need    resource.Amount
	endAt   time.Time
	stopAt  time.Time
}

// clock returns the current time of the endpoint's own clock.
func (e *Endpoint) clock() time.Duration {
	elapsed := e.sim.Now.Sub(e.clockStart)
	if e.ClockRate == 0 {
		return elapsed
	}
	return time.Duration(float64(elapsed) * e.ClockRate)
}

// Restart discards all runs and begins a new incarnation with the same ID, which is all that
// calls are addressed to.
func (e *Endpoint) Restart() {
	e.Incarnation.StartedMillis += 1000
	e.down = false
	e.reset()
}

// reset sets the state of an endpoint that has just started.
func (e *Endpoint) reset() {
	// The clock of a real endpoint does not start at 0 either.
	e.clockStart = e.sim.Now.Add(-time.Minute)
	e.deadline = e.clock()
	e.sequence = 0
	e.fence = 0
	e.running = map[zinniasill.TaskID]*run{}
	e.highestRun = map[zinniasill.TaskID]zinniasill.Attempt{}
	e.completions = nil
	e.lastCompletion = 0
}

// announcedCapacity is a capacity that the endpoint has announced.
type announcedCapacity struct {
	capacity resource.Amount
	at       time.Time
}

// capacityLag is the time for which a larger capacity that was announced before still
// counts: the time bound of the platform's rules and one announcement.
const capacityLag = 3*time.Second + announceInterval

// checkCapacity records a violation if the use exceeds each capacity that still counts.
func (e *Endpoint) checkCapacity(used resource.Amount) {
	if used.Within(e.Capacity) {
		return
	}
	for i, announced := range e.announced {
		current := i == len(e.announced)-1 || e.sim.Now.Sub(e.announced[i+1].at) <= capacityLag
		if current && used.Within(announced.capacity) {
			return
		}
	}
	e.sim.recordViolation("endpoint %s runs %d thousandths of a core, more than its capacity", e.Incarnation.ID, used.MilliCPU)
}

// announcement returns the next announcement of the endpoint.
func (e *Endpoint) announcement() executor.Announcement {
	e.sequence++
	e.announced = append(e.announced, announcedCapacity{capacity: e.Capacity, at: e.sim.Now})
	return executor.Announcement{
		Incarnation: e.Incarnation, Sequence: e.sequence, Kind: e.Kind, Capacity: e.Capacity,
		Draining: e.Draining, Clock: e.clock(),
	}
}

// Running returns the number of runs in progress.
func (e *Endpoint) Running() int {
	return len(e.running)
}

// advance ends the runs that are due.
func (e *Endpoint) advance() {
	expired := e.clock() > e.deadline
	for _, id := range e.runningIDs() {
		r := e.running[id]
		switch {
		case expired:
			e.Expired++
			e.complete(id, r, zinniasill.CompletionStopped)
		case !r.stopAt.IsZero() && !e.sim.Now.Before(r.stopAt):
			e.complete(id, r, zinniasill.CompletionStopped)
		case !e.Faults.Hang && r.stopAt.IsZero() && !e.sim.Now.Before(r.endAt):
			reason := zinniasill.CompletionDone
			if e.Faults.Fail {
				reason = zinniasill.CompletionFailed
			}
			e.complete(id, r, reason)
		}
	}
}

// runningIDs returns the running tasks in ascending order of their attempts, and those of
// the same attempt by id, so that each replay ends them in the same order.
func (e *Endpoint) runningIDs() []zinniasill.TaskID {
	ids := make([]zinniasill.TaskID, 0, len(e.running))
	for id := range e.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b zinniasill.TaskID) int {
		return cmp.Or(cmp.Compare(e.running[a].attempt, e.running[b].attempt), cmp.Compare(a.Job, b.Job),
			cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return ids
}

// complete ends a run and records its completion.
func (e *Endpoint) complete(id zinniasill.TaskID, r *run, reason zinniasill.CompletionReason) {
	delete(e.running, id)
	e.lastCompletion++
	e.completions = append(e.completions, zinniasill.Completion{Number: e.lastCompletion, Task: id, Run: r.attempt, Reason: reason})
}

// execute executes an order. The lists that a renewal returns are not part of the result.
func (e *Endpoint) execute(call executor.Call) zinniasill.OrderResult {
	result := zinniasill.OrderResult{Clock: e.clock(), Outcome: zinniasill.OrderAccepted}
	if e.down {
		result.Outcome = zinniasill.OrderUnreachable
		return result
	}
	if call.Renew != nil {
		result.Outcome = e.startRenewal(*call.Renew)
		return result
	}
	if call.Start != nil {
		result.Outcome = e.startRun(*call.Start)
		return result
	}
	stop := *call.Stop
	result.Outcome = e.admit(stop.Incarnation, stop.Fence)
	if result.Outcome == zinniasill.OrderAccepted {
		e.highestRun[stop.Task] = max(e.highestRun[stop.Task], stop.Run)
		if r := e.running[stop.Task]; r != nil && r.attempt <= stop.Run && r.stopAt.IsZero() {
			r.stopAt = e.sim.Now.Add(stopTime)
		}
	}
	return result
}

// executeLate executes a call some time after it was sent, unless the endpoint has
// restarted since.
func (e *Endpoint) executeLate(call executor.Call) {
	incarnation, sentAt := e.Incarnation, e.clock()
	lateGrants := e.Faults.LateGrants
	e.sim.After(e.Faults.ExecutionDelay, func() {
		if e.Incarnation != incarnation || e.down {
			return
		}
		if lateGrants {
			call = withLaterDeadline(call, e.clock()-sentAt)
		}
		e.execute(call)
	})
}

// withLaterDeadline returns a copy of the call with its deadline, if it has one, moved by
// delay.
func withLaterDeadline(call executor.Call, delay time.Duration) executor.Call {
	if call.Start != nil {
		start := *call.Start
		start.Deadline += delay
		call.Start = &start
	}
	if call.Renew != nil && call.Renew.Deadline > 0 {
		renew := *call.Renew
		renew.Deadline += delay
		call.Renew = &renew
	}
	return call
}

// admit checks the addressee of an order and its fencing token.
func (e *Endpoint) admit(addressee zinniasill.EndpointIncarnation, fence uint64) zinniasill.OrderOutcome {
	if addressee.ID != e.Incarnation.ID {
		return zinniasill.OrderOtherIncarnation
	}
	if fence < e.fence {
		return zinniasill.OrderFenced
	}
	e.fence = fence
	return zinniasill.OrderAccepted
}

// startRenewal extends the lease and discards the completions that the order acknowledges.
func (e *Endpoint) startRenewal(order zinniasill.RenewOrder) zinniasill.OrderOutcome {
	outcome := e.admit(order.Incarnation, order.Fence)
	if outcome == zinniasill.OrderAccepted {
		e.extend(order.Deadline)
		e.completions = slices.DeleteFunc(e.completions, func(c zinniasill.Completion) bool { return c.Number <= order.Cursor })
	}
	return outcome
}

// startRun starts a run unless the order is outdated or exceeds the free capacity.
func (e *Endpoint) startRun(order zinniasill.StartOrder) zinniasill.OrderOutcome {
	if outcome := e.admit(order.Incarnation, order.Fence); outcome != zinniasill.OrderAccepted {
		return outcome
	}
	if r := e.running[order.Task]; r != nil && r.attempt == order.Run {
		return zinniasill.OrderAccepted
	}
	spec := e.sim.specs[order.Task.Job]
	switch {
	case order.Run <= e.highestRun[order.Task]:
		return zinniasill.OrderOldRun
	case order.Deadline < e.clock():
		return zinniasill.OrderLate
	case !e.Unguarded && !e.used().Add(spec.need).Within(e.Capacity):
		return zinniasill.OrderNoCapacity
	}
	if e.Unguarded {
		e.checkCapacity(e.used().Add(spec.need))
	}
	e.extend(order.Deadline)
	e.Starts++
	e.highestRun[order.Task] = order.Run
	runTime := float64(spec.runTime)
	if e.sim.RunTime != nil {
		runTime = float64(e.sim.RunTime(order.Task))
	}
	if e.RunRatio > 0 {
		runTime *= e.RunRatio
	}
	if e.Faults.Slow > 0 {
		runTime *= e.Faults.Slow
	}
	e.running[order.Task] = &run{
		attempt: order.Run, need: spec.need, endAt: e.sim.Now.Add(time.Duration(runTime)),
	}
	e.sim.recordStart(order.Task)
	e.sim.crashAfterStart(e, order.Task)
	return zinniasill.OrderAccepted
}

// used returns the capacity that is in use.
func (e *Endpoint) used() resource.Amount {
	var sum resource.Amount
	for _, r := range e.running {
		sum = sum.Add(r.need)
	}
	return sum
}

// extend extends the lease until deadline, but to no later than a second from now. It
// never shortens the lease.
func (e *Endpoint) extend(deadline time.Duration) {
	e.deadline = max(e.deadline, min(deadline, e.clock()+time.Second))
}

// renewLease returns the answer to a lease renewal with the given outcome from the current
// state.
func (e *Endpoint) renewLease(outcome zinniasill.OrderOutcome) zinniasill.RenewResult {
	result := zinniasill.RenewResult{
		OrderResult: zinniasill.OrderResult{Outcome: outcome, Clock: e.clock()}, StartedMillis: e.Incarnation.StartedMillis,
	}
	if outcome != zinniasill.OrderAccepted {
		return result
	}
	for _, id := range e.runningIDs() {
		result.Running = append(result.Running, zinniasill.RunningTask{Task: id, Run: e.running[id].attempt})
	}
	result.Completions = slices.Clone(e.completions)
	return result
}
