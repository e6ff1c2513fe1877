package job

import (
	_ "embed"

	"zinniasill/core/chart"
)

//go:embed job.chart.yaml
var jobChartFile []byte

//go:embed task.chart.yaml
var taskChartFile []byte

// noTransition marks an event that is not valid in a state.
const noTransition = 0xff

// transitionTable is a chart indexed by the numbers of its states and events. Looking
// states up by name is too slow at 37,000 tasks/s with several transitions each.
type transitionTable [][]uint8

// compileChart loads a chart. States and events are numbered by their positions in the
// lists of names.
func compileChart(name string, file []byte, states []chart.State, events []chart.Event) transitionTable {
	loaded := chart.MustLoad(name, file, chart.Expected{States: states, Events: events})
	number := map[chart.State]uint8{}
	for i, s := range states {
		number[s] = uint8(i)
	}
	t := make(transitionTable, len(states))
	for i, s := range states {
		t[i] = make([]uint8, len(events))
		for j, e := range events {
			t[i][j] = noTransition
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

// event triggers a transition of a job.
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

var jobChart = compileChart("job.chart.yaml", jobChartFile, stateNames, eventNames)

// transition applies an event to a job and reports whether the event is valid in the
// job's state. An invalid event is a fault in this package: it is counted and leaves the
// state unchanged.
func (c *Coordinator) transition(r *record, e event) bool {
	next := jobChart[r.state][e]
	if next == noTransition {
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
	taskStateCount = iota
)

// taskEvent triggers a transition of a task.
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

var taskChart = compileChart("task.chart.yaml", taskChartFile, taskStateNames, taskEventNames)
