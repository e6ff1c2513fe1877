package dispatch

import (
	"slices"
	"time"

	"zinniasill/core/message"
	"zinniasill/core/overload"
)

// observeSpare records the CPU that on-time work does not need now: none while it waits, and
// else what is free or used by deferred jobs.
func (d *Dispatcher) observeSpare(now time.Time, candidates []*candidate) {
	if d.cfg.Overload == RefuseLate || len(candidates) == 0 {
		return
	}
	spare, share := d.spareCPU(now, candidates)
	d.overload.spare.Observe(now, spare, spareHalfLife)
	d.overload.share.Observe(now, share, spareHalfLife)
	inUse := [message.Priorities]int64{}
	for _, a := range d.sortedAgents {
		for t := range a.tasks {
			inUse[t.job.priorityLevel()] += t.job.Steps[t.step].Need.MilliCPU
		}
	}
	for priority, milliCPU := range inUse {
		d.overload.inUse[priority].Observe(now, milliCPU, spareHalfLife)
	}
}

// deferrableCPU returns the CPU that deferred jobs of this entry with long tasks may use at a
// time, in thousandths of a core. On-time work is expected to need the rest meanwhile.
func (d *Dispatcher) deferrableCPU() int64 {
	return d.overload.spare.Mean() * d.overload.share.Mean() / permille
}

// spareCPU returns the CPU that on-time work does not need now, and this entry's share of it
// in thousandths: the share of the CPU in use that it has, or an equal one.
func (d *Dispatcher) spareCPU(now time.Time, candidates []*candidate) (spare, share int64) {
	free, deferred, own, used := int64(0), int64(0), int64(0), int64(0)
	for _, c := range candidates {
		free += c.usableCPU(d.overload.need)
		used += c.agent.load.Capacity.MilliCPU - c.freeCPU
		for t := range c.agent.tasks {
			need := t.job.Steps[t.step].Need.MilliCPU
			own += need
			if t.job.class != overload.OnTime {
				deferred += need
			}
		}
	}
	share = permille / max(d.overload.entriesPerAgent, 1)
	if used > 0 {
		share = min(max(share, own*permille/used), permille)
	}
	if d.onTimeWaits(now, candidates) {
		return 0, share
	}
	return free + deferred, share
}

// usableCPU returns the free CPU in parts that suffice for a task.
func (c *candidate) usableCPU(need int64) int64 {
	if c.freeCPU <= 0 || need <= 0 {
		return max(c.freeCPU, 0)
	}
	return c.freeCPU / need * need
}

// onTimeWaits reports whether on-time work waits here or at another entry.
func (d *Dispatcher) onTimeWaits(now time.Time, candidates []*candidate) bool {
	for _, t := range d.unplaced {
		if !d.yields(now, t) {
			return true
		}
	}
	return sum(newestLoad(candidates).Waiting) > 0
}

// placeDeferred places waiting deferred jobs, while no on-time work waits. A job is placed
// only as a whole.
func (d *Dispatcher) placeDeferred(now time.Time, candidates []*candidate) (placements []placement, operations int) {
	if d.cfg.Overload == RefuseLate || d.onTimeWaits(now, candidates) {
		return nil, 0
	}
	inUse := d.deferredInUse()
	placed := map[*task]bool{}
	for _, j := range d.waitingJobs() {
		if d.long(j) && inUse+j.readyCPU() > d.deferrableCPU() {
			continue
		}
		tasks, ok := placeWhole(j, candidates)
		operations += len(candidates) * (1 + len(tasks))
		if ok {
			inUse += j.readyCPU()
			placements = append(placements, tasks...)
			for _, p := range tasks {
				placed[p.task] = true
			}
		} else if j.protected() {
			// Jobs behind it wait too, so that small jobs do not starve large ones.
			break
		}
	}
	if len(placed) > 0 {
		d.unplaced = slices.DeleteFunc(d.unplaced, func(t *task) bool { return placed[t] })
	}
	return placements, operations
}

// placeWhole returns placements for all ready tasks of a job, each in free capacity. A job
// that needs more than half of the capacity begins once half of it is free.
func placeWhole(j *job, candidates []*candidate) ([]placement, bool) {
	free, capacity := int64(0), int64(0)
	for _, c := range candidates {
		free += max(c.freeCPU, 0)
		capacity += c.agent.load.Capacity.MilliCPU
	}
	enough := min(j.readyCPU(), capacity/2)
	if free < enough {
		return nil, false
	}
	var placements []placement
	var at []*candidate
	placed := int64(0)
	for _, t := range j.ready() {
		best := choose(t, candidates)
		if best == nil || best.wait(t) > 0 {
			break
		}
		best.add(t)
		at = append(at, best)
		placed += j.Steps[t.step].Need.MilliCPU
		placements = append(placements, placement{task: t, agent: best.agent})
	}
	if placed >= enough {
		return placements, true
	}
	for i, c := range at {
		c.remove(placements[i].task)
	}
	return nil, false
}

// remove undoes add.
func (c *candidate) remove(t *task) {
	c.freeCPU += t.job.Steps[t.step].Need.MilliCPU
	c.placed[t.job][t.step]--
}

// deferredInUse returns the CPU assigned to deferred jobs, in thousandths of a core.
func (d *Dispatcher) deferredInUse() int64 {
	inUse := int64(0)
	for _, a := range d.sortedAgents {
		for t := range a.tasks {
			if t.job.class != overload.OnTime {
				inUse += t.job.Steps[t.step].Need.MilliCPU
			}
		}
	}
	return inUse
}

// noteArrival records a job that was accepted.
func (d *Dispatcher) noteArrival(j *job) {
	if d.cfg.Overload == RefuseLate || len(j.Steps) == 0 {
		return
	}
	if j.class == overload.OnTime {
		d.overload.slacks[j.priorityLevel()] = j.slack()
	}
	need := j.Steps[0].Need.MilliCPU
	if d.overload.need == 0 {
		d.overload.need = need
	}
	d.overload.need += (need - d.overload.need) / needWeight
}

// long reports whether the tasks of a job run longer than a job of a higher priority can
// wait.
func (d *Dispatcher) long(j *job) bool {
	run := time.Duration(0)
	for _, step := range j.Steps {
		run = max(run, step.Estimate)
	}
	for _, slack := range d.overload.slacks[:j.priorityLevel()] {
		if slack > 0 && run > slack {
			return true
		}
	}
	return false
}

// withdrawBegin lets a deferred job wait as a whole again if its agents have declined all its
// tasks.
func (d *Dispatcher) withdrawBegin(j *job) {
	if j.class != overload.OnTime && !j.mayHaveRun && !j.hasAssigned() {
		j.begun = false
	}
}
