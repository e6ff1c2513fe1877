package zinniasill

import (
	"context"
	"log/slog"
	"time"
)

// Executor is the interface to an endpoint that runs tasks under a lease. The endpoint
// starts a run on an order, lists running tasks and completions, and stops all runs when
// its lease is not renewed. Deadlines are readings of the endpoint's clock.
type Executor interface {
	// Start orders the endpoint to start a run of a task.
	Start(ctx context.Context, order StartOrder) OrderResult
	// Stop stops a run of a task, and prevents it from starting later.
	Stop(ctx context.Context, order StopOrder) OrderResult
	// Renew renews the lease and returns the running tasks and the completions. It
	// blocks for up to the order's Wait until there is a new completion.
	Renew(ctx context.Context, order RenewOrder) RenewResult
}

// StartOrder orders the start of a run of a task.
type StartOrder struct {
	Incarnation EndpointIncarnation
	Task        TaskID
	// Run numbers the runs of the task at this endpoint. The endpoint refuses a run
	// whose number is not higher than that of a run that has ended there.
	Run  Attempt
	Spec string
	// Deadline is the time after which the order must not be carried out. The lease is
	// extended to it.
	Deadline time.Duration
	Fence    uint64
}

// StopOrder orders the stop of a run.
type StopOrder struct {
	Incarnation EndpointIncarnation
	Task        TaskID
	Run         Attempt
	Fence       uint64
}

// RenewOrder renews the lease that covers all runs at the endpoint.
type RenewOrder struct {
	Incarnation EndpointIncarnation
	// Deadline is the time to which the lease is extended, 0 if it is not.
	Deadline time.Duration
	Fence    uint64
	// Cursor is the number of the last completion that was processed.
	Cursor uint64
	Wait   time.Duration
}

// OrderOutcome is the outcome of an order.
type OrderOutcome string

// Values of OrderOutcome.
const (
	// OrderAccepted means that the endpoint carries out the order.
	OrderAccepted OrderOutcome = "accepted"
	// OrderNoCapacity, OrderOldRun, OrderLate and OrderFenced mean that the endpoint
	// refused the order: because it lacks free capacity, because a run with this or a
	// higher number has ended, because the deadline had passed, or because the fencing
	// token was too low.
	OrderNoCapacity OrderOutcome = "no-room"
	OrderOldRun     OrderOutcome = "old-run"
	OrderLate       OrderOutcome = "late"
	OrderFenced     OrderOutcome = "fenced"
	// OrderInvalid means that the endpoint cannot parse the order.
	OrderInvalid OrderOutcome = "invalid"
	// OrderUnhealthy means that the endpoint accepts no orders at present.
	OrderUnhealthy OrderOutcome = "unhealthy"
	// OrderOtherIncarnation means that another incarnation of the endpoint answered.
	OrderOtherIncarnation OrderOutcome = "other-life"
	// OrderUnreachable means that nothing listens at the endpoint's address, so the
	// order was not carried out.
	OrderUnreachable OrderOutcome = "unreachable"
	// OrderNotSent means that the order was not sent, because no connection to the addressed
	// incarnation was established in time.
	OrderNotSent OrderOutcome = "not-sent"
	// OrderNoAnswer means that no answer arrived. The order may be carried out, now or
	// later.
	OrderNoAnswer OrderOutcome = "no-answer"
)

// OrderResult is the answer to an order.
type OrderResult struct {
	Outcome OrderOutcome
	// Clock is the reading of the endpoint's clock, 0 if the answer contained none.
	Clock time.Duration
}

// RenewResult is the answer to a RenewOrder. The lists are set if it was accepted.
type RenewResult struct {
	OrderResult
	// StartedMillis is the start time of the incarnation that answered, in milliseconds
	// since the Unix epoch, 0 if the answer does not tell.
	StartedMillis int64
	Running       []RunningTask
	Completions   []Completion
	// Unreadable are tasks that the endpoint lists as running without a usable run
	// number. A run of such a task may be in progress.
	Unreadable []TaskID
}

// RunningTask is a run in progress, as listed by an endpoint.
type RunningTask struct {
	Task TaskID
	Run  Attempt
}

// CompletionReason is the way in which a run ended.
type CompletionReason string

// Values of CompletionReason.
const (
	CompletionDone   CompletionReason = "done"
	CompletionFailed CompletionReason = "failed"
	// CompletionStopped covers all completions that the task itself did not cause.
	CompletionStopped CompletionReason = "stopped"
)

// Completion is the end of a run, as listed by an endpoint. Number increases with each
// completion. Task is zero if the endpoint does not name the run in a usable way. Number is
// 0 if it is not usable either.
type Completion struct {
	Number uint64
	Task   TaskID
	Run    Attempt
	Reason CompletionReason
}

// Recorder records decisions and the inputs that led to them, for operators. It must not
// block.
type Recorder interface {
	Record(decision string, inputs ...slog.Attr)
}
