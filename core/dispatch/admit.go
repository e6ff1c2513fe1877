package dispatch

import (
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

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

// firstReports is the time after an entry has learned of its first agents in which it
// takes jobs although none has reported yet.
const firstReports = 200 * time.Millisecond

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
		freeing += l.agent.room.ReleaseRate
	}
	if freeing <= 0 {
		return busyWait
	}
	return time.Duration(float64(milliCPU) / float64(freeing) * float64(time.Second))
}
