package job

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

// String returns the name of the state in the state chart.
func (s state) String() string {
	return [...]string{
		"claiming", "refusing", "attached", "fencing", "placing", "running", "closing", "complete", "failed", "gone",
	}[s]
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

// transitions is the state chart of a job.
var transitions = map[state]map[event]state{
	stateRefusing: {eventJoin: stateClaiming, eventClaim: stateClaiming, eventFail: stateFailed, eventDrop: stateGone},
	stateClaiming: {
		eventRefuse: stateRefusing, eventClaim: stateClaiming, eventAttach: stateAttached, eventFence: stateFencing, eventPlace: statePlacing,
		eventClose: stateClosing, eventFail: stateFailed, eventDrop: stateGone,
	},
	stateAttached: {
		eventClaim: stateClaiming, eventComplete: stateComplete, eventFail: stateFailed, eventDrop: stateGone,
	},
	stateFencing: {
		eventClaim: stateClaiming, eventPlace: statePlacing, eventClose: stateClosing,
		eventComplete: stateComplete, eventFail: stateFailed,
	},
	statePlacing: {
		eventClaim: stateClaiming, eventPlace: statePlacing, eventPlaced: stateRunning, eventClose: stateClosing,
		eventComplete: stateComplete, eventFail: stateFailed,
	},
	stateRunning: {
		eventClaim: stateClaiming, eventPlace: statePlacing, eventPlaced: stateRunning, eventClose: stateClosing,
		eventComplete: stateComplete, eventFail: stateFailed,
	},
	stateClosing:  {eventClaim: stateClaiming, eventFail: stateFailed},
	stateFailed:   {eventClaim: stateClaiming},
	stateComplete: {},
}

// move applies an event. An event that the chart does not have is a fault of this
// package; the state then stays.
func (c *Coordinator) move(r *record, e event) bool {
	next, ok := transitions[r.state][e]
	if !ok {
		c.cfg.Counters.Inc(CounterUnexpected, "job")
		return false
	}
	r.state = next
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

// taskTransitions is the state chart of a task at the owner of its job. A task
// leaves offered and granted backwards only when the agent says that the attempt
// has not started and never will; queued tasks start only after a grant.
var taskTransitions = map[taskState]map[taskEvent]taskState{
	taskWaiting: {
		taskOffer: taskOffered, taskStart: taskRunning, taskFinish: taskFinished, taskFail: taskFailed,
		taskLose: taskUnknown, taskClose: taskClosed,
	},
	taskOffered: {
		taskQueue: taskQueued, taskGrant: taskGranted, taskStart: taskRunning, taskFinish: taskFinished, taskFail: taskFailed,
		taskReturn: taskWaiting, taskLose: taskUnknown, taskClose: taskClosed,
	},
	taskQueued: {
		taskGrant: taskGranted, taskStart: taskRunning, taskFinish: taskFinished, taskFail: taskFailed,
		taskReturn: taskWaiting, taskClose: taskClosed,
	},
	taskGranted: {
		taskStart: taskRunning, taskFinish: taskFinished, taskFail: taskFailed,
		taskReturn: taskWaiting, taskLose: taskUnknown, taskClose: taskClosed,
	},
	taskRunning: {taskFinish: taskFinished, taskFail: taskFailed, taskLose: taskUnknown},
	taskClosed:  {taskStart: taskRunning, taskFinish: taskFinished, taskFail: taskFailed},
}
