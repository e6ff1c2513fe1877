package agent

import (
	"container/heap"
	"slices"
	"time"

	"zinniasill"
)

// ageing is the weight of a task's expected run time against its waiting time: a
// task is overtaken only by shorter ones that arrive within this multiple of its
// expected run time.
const ageing = 4

// queue holds the queued tasks: round robin over teams, and the shortest
// expected run time first, with ageing, within a team.
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
	x := a.queuedAt.Add(ageing * a.expected)
	y := b.queuedAt.Add(ageing * b.expected)
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
