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
	OK bool `cbor:"1,keyasint,omitempty"`
	// Output is the endpoint's answer, whole.
	Output []byte `cbor:"2,keyasint,omitempty"`
	// Error says why the task failed.
	Error string `cbor:"3,keyasint,omitempty"`
	// Ran is RanUnknown when the endpoint gave no usable answer.
	Ran Ran `cbor:"4,keyasint,omitempty"`
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

// Histograms collect how long things took. Implementations must be safe for concurrent
// use.
type Histograms interface {
	// Observe adds a time to the histogram name with the label reason.
	Observe(name string, reason Reason, took time.Duration)
}

// AgentView is what an entry knows of one agent when it chooses where to offer a
// task.
type AgentView struct {
	Node   Node
	Domain Domain
	Slots  int
	// Busy, Queued, QueuedWork and RunningWork are the agent's last report.
	Busy        int
	Queued      int
	QueuedWork  time.Duration
	RunningWork time.Duration
	// Reported is when the last report arrived, zero if none has.
	Reported time.Time
	// Unanswered counts the entry's own offers that the report can't include yet,
	// and UnansweredWork is the sum of their expected run times.
	Unanswered     int
	UnansweredWork time.Duration
	// Joined is when the agent became eligible. Its share of the work grows from
	// then on.
	Joined time.Time
	// Failing is set while the agent's endpoint fails nearly everything that
	// succeeds elsewhere. Such an agent gets one task at a time.
	Failing bool
}

// Picker chooses an agent for one task.
type Picker interface {
	// Pick returns the index of the chosen agent, or -1 when usable is false for
	// every agent. It must not retain agents.
	Pick(now time.Time, agents []*AgentView, usable func(agent *AgentView) bool) int
}
