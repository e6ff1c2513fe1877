package zinniasill

import (
	"context"
	"time"
)

// Clock is the source of time. Its readings are compared only with other
// readings of the same clock, never between machines.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// NewTicker returns a channel that delivers a reading every period, and a
	// function that stops it.
	NewTicker(period time.Duration) (ticks <-chan time.Time, stop func())
}

// Task is one unit of work as an endpoint receives it.
type Task struct {
	Key     Key
	Index   TaskIndex
	Attempt Attempt
	Profile ProfileName
	Payload []byte
}

// Outcome is the result of a task that was started.
type Outcome struct {
	// OK is true when the endpoint completed the task.
	OK bool
	// Output is the endpoint's answer, whole.
	Output []byte
	// Error says why the task failed.
	Error string
	// Ran is RanUnknown when the endpoint gave no usable answer.
	Ran Ran
}

// Runner runs a task on the endpoint beside an agent. Run returns when the
// endpoint answered or ctx ended.
type Runner interface {
	Run(ctx context.Context, task Task) Outcome
}

// Counters counts events. Implementations must be safe for concurrent use.
type Counters interface {
	// Inc adds 1 to the counter name with the label reason. An empty reason means
	// a counter without the label.
	Inc(name string, reason Reason)
}
