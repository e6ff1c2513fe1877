package agent

import (
	"container/heap"
	"slices"
	"time"

	"zinniasill"
)

// agingFactor is the weight of the expected work of an offer relative to waiting time.
// A task can be overtaken only by smaller offers that arrive within this multiple of
// its own offer's expected work.
const agingFactor = 4

// slackDivisor is the fraction of a job's slack, as a divisor, within which later work
// may overtake the job.
const slackDivisor = 2

// overtakeWindow returns the time after the arrival of a task in which smaller tasks
// can arrive and still overtake it. The part for the other tasks of its offer is
// limited to a fraction of the job's slack: admission assumes the order of arrival, so
// a job that is overtaken further misses its deadline. The whole slack would be too
// much, since the job's tasks at other agents may wait longer than the mean.
func overtakeWindow(run time.Duration, tasks int, slack time.Duration) time.Duration {
	others := agingFactor * run * time.Duration(tasks-1)
	return agingFactor*run + min(others, slack/slackDivisor)
}

// queue holds the queued tasks. It serves teams round robin. Within a team it serves
// the offer with the least expected work first, with aging.
type queue struct {
	teams map[zinniasill.Team]*teamQueue
	// rotation lists the teams with queued tasks, the next to be served first.
	rotation []*teamQueue
	count    int
	work     time.Duration
}

// teamQueue is the priority queue of one team. It implements heap.Interface.
type teamQueue struct {
	team  zinniasill.Team
	tasks []*task
}

// push adds a task.
func (q *queue) push(t *task) {
	if q.teams == nil {
		q.teams = map[zinniasill.Team]*teamQueue{}
	}
	team := q.teams[t.job.key.Team]
	if team == nil {
		team = &teamQueue{team: t.job.key.Team}
		q.teams[team.team] = team
		q.rotation = append(q.rotation, team)
	}
	heap.Push(team, t)
	q.count++
	q.work += t.expected
}

// pop removes and returns the next task, or returns nil if the queue is empty.
func (q *queue) pop() *task {
	if len(q.rotation) == 0 {
		return nil
	}
	team := q.rotation[0]
	t := team.tasks[0]
	q.remove(t)
	if len(team.tasks) > 0 {
		q.rotation = append(q.rotation[1:], team)
	}
	return t
}

// remove removes a queued task.
func (q *queue) remove(t *task) {
	team := q.teams[t.job.key.Team]
	heap.Remove(team, t.heapIndex)
	q.count--
	q.work -= t.expected
	if len(team.tasks) == 0 {
		delete(q.teams, team.team)
		at := slices.Index(q.rotation, team)
		q.rotation = slices.Delete(q.rotation, at, at+1)
	}
}

// Len implements heap.Interface.
func (q *teamQueue) Len() int { return len(q.tasks) }

// Less implements heap.Interface.
func (q *teamQueue) Less(i, j int) bool {
	a, b := q.tasks[i], q.tasks[j]
	x := a.queuedAt.Add(a.overtakeWindow)
	y := b.queuedAt.Add(b.overtakeWindow)
	if !x.Equal(y) {
		return x.Before(y)
	}
	if a.job.key != b.job.key {
		return a.job.key.Client < b.job.key.Client
	}
	return a.index < b.index
}

// Swap implements heap.Interface.
func (q *teamQueue) Swap(i, j int) {
	q.tasks[i], q.tasks[j] = q.tasks[j], q.tasks[i]
	q.tasks[i].heapIndex = i
	q.tasks[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *teamQueue) Push(x any) {
	t := x.(*task)
	t.heapIndex = len(q.tasks)
	q.tasks = append(q.tasks, t)
}

// Pop implements heap.Interface.
func (q *teamQueue) Pop() any {
	last := len(q.tasks) - 1
	t := q.tasks[last]
	q.tasks[last] = nil
	q.tasks = q.tasks[:last]
	return t
}
