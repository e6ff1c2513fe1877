package agent

import (
	"container/heap"
	"slices"
	"time"

	"zinniasill"
)

// ageing is the weight of the expected work of an offer against its waiting time: a
// task is overtaken only by smaller offers that arrive within this multiple of its
// offer's work.
const ageing = 4

// slackPart divides a job's slack into the part that later work may use.
const slackPart = 2

// yield returns how long after a task smaller ones may arrive and still overtake it.
// Beyond its own run time a task yields for the other tasks of its offer only within
// a part of the job's slack: admission expects the order of arrival, and a job that
// is overtaken further misses its deadline. Its tasks at other agents wait longer
// than the mean, so that the whole slack would be too much.
func yield(run time.Duration, tasks int, slack time.Duration) time.Duration {
	others := ageing * run * time.Duration(tasks-1)
	return ageing*run + min(others, slack/slackPart)
}

// queue holds the queued tasks: round robin over teams, and the least expected work
// of an offer first, with ageing, within a team.
type queue struct {
	teams map[zinniasill.Team]*teamQueue
	// order lists the teams with queued tasks, the next to be served first.
	order []*teamQueue
	count int
	work  time.Duration
}

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
		q.order = append(q.order, team)
	}
	heap.Push(team, t)
	q.count++
	q.work += t.expected
}

// pop removes the next task, or returns nil.
func (q *queue) pop() *task {
	if len(q.order) == 0 {
		return nil
	}
	team := q.order[0]
	t := team.tasks[0]
	q.remove(t)
	if len(team.tasks) > 0 {
		q.order = append(q.order[1:], team)
	}
	return t
}

// remove takes a queued task out.
func (q *queue) remove(t *task) {
	team := q.teams[t.job.key.Team]
	heap.Remove(team, t.heapIndex)
	q.count--
	q.work -= t.expected
	if len(team.tasks) == 0 {
		delete(q.teams, team.team)
		at := slices.Index(q.order, team)
		q.order = slices.Delete(q.order, at, at+1)
	}
}

// Len implements heap.Interface.
func (q *teamQueue) Len() int { return len(q.tasks) }

// Less implements heap.Interface.
func (q *teamQueue) Less(i, j int) bool {
	a, b := q.tasks[i], q.tasks[j]
	x := a.queuedAt.Add(a.yield)
	y := b.queuedAt.Add(b.yield)
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
