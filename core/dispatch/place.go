package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

const (
	// lateFactor times the goal is when an answer is of no use any more.
	lateFactor = 3
	// evenSpread is what a full endpoint counts as extra time against an empty one. It
	// keeps tasks from being stacked on a few endpoints while entries do not yet know
	// of each other's choices.
	evenSpread = 20 * time.Millisecond
	// soundSlowness is the multiple of the median slowness up to which endpoints count
	// as equal: estimates of single tasks are rough, and waiting for a slightly faster
	// endpoint makes jobs late.
	soundSlowness = 1.5
	// farPenalty is what a task at an agent of another failure domain counts as
	// extra time: a message takes longer there and its bytes cost more.
	farPenalty = 2 * time.Millisecond
	// failingFrom is the share of failures, in thousandths, from which an endpoint
	// counts as failing. Two failures in a row reach it; single ones, and tasks that
	// fail everywhere, must not take an endpoint out.
	failingFrom = 400
	// failingPenalty is the extra time of a failing endpoint, so that it gets work only
	// when all others are very busy.
	failingPenalty = 2 * time.Second
	// avoidPenalty keeps a returned task from going back where it came from.
	avoidPenalty = 2 * time.Second
	// remoteFactor is how much longer a task takes away from its data.
	remoteFactor = 1.5
	// aheadLimit is the expected wait up to which a task is queued at an agent. It covers
	// the time in which the news of free room and the task travel.
	aheadLimit = 8 * time.Millisecond
	// firstReports is the time after an entry has learned of its first agents in which it
	// takes jobs although none has reported yet.
	firstReports = 200 * time.Millisecond
	// busyWait is assumed for a full endpoint that reports nothing else.
	busyWait = 100 * time.Millisecond
)

// place is an agent chosen for a task.
type place struct {
	task  *task
	agent *agent
}

// patience returns the longest expected wait at which a job is taken. It answers an
// overload that lasts: with a backlog as long as the slack, small errors of the expected
// wait make half of the jobs late. The most urgent work waits nearly as long as expected;
// other work is overtaken by later arrivals.
func (j *job) patience() time.Duration {
	if j.Priority == 0 {
		return j.slack() * urgentPatience / 100
	}
	return j.slack() * otherPatience / 100
}

// Parts of the slack that jobs may be expected to wait, in percent.
const (
	urgentPatience = 75
	otherPatience  = 50
)

// admit returns the expected wait of a job's last task, and the reason to refuse the
// job if it cannot meet its objective.
func (d *Dispatcher) admit(now time.Time, j *job, loads []*load) (time.Duration, zinniasill.Reason) {
	if len(loads) == 0 && now.Sub(d.learned) < firstReports {
		return 0, ""
	}
	if len(loads) == 0 {
		return 0, zinniasill.ReasonNoEndpoint
	}
	backlog := d.backlog(now, j, loads)
	wait := time.Duration(0)
	if backlog > 0 {
		wait = freeingTime(backlog, loads)
	}
	tried := make([]*load, 0, len(loads))
	for _, l := range loads {
		copied := *l
		copied.placed = nil
		tried = append(tried, &copied)
	}
	longest := time.Duration(0)
	for _, t := range j.ready() {
		best := choose(t, tried)
		if best == nil {
			return 0, zinniasill.ReasonNoEndpoint
		}
		longest = max(longest, best.wait(t))
		best.add(t)
	}
	wait += longest
	if wait > j.patience() {
		return wait, zinniasill.ReasonOverload
	}
	return wait, ""
}

// backlog returns the processor that the tasks need which come before a job's, here and
// at the other entries, in thousandths of a core.
func (d *Dispatcher) backlog(now time.Time, j *job, loads []*load) int64 {
	sum := int64(0)
	for _, t := range d.unplaced {
		if t.job.begun || t.job.Priority <= j.Priority && !t.late(now) {
			sum += t.job.Steps[t.step].Need.MilliCPU
		}
	}
	newest := loads[0].agent
	for _, l := range loads {
		if l.agent.heard.After(newest.heard) {
			newest = l.agent
		}
	}
	if waiting := newest.room.Waiting; len(waiting) == message.Priorities {
		for _, milliCPU := range waiting[:j.level()+1] {
			sum += milliCPU
		}
	}
	return sum
}

// freeingTime returns how long all endpoints together take to give back an amount of
// processor.
func freeingTime(milliCPU int64, loads []*load) time.Duration {
	freeing := int64(0)
	for _, l := range loads {
		freeing += l.agent.room.Freeing
	}
	if freeing <= 0 {
		return busyWait
	}
	return time.Duration(float64(milliCPU) / float64(freeing) * float64(time.Second))
}

