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

// task is a task that an entry assigned to this agent.
type task struct {
	id      zinniasill.TaskID
	attempt zinniasill.Attempt // numbered by the entry
	// assignment is the entry's number for this assignment.
	assignment  uint64
	run         zinniasill.Attempt // numbered at the endpoint
	owner       *session
	state       chart.State
	spec        string
	need        resource.Amount
	label       string // the endpoint must have it, unless it is empty
	estimate    time.Duration
	priority    int
	latestStart time.Time // a later start misses the job's objective
	queuedAt    time.Time

	orderedAt     time.Time
	doubtfulSince time.Time // when the start timed out without an answer
	startedAt     time.Time
	ran           bool
	mayHaveRun    bool   // the run may have started at a former incarnation of the endpoint
	mayStart      bool   // a start without an answer may still be carried out
	crash         uint64 // number of the crash that ended the run, 0 if none did
	crashAge      time.Duration
	staleRetries  int
	// reason is the reason for stopping the run. lastStop is the time of the last stop
	// order, stopPending is set while one is unanswered and stopAccepted once one was
	// accepted.
	reason       zinniasill.Reason
	lastStop     time.Time
	stopPending  bool
	stopAccepted bool
	stopOverdue  bool // the stop has been recorded as overdue
}

// apply applies an event and reports whether the state allowed it. Otherwise, the task
// is left unchanged.
func (t *task) apply(event chart.Event) bool {
	next, err := runChart.Next(t.state, event)
	if err != nil {
		return false
	}
	t.state = next
	return true
}

// enqueue queues the tasks of an offer, or returns those that cannot be accepted.
func (s *Supervisor) enqueue(now time.Time, sess *session, offer message.JobOffer) {
	for _, assigned := range offer.Tasks {
		t := &task{
			id:      zinniasill.TaskID{Job: offer.Job, Step: offer.Step, Index: assigned.Index},
			attempt: assigned.Attempt, assignment: assigned.Assignment, owner: sess,
			state: runChart.Initial(), spec: offer.Spec,
			need: offer.Need, label: offer.Label, estimate: offer.Estimate, priority: offer.Priority,
			latestStart: now.Add(offer.Slack), queuedAt: now,
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

// refusal returns the reason for which a task cannot be queued here, empty if it can.
func (s *Supervisor) refusal(now time.Time, t *task) zinniasill.Reason {
	switch {
	case s.stopping:
		return zinniasill.ReasonShuttingDown
	case s.domainOut:
		return zinniasill.ReasonDomainOut
	case s.announced.Draining:
		return zinniasill.ReasonLeaving
	case !s.acceptsWork(now):
		return zinniasill.ReasonNoEndpoint
	}
	if reason := s.misfit(t); reason != "" {
		return reason
	}
	if s.expectedWait(now, t) > maxQueuedWait {
		return zinniasill.ReasonOverload
	}
	return ""
}

// misfit returns the reason for which the endpoint could not run a task even if it were idle,
// empty if it could.
func (s *Supervisor) misfit(t *task) zinniasill.Reason {
	switch {
	case !t.need.Within(s.announced.Capacity):
		return zinniasill.ReasonTooLarge
	case t.label != "" && !slices.Contains(s.announced.Labels, t.label):
		return zinniasill.ReasonNoEndpoint
	default:
		return ""
	}
}

// maxQueuedWait is the longest expected wait with which a task is queued. Its entry chose
// this agent by a report that may be out of date, and can place the task elsewhere in two
// network round trips.
const maxQueuedWait = 25 * time.Millisecond

// expectedWait returns how long a task is expected to be queued: until running tasks have
// released the CPU that it and the tasks before it require.
func (s *Supervisor) expectedWait(now time.Time, t *task) time.Duration {
	missing := s.used.MilliCPU + t.need.MilliCPU - s.announced.Capacity.MilliCPU
	for _, queued := range s.queue {
		if queued.priority <= t.priority {
			missing += queued.need.MilliCPU
		}
	}
	if missing <= 0 {
		return 0
	}
	return message.ReleaseTime(missing, s.releaseRate(max(s.expectedSlowdown(now), minSlowdown)))
}

// compareTasks orders tasks by priority and then by latest start, so that short urgent
// tasks do not wait behind a burst of long ones.
func compareTasks(a, b *task) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), a.latestStart.Compare(b.latestStart))
}

// schedule orders starts while there is free capacity. Tasks that can still meet their
// objective go before tasks that cannot, so that a backlog after an outage does not
// delay all later tasks as well.
func (s *Supervisor) schedule(now time.Time) {
	if now.Before(s.startsBlockedUntil) || !s.acceptsWork(now) || s.maxLease(now) < minStartLease {
		return
	}
	for {
		at := s.nextTask(now)
		if at < 0 {
			return
		}
		t := s.queue[at]
		s.queue = slices.Delete(s.queue, at, at+1)
		if reason := s.misfit(t); reason != "" {
			// The endpoint has changed since the task was ordered and requeued.
			s.close(t, eventDrop, message.RunReturned, reason)
			continue
		}
		s.orderStart(now, t)
	}
}

// nextTask returns the index of the queued task to start, or -1. Tasks behind one that
// does not fit have to wait, so that small tasks do not starve large ones.
func (s *Supervisor) nextTask(now time.Time) int {
	late := -1
	for i, t := range s.queue {
		if s.active[t.id] != nil {
			continue
		}
		if !now.After(t.latestStart) {
			return s.indexIfFits(i)
		}
		if late < 0 {
			late = i
		}
	}
	if late < 0 {
		return -1
	}
	return s.indexIfFits(late)
}

func (s *Supervisor) indexIfFits(at int) int {
	if s.used.Add(s.queue[at].need).Within(s.announced.Capacity) {
		return at
	}
	return -1
}

// returnQueue returns all queued tasks to their entries.
func (s *Supervisor) returnQueue(reason zinniasill.Reason) {
	for _, t := range s.queue {
		s.close(t, eventDrop, message.RunReturned, reason)
	}
	s.queue = nil
}

// close ends a task and queues an update for its entry. The caller removes the task from
// the queue.
func (s *Supervisor) close(t *task, event chart.Event, state message.RunState, reason zinniasill.Reason) {
	if s.active[t.id] == t {
		delete(s.active, t.id)
		s.setUsed(s.used.Sub(t.need))
	}
	t.apply(event)
	t.owner.out.Push(message.TaskUpdate{
		Assignment: t.assignment, State: state, Reason: reason, Ran: t.ran || t.mayHaveRun, Crash: t.crash, Age: t.crashAge,
		MayStart: t.mayStart,
	})
	s.record("task-closed", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
		slog.Int("state", int(state)), slog.String("reason", string(reason)), slog.Bool("ran", t.ran))
}

// sortedActive returns the tasks that have been ordered and not closed, sorted by id.
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

// setUsed records the resources in use, which the next load report includes.
func (s *Supervisor) setUsed(used resource.Amount) {
	s.used = used
	s.loadVersion++
}
