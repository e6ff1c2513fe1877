package zinniasill

import (
	"context"
	"time"
)

// Clock is a source of time. Its readings are compared only with other readings of the
// same clock, never across machines.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// NewTicker returns a channel that delivers the time once every period, and a
	// function that stops the ticker.
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

// Outcome is the result of a task that has been started.
type Outcome struct {
	// OK is true if the endpoint completed the task.
	OK bool `cbor:"1,keyasint,omitempty"`
	// Output is the endpoint's complete answer.
	Output []byte `cbor:"2,keyasint,omitempty"`
	// Error describes why the task failed.
	Error string `cbor:"3,keyasint,omitempty"`
	// Ran is RanUnknown if the endpoint returned no usable answer.
	Ran Ran `cbor:"4,keyasint,omitempty"`
}

// Runner runs a task on the endpoint that belongs to an agent. Run returns when the
// endpoint has answered or ctx is done.
type Runner interface {
	Run(ctx context.Context, task Task) Outcome
}

// Counters counts events. Implementations must be safe for concurrent use.
type Counters interface {
	// Inc adds 1 to the counter name with the label reason. If reason is empty, the
	// counter has no label.
	Inc(name string, reason Reason)
}

// Histograms collects durations. Implementations must be safe for concurrent use.
type Histograms interface {
	// Observe adds a duration to the histogram name with the label reason.
	Observe(name string, reason Reason, took time.Duration)
}

// AgentView is an entry's view of one agent when it chooses where to offer a task.
type AgentView struct {
	Node   Node
	Domain Domain
	Slots  int
	// Busy, Queued, QueuedWork and RunningWork are from the agent's last report.
	Busy        int
	Queued      int
	QueuedWork  time.Duration
	RunningWork time.Duration
	// Reported is the time at which the last report arrived, zero if none has.
	Reported time.Time
	// Unanswered counts the entry's own offers that the report cannot include yet.
	// UnansweredWork is the sum of their expected run times.
	Unanswered     int
	UnansweredWork time.Duration
	// Joined is the time at which the agent became eligible. Its share of the work
	// increases gradually from then on.
	Joined time.Time
	// Failing is true while the agent's endpoint fails nearly all tasks although they
	// succeed elsewhere. Such an agent is given one task at a time.
	Failing bool
}

// Picker chooses an agent for a task.
type Picker interface {
	// Pick returns the index of the chosen agent, or -1 if usable returns false for
	// every agent. It must not retain agents.
	Pick(now time.Time, agents []*AgentView, usable func(agent *AgentView) bool) int
}
