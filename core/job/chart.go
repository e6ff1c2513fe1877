package job

import (
	_ "embed"

	"zinniasill/core/chart"
)

//go:embed job.chart.yaml
var jobChartFile []byte

//go:embed task.chart.yaml
var taskChartFile []byte

// none marks an event that a state does not have.
const none = 0xff

// table is a chart with its states and events as numbers. The states of 37,000
// tasks/s change several times each, which makes look-ups by name too slow.
type table [][]uint8

// compile loads a chart whose states and events are numbered by their positions
// in the lists of names.
func compile(name string, file []byte, states []chart.State, events []chart.Event) table {
	loaded := chart.MustLoad(name, file, chart.Expected{States: states, Events: events})
	number := map[chart.State]uint8{}
	for i, s := range states {
		number[s] = uint8(i)
	}
	t := make(table, len(states))
	for i, s := range states {
		t[i] = make([]uint8, len(events))
		for j, e := range events {
			t[i][j] = none
			if next, err := loaded.Next(s, e); err == nil {
				t[i][j] = number[next]
			}
		}
	}
	return t
}

// state is the state of a job.
type state uint8

// Values of state.
const (
	stateClaiming state = iota
	stateRefusing
	stateAttached
	stateFencing
	statePlacing
	stateRunning
	stateClosing
	stateComplete
	stateFailed
	stateGone
)

var stateNames = []chart.State{
	"claiming", "refusing", "attached", "fencing", "placing", "running", "closing", "complete", "failed", "gone",
}

// String returns the name of the state in the state chart.
func (s state) String() string {
	return string(stateNames[s])
}

// event moves a job to another state.
type event uint8

// Values of event.
const (
	eventRefuse event = iota
	eventJoin
	eventClaim
	eventAttach
	eventFence
	eventPlace
	eventPlaced
	eventClose
	eventComplete
	eventFail
	eventDrop
)

var eventNames = []chart.Event{
	"refuse", "join", "claim", "attach", "fence", "place", "placed", "close", "complete", "fail", "drop",
}

var jobChart = compile("job.chart.yaml", jobChartFile, stateNames, eventNames)

// move applies an event. An event that the chart does not have is a fault of this
// package; the state then stays.
func (c *Coordinator) move(r *record, e event) bool {
	next := jobChart[r.state][e]
	if next == none {
		c.cfg.Counters.Inc(CounterUnexpected, "job")
		return false
	}
	r.state = state(next)
	return true
}

// taskState is the state of a task at the owner of its job.
type taskState uint8

// Values of taskState.
const (
	taskWaiting taskState = iota
	taskOffered
	taskQueued
	taskGranted
	taskRunning
	taskFinished
	taskFailed
	taskUnknown
	taskClosed
	taskStates = iota
)

// taskEvent moves a task to another state.
type taskEvent uint8

// Values of taskEvent.
const (
	taskOffer taskEvent = iota
	taskQueue
	taskGrant
	taskStart
	taskFinish
	taskFail
	taskReturn
	taskLose
	taskClose
)

var taskStateNames = []chart.State{
	"waiting", "offered", "queued", "granted", "running", "finished", "failed", "unknown", "closed",
}

var taskEventNames = []chart.Event{
	"offer", "queue", "grant", "start", "finish", "fail", "return", "lose", "close",
}

var taskChart = compile("task.chart.yaml", taskChartFile, taskStateNames, taskEventNames)
