package agent

import (
	_ "embed"
	"time"

	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/chart"
	"zinniasill/core/message"
)

//go:embed task.chart.yaml
var taskChartFile []byte

// States and events of task.chart.yaml.
const (
	stateOffered  chart.State = "offered"
	stateQueued   chart.State = "queued"
	stateFetching chart.State = "fetching"
	stateRunning  chart.State = "running"
	stateFinished chart.State = "finished"
	stateFailed   chart.State = "failed"
	stateClosed   chart.State = "closed"

	eventOffer  chart.Event = "offer"
	eventQueue  chart.Event = "queue"
	eventStart  chart.Event = "start"
	eventFetch  chart.Event = "fetch"
	eventWait   chart.Event = "wait"
	eventFinish chart.Event = "finish"
	eventFail   chart.Event = "fail"
	eventClose  chart.Event = "close"
)

var taskChart = chart.MustLoad("task.chart.yaml", taskChartFile, chart.Expected{
	States: []chart.State{
		stateOffered, stateQueued, stateFetching, stateRunning, stateFinished, stateFailed, stateClosed,
	},
	Events: []chart.Event{
		eventOffer, eventQueue, eventStart, eventFetch, eventWait, eventFinish, eventFail, eventClose,
	},
})

// job is the record of a job at the agent. It is retained until the epoch of the job's
// claim has left the retention window.
type job struct {
	key   zinniasill.Key
	epoch zinniasill.Epoch
	// term is the highest term received, and owner the entry that owns the job in it.
	// No task of a lower term may start.
	term  zinniasill.Term
	owner zinniasill.Node
	tasks map[zinniasill.TaskIndex]*task
	// unacked are the tasks whose outcome or return the owner has not acknowledged.
	unacked      []*task
	unsent       []*task // unacked tasks that have not been reported yet
	unsentListed bool    // the job is in Agent.unsent
	reporting    bool
	nextReportAt time.Time
	// deferred is set while the results in unsent are deferred, at most until
	// deferredUntil.
	deferred      bool
	deferredUntil time.Time
	// deferredReplies counts the deferred replies that refer to the job.
	deferredReplies int
	// dirty is set while the job is in Agent.dirty.
	dirty bool
	// unrecorded is set if the agent accepted no new job when this one arrived. The
	// record is then dropped after the reply.
	unrecorded bool
}

// task is the record of one task. State, term and attempt are those of the latest
// attempt, or of the one that started.
type task struct {
	job      *job
	index    zinniasill.TaskIndex
	state    chart.State
	term     zinniasill.Term
	attempt  zinniasill.Attempt
	reason   zinniasill.Reason
	profile  zinniasill.ProfileName
	payload  []byte
	expected time.Duration

	granted bool
	unacked bool
	evicted bool
	// output identifies the retained output. The Output field of outcome is empty.
	output         archive.OutputID
	outcome        zinniasill.Outcome
	queuedAt       time.Time
	overtakeWindow time.Duration
	fetchedAt      time.Time
	startedAt      time.Time
	took           time.Duration
	nextFetchAt    time.Time
	heapIndex      int
}

// started reports whether the task is running or has ended.
func (t *task) started() bool {
	return t.state == stateRunning || t.ended()
}

// ended reports whether the task was run and has an outcome.
func (t *task) ended() bool {
	return t.state == stateFinished || t.state == stateFailed
}

// isWaiting reports whether the task is waiting to be started.
func (t *task) isWaiting() bool {
	return t.state == stateOffered || t.state == stateQueued || t.state == stateFetching
}

func (t *task) ref() message.TaskRef {
	return message.TaskRef{Index: t.index, Attempt: t.attempt}
}

// apply applies an event. If the event is not allowed in the current state, the state
// is unchanged and an error is returned.
func (t *task) apply(event chart.Event) error {
	next, err := taskChart.Next(t.state, event)
	if err != nil {
		return err
	}
	t.state = next
	return nil
}

// olderThan reports whether (term, attempt) is later than the task's recorded attempt.
func (t *task) olderThan(term zinniasill.Term, attempt zinniasill.Attempt) bool {
	return term > t.term || term == t.term && attempt > t.attempt
}

// status returns the state of a task for the reply to a message about ref in a term. An
// attempt earlier than the latest one is reported as closed, unless the task has
// started.
func (a *Agent) status(t *task, term zinniasill.Term, ref message.TaskRef) message.TaskStatus {
	status := message.TaskStatus{Ref: ref}
	switch {
	case t.state == stateRunning:
		status.State = message.TaskRunning
	case t.ended():
		status.State = message.TaskFinished
		outcome, evicted := a.outcome(t)
		status.Outcome = &outcome
		status.Took = t.took
		if evicted {
			status.Reason = zinniasill.ReasonAnswerEvicted
		}
	case t.olderThan(term, ref.Attempt):
		status.State = message.TaskUnseen
	case t.term != term || t.attempt != ref.Attempt:
		status.State = message.TaskClosed
		status.Reason = zinniasill.ReasonSuperseded
	case t.state == stateClosed:
		status.State = message.TaskClosed
		status.Reason = t.reason
	default:
		status.State = message.TaskQueued
	}
	return status
}
