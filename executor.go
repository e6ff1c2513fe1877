package zinniasill

import (
	"context"
	"log/slog"
	"time"
)

// Executor is an endpoint that runs tasks under leases and is told each step: it
// starts a task on an order, lists what runs and what has ended, and ends everything
// when its lease is not renewed. Times named Deadline are on the endpoint's clock.
type Executor interface {
	// Start orders a run of a task.
	Start(ctx context.Context, order StartOrder) OrderResult
	// Stop ends a run of a task, and keeps it from starting later.
	Stop(ctx context.Context, order StopOrder) OrderResult
	// Renew renews the lease and returns what runs and what has ended. It waits for
	// an end up to the order's Wait.
	Renew(ctx context.Context, order RenewOrder) RenewResult
}

// StartOrder orders a run of a task.
type StartOrder struct {
	Incarnation EndpointIncarnation
	Task TaskID
	// Run numbers the runs of the task at this endpoint. An endpoint refuses a run
	// that is not higher than one that has ended there.
	Run  Attempt
	Spec string
	// Deadline is the time after which the order must not be carried out; the lease
	// is extended to it.
	Deadline time.Duration
	Fence    uint64
}

// StopOrder ends a run.
type StopOrder struct {
	Incarnation  EndpointIncarnation
	Task  TaskID
	Run   Attempt
	Fence uint64
}

// RenewOrder renews the lease of all that runs.
type RenewOrder struct {
	Incarnation     EndpointIncarnation
	Deadline time.Duration
	Fence    uint64
	// Cursor is the number of the last end that was taken note of.
	Cursor uint64
	Wait   time.Duration
}

// OrderOutcome says what became of an order.
type OrderOutcome string

// Values of OrderOutcome.
const (
	// OrderAccepted means that the order is carried out.
	OrderAccepted OrderOutcome = "accepted"
	// OrderNoCapacity, OrderOldRun, OrderLate and OrderFenced mean that the endpoint has
	// refused the order: for want of room, because a run of this or a higher number
	// has ended, after its deadline, or for a lower fencing token.
	OrderNoCapacity OrderOutcome = "no-room"
	OrderOldRun OrderOutcome = "old-run"
	OrderLate   OrderOutcome = "late"
	OrderFenced OrderOutcome = "fenced"
	// OrderInvalid means that the endpoint cannot read the order.
	OrderInvalid OrderOutcome = "invalid"
	// OrderUnhealthy means that the endpoint takes no orders at present.
	OrderUnhealthy OrderOutcome = "unhealthy"
	// OrderOtherIncarnation means that another life of the endpoint has answered.
	OrderOtherIncarnation OrderOutcome = "other-life"
	// OrderUnreachable means that nothing listens at the endpoint's address, so that
	// the order was not carried out.
	OrderUnreachable OrderOutcome = "unreachable"
	// OrderNoAnswer means that the order may be carried out, now or later.
	OrderNoAnswer OrderOutcome = "no-answer"
)

// OrderResult is the answer to an order.
type OrderResult struct {
	Outcome OrderOutcome
	// Clock is the endpoint's clock, 0 if the answer had none.
	Clock time.Duration
}

// RenewResult is the answer to a hold. The lists are set when it was accepted.
type RenewResult struct {
	OrderResult
	Running []RunningTask
	Completions   []Completion
}

// RunningTask is a run that an endpoint lists.
type RunningTask struct {
	Task TaskID
	Run  Attempt
}

// CompletionReason says how a run ended.
type CompletionReason string

// Values of EndReason.
const (
	CompletionDone   CompletionReason = "done"
	CompletionFailed CompletionReason = "failed"
	// CompletionStopped covers all ends that are no fault of the task.
	CompletionStopped CompletionReason = "stopped"
)

// Completion is an end that an endpoint lists. Number rises with each end.
type Completion struct {
	Number uint64
	Task   TaskID
	Run    Attempt
	Reason CompletionReason
}

// Recorder records decisions, with the inputs that led to them, for the people on
// call. It must not block.
type Recorder interface {
	Record(decision string, inputs ...slog.Attr)
}
