package dispatch

import (
	"log/slog"
	"time"

	"zinniasill/core/message"
	"zinniasill/core/overload"
)

const (
	// overdueFactor is the multiple of a job's target response time after which its
	// answer is no longer useful.
	overdueFactor = 3
	// maxQueuedWait is the longest expected wait with which a task is queued at an
	// agent. It covers the time to transmit a report of free capacity and the task.
	maxQueuedWait = 8 * time.Millisecond
)

// placement assigns a task to the agent chosen for it.
type placement struct {
	task  *task
	agent *agent
}

// assign sends tasks to their agents. Tasks of one step at one agent share an offer.
func (d *Dispatcher) assign(now time.Time, placements []placement) {
	type group struct {
		agent *agent
		job   *job
		step  int
	}
	offers := map[group]*message.JobOffer{}
	var order []group
	for _, p := range placements {
		t := p.task
		g := group{agent: p.agent, job: t.job, step: t.step}
		offer := offers[g]
		if offer == nil {
			offer = d.offer(now, t)
			offers[g] = offer
			order = append(order, g)
		}
		t.job.begun = true
		t.attempt++
		d.assignment++
		t.assignment = d.assignment
		t.started = false
		t.agent = p.agent
		if p.agent.idle() {
			p.agent.busySince = now
		}
		p.agent.tasks[t] = struct{}{}
		offer.Tasks = append(offer.Tasks, message.AssignedTask{
			Index: t.index, Attempt: t.attempt, Assignment: t.assignment,
		})
	}
	for _, g := range order {
		load := g.agent.load
		d.record("tasks-assigned", slog.String("job", g.job.ID), slog.String("agent", string(g.agent.id)),
			slog.Int("step", g.step), slog.Int("tasks", len(offers[g].Tasks)),
			slog.Duration("report-age", now.Sub(g.agent.lastReport)), slog.Int64("used", load.Used.MilliCPU),
			slog.Int64("slowness", load.Slowdown), slog.Int64("speed", load.Speed.RunRatio),
			slog.Int64("speed-runs", load.Speed.Runs), slog.Duration("after", now.Sub(g.job.arrivedAt)))
		g.agent.out.Push(message.Command{Offer: offers[g]})
	}
	for _, p := range placements {
		p.task.command = p.agent.out.Last()
	}
}

func (d *Dispatcher) offer(now time.Time, t *task) *message.JobOffer {
	step := t.job.Steps[t.step]
	return &message.JobOffer{
		Job: t.job.ID, Step: uint32(t.step), Spec: t.job.Spec, Need: step.Need,
		Estimate: step.Estimate, Priority: t.job.Priority,
		Slack: d.slackLeft(now, t.job), Label: step.Label,
	}
}

// slackLeft returns how long the tasks of a job may wait from now without missing the
// objective, 0 for a deferred job.
func (d *Dispatcher) slackLeft(now time.Time, j *job) time.Duration {
	if j.class != overload.OnTime {
		return 0
	}
	return max(j.slack()-now.Sub(j.arrivedAt), 0)
}
