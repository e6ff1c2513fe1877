package executor

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/chart"
	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// task is one assigned task.
type task struct {
	id      zinniasill.TaskID
	attempt zinniasill.Attempt // the entry's number
	// assignment is the entry's number of this assignment.
	assignment uint64
	run        zinniasill.Attempt // the number at the endpoint
	owner      *session
	state      chart.State
	spec       string
	need       resource.Amount
	estimate   time.Duration
	priority   int
	due        time.Time // a later start misses the job's objective
	queued     time.Time

	ordered time.Time
	doubted time.Time // when the start was given up without an answer
	started time.Time
	ran     bool
	oldRuns int
	// reason says why the run is stopped. stopSent is when the last stop was sent,
	// stopAsked is set while one is unanswered and stopAcked once one was carried out.
	reason    zinniasill.Reason
	stopSent  time.Time
	stopAsked bool
	stopAcked bool
}

// step applies an event; one that is not possible leaves the task as it is.
func (t *task) step(event chart.Event) bool {
	next, err := runChart.Next(t.state, event)
	if err != nil {
		return false
	}
	t.state = next
	return true
}

// enqueue takes the tasks of an offer.
func (s *Supervisor) enqueue(now time.Time, sess *session, offer message.JobOffer) {
	for _, assigned := range offer.Tasks {
		t := &task{
			id:      zinniasill.TaskID{Job: offer.Job, Step: offer.Step, Index: assigned.Index},
			attempt: assigned.Attempt, assignment: assigned.Assignment, owner: sess,
			state: runChart.Initial(), spec: offer.Spec,
			need: offer.Need, estimate: offer.Estimate, priority: offer.Priority,
			due: now.Add(offer.Slack), queued: now,
		}
		if reason := s.refusal(now, t); reason != "" {
			s.record("task-refused", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
				slog.String("reason", string(reason)))
			s.close(t, eventDrop, message.RunReturned, reason)
			continue
		}
		s.queue = append(s.queue, t)
	}
	slices.SortStableFunc(s.queue, compareTasks)
}

// refusal returns why a task cannot wait here, empty if it can.
func (s *Supervisor) refusal(now time.Time, t *task) zinniasill.Reason {
	switch {
	case s.stopping:
		return zinniasill.ReasonShuttingDown
	case s.domainOut:
		return zinniasill.ReasonDomainOut
	case s.known.Draining:
		return zinniasill.ReasonLeaving
	case !s.open(now):
		return zinniasill.ReasonNoEndpoint
	case !t.need.Within(s.known.Capacity):
		return zinniasill.ReasonTooLarge
	default:
		return ""
	}
}

// compareTasks orders tasks by priority and then by the time at which they must
// start. It answers bursts of long work: short urgent work does not wait behind it.
func compareTasks(a, b *task) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), a.due.Compare(b.due))
}

// schedule orders the starts that there is room for. Tasks that can still meet their
// objective come before those that cannot, so that a backlog after an outage does not
// make everything behind it late as well.
func (s *Supervisor) schedule(now time.Time) {
	if now.Before(s.blocked) || !s.open(now) {
		return
	}
	for {
		at := s.next(now)
		if at < 0 {
			return
		}
		t := s.queue[at]
		s.queue = slices.Delete(s.queue, at, at+1)
		s.order(now, t)
	}
}

// next returns the position of the task to start, or -1. Tasks behind one that does
// not fit wait, so that large tasks are not starved by small ones.
func (s *Supervisor) next(now time.Time) int {
	late := -1
	for i, t := range s.queue {
		if s.active[t.id] != nil {
			continue
		}
		if !now.After(t.due) {
			return s.fitting(i)
		}
		if late < 0 {
			late = i
		}
	}
	if late < 0 {
		return -1
	}
	return s.fitting(late)
}

func (s *Supervisor) fitting(at int) int {
	if s.used.Add(s.queue[at].need).Within(s.known.Capacity) {
		return at
	}
	return -1
}

// returnQueue gives everything that waits back to its entry.
func (s *Supervisor) returnQueue(reason zinniasill.Reason) {
	for _, t := range s.queue {
		s.close(t, eventDrop, message.RunReturned, reason)
	}
	s.queue = nil
}

// close ends a task and tells its entry. The caller removes it from the queue.
func (s *Supervisor) close(t *task, event chart.Event, state message.RunState, reason zinniasill.Reason) {
	if s.active[t.id] == t {
		delete(s.active, t.id)
		s.setUsed(s.used.Sub(t.need))
	}
	t.step(event)
	t.owner.out.Push(message.TaskUpdate{
		Assignment: t.assignment, State: state, Reason: reason, Ran: t.ran,
	})
	s.record("task-closed", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
		slog.Int("state", int(state)), slog.String("reason", string(reason)), slog.Bool("ran", t.ran))
}

// sortedActive returns the tasks that hold room, in a fixed order.
func (s *Supervisor) sortedActive() []*task {
	tasks := make([]*task, 0, len(s.active))
	for _, t := range s.active {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step),
			cmp.Compare(a.id.Index, b.id.Index))
	})
	return tasks
}

// setUsed changes the room in use, which entries are told.
func (s *Supervisor) setUsed(used resource.Amount) {
	s.used = used
	s.roomVersion++
}