// load is the expected load of one agent while a plan is made.
type load struct {
	agent *agent
	local bool
	// free is the processor that is neither in use nor spoken for, in thousandths of
	// a core.
	free   int64
	queued [message.Priorities]int64
	// slow is the slowness against the median of all agents.
	slow   float64
	placed map[*job]map[int]int
}

// loads returns the agents that may get work now.
func (d *Dispatcher) loads(now time.Time) []*load {
	var loads []*load
	median := d.medianSlowness()
	for _, a := range d.order {
		if a.life == 0 || !a.room.Open || d.domainsOut[a.domain] || now.Sub(a.heard) > SilentAfter {
			continue
		}
		l := &load{agent: a, local: a.domain == d.cfg.Domain, slow: 1}
		if a.room.Slowness > 0 && median > 0 {
			l.slow = float64(a.room.Slowness) / float64(median)
		}
		copy(l.queued[:], a.room.Queued)
		l.free = a.room.Capacity.MilliCPU - a.room.Used.MilliCPU - a.pending()
		loads = append(loads, l)
	}
	return loads
}

// medianSlowness returns the median of what agents report, 0 if none does.
func (d *Dispatcher) medianSlowness() int64 {
	var known []int64
	for _, a := range d.order {
		if a.life != 0 && a.room.Slowness > 0 {
			known = append(known, a.room.Slowness)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// choose returns the load with the earliest expected end of a task, nil if none fits.
func choose(t *task, loads []*load) *load {
	var best *load
	var least time.Duration
	for _, l := range loads {
		if !l.fits(t) {
			continue
		}
		if cost := l.cost(t); best == nil || cost < least {
			best, least = l, cost
		}
	}
	return best
}

func (l *load) fits(t *task) bool {
	step := t.job.Steps[t.step]
	room := l.agent.room
	if room.Kind != t.job.Kind || !step.Need.Within(room.Capacity) {
		return false
	}
	if step.Label != "" && !slices.Contains(room.Labels, step.Label) {
		return false
	}
	return step.PerEndpoint <= 0 || l.count(t) < step.PerEndpoint
}

// count returns how many tasks of a step are at the agent.
func (l *load) count(t *task) int {
	count := l.placed[t.job][t.step]
	for other := range l.agent.tasks {
		if other.job == t.job && other.step == t.step {
			count++
		}
	}
	return count
}

// cost returns the expected time until a task ends here, with penalties.
func (l *load) cost(t *task) time.Duration {
	step := t.job.Steps[t.step]
	run := float64(step.Estimate) * max(l.slow/soundSlowness, 1)
	if step.NearLabel != "" && !slices.Contains(l.agent.room.Labels, step.NearLabel) {
		run *= remoteFactor
	}
	cost := l.wait(t) + time.Duration(run)
	if capacity := l.agent.room.Capacity.MilliCPU; capacity > 0 {
		used := 1 - float64(l.free)/float64(capacity)
		cost += time.Duration(used * float64(evenSpread))
	}
	if !l.local {
		cost += farPenalty
	}
	if t.avoid == l.agent {
		cost += avoidPenalty
	}
	if l.agent.room.Failing >= failingFrom {
		cost += failingPenalty
	}
	return cost
}

// wait returns how long a task is expected to wait here: until running tasks have
// given back what it and the tasks before it need.
func (l *load) wait(t *task) time.Duration {
	need := t.job.Steps[t.step].Need.MilliCPU
	level := t.job.level()
	before := int64(0)
	for _, queued := range l.queued[:level+1] {
		before += queued
	}
	missing := before + need - l.free
	if missing <= 0 {
		return 0
	}
	freeing := l.agent.room.Freeing
	if freeing <= 0 {
		return busyWait
	}
	return time.Duration(float64(missing) / float64(freeing) * float64(time.Second))
}

// add counts a task that the plan places here.
func (l *load) add(t *task) {
	l.free -= t.job.Steps[t.step].Need.MilliCPU
	if l.placed == nil {
		l.placed = map[*job]map[int]int{}
	}
	if l.placed[t.job] == nil {
		l.placed[t.job] = map[int]int{}
	}
	l.placed[t.job][t.step]++
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
		t.agent = p.agent
		t.sent = now
		p.agent.tasks[t] = struct{}{}
		offer.Tasks = append(offer.Tasks, message.AssignedTask{Index: t.index, Attempt: t.attempt})
	}
	for _, g := range order {
		room := g.agent.room
		d.record("tasks-assigned", slog.String("job", g.job.ID), slog.String("agent", string(g.agent.id)),
			slog.Int("step", g.step), slog.Int("tasks", len(offers[g].Tasks)),
			slog.Duration("report-age", now.Sub(g.agent.heard)), slog.Int64("used", room.Used.MilliCPU),
			slog.Int64("slowness", room.Slowness), slog.Duration("after", now.Sub(g.job.arrived)))
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
