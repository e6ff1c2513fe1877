package dispatch

import (
	"log/slog"
	"time"

	"zinniasill/core/message"
)

const (
	// lateFactor times the goal is when an answer is of no use any more.
	lateFactor = 3
	// aheadLimit is the expected wait up to which a task is queued at an agent. It covers
	// the time in which the news of free room and the task travel.
	aheadLimit = 8 * time.Millisecond
)

// place is an agent chosen for a task.
type place struct {
	task  *task
	agent *agent
}

// assign sends tasks to their agents, those of one step at one agent together.
func (d *Dispatcher) assign(now time.Time, places []place) {
	type group struct {
		agent *agent
		job   *job
		step  int
	}
	offers := map[group]*message.JobOffer{}
	var order []group
	for _, p := range places {
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
		t.agent = p.agent
		p.agent.tasks[t] = struct{}{}
		offer.Tasks = append(offer.Tasks, message.AssignedTask{
			Index: t.index, Attempt: t.attempt, Assignment: t.assignment,
		})
	}
	for _, g := range order {
		room := g.agent.room
		d.record("tasks-assigned", slog.String("job", g.job.ID), slog.String("agent", string(g.agent.id)),
			slog.Int("step", g.step), slog.Int("tasks", len(offers[g].Tasks)),
			slog.Duration("report-age", now.Sub(g.agent.heard)), slog.Int64("used", room.Used.MilliCPU),
			slog.Int64("slowness", room.Slowdown), slog.Duration("after", now.Sub(g.job.arrived)))
		g.agent.out.Push(message.Command{Offer: offers[g]})
	}
	for _, p := range places {
		p.task.command = p.agent.out.Last()
	}
}

func (d *Dispatcher) offer(now time.Time, t *task) *message.JobOffer {
	step := t.job.Steps[t.step]
	return &message.JobOffer{
		Job: t.job.ID, Step: uint32(t.step), Spec: t.job.Spec, Need: step.Need,
		Estimate: step.Estimate, Priority: t.job.Priority,
		Slack: max(t.job.slack()-now.Sub(t.job.arrived), 0),
	}
}
