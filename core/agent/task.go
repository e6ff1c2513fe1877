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

// job is what the agent knows of one job. It is kept until the epoch of the
// job's claim has left the retention window.
type job struct {
	key   zinniasill.Key
	epoch zinniasill.Epoch
	// term is the highest term seen, and owner its entry. Nothing starts for a
	// lower term.
	term  zinniasill.Term
	owner zinniasill.Node
	tasks map[zinniasill.TaskIndex]*task
	// unacked are the tasks whose outcome or return the owner has not confirmed.
	unacked   []*task
	fresh     []*task // unacked and never sent
	changed   bool    // fresh has tasks that Outbox has not seen
	reporting bool
	reportAt  time.Time
	// held is set while the fresh results are kept back, until heldUntil at most.
	held      bool
	heldUntil time.Time
	// heldReplies counts the replies that are kept back and refer to the job.
	heldReplies int
	// touched is set while the job is in the agent's list of touched jobs.
	touched bool
	// full is set when there is no room for the record. It then lasts for one message.
	full bool
}

// task is the record of one task. State, term and attempt are of the latest
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
	// output names the output, which the outcome here lacks.
	output     archive.OutputID
	outcome    zinniasill.Outcome
	queuedAt   time.Time
	yield      time.Duration
	fetchedAt  time.Time
	startedAt  time.Time
	took       time.Duration
	fetchAgain time.Time
	heapIndex  int
}

func (t *task) started() bool {
	return t.state == stateRunning || t.ended()
}

func (t *task) ended() bool {
	return t.state == stateFinished || t.state == stateFailed
}

// waits reports whether the task waits to be started.
func (t *task) waits() bool {
	return t.state == stateOffered || t.state == stateQueued || t.state == stateFetching
}

func (t *task) ref() message.TaskRef {
	return message.TaskRef{Index: t.index, Attempt: t.attempt}
}

// step applies an event. An event that is not possible leaves the task as it is.
func (t *task) step(event chart.Event) error {
	next, err := taskChart.Next(t.state, event)
	if err != nil {
		return err
	}
	t.state = next
	return nil
}

// olderThan reports whether (term, attempt) is later than the task's attempt.
func (t *task) olderThan(term zinniasill.Term, attempt zinniasill.Attempt) bool {
	return term > t.term || term == t.term && attempt > t.attempt
}

// status reports the task in answer to a message about ref of a term. An attempt
// earlier than the latest one is closed, unless the task has started.
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
