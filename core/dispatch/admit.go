package dispatch

import (
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// maxWait returns the longest expected wait with which a job is accepted. It is less
// than the slack, because under sustained overload, with a backlog as long as the slack,
// small errors in the expected wait would make half of the jobs late. The most urgent
// jobs wait about as long as expected; other jobs are overtaken by later arrivals.
func (j *job) maxWait() time.Duration {
	if j.Priority == 0 {
		return j.slack() * urgentWaitPercent / 100
	}
	return j.slack() * otherWaitPercent / 100
}

// firstReportTimeout is the time after an entry was given its first agents in which it
// accepts jobs although no agent has reported yet.
const firstReportTimeout = 200 * time.Millisecond

// Maximum expected wait of a job, in percent of its slack.
const (
	urgentWaitPercent = 75
	otherWaitPercent  = 50
)

// admit returns the expected wait of a job's last task, and the reason for refusing the
// job if it cannot meet its objective.
func (d *Dispatcher) admit(now time.Time, j *job, candidates []*candidate) (time.Duration, zinniasill.Reason) {
	if len(candidates) == 0 && now.Sub(d.firstAgentAt) < firstReportTimeout {
		return 0, ""
	}
	if len(candidates) == 0 {
		return 0, zinniasill.ReasonNoEndpoint
	}
	backlog := d.backlog(now, j, candidates)
	wait := time.Duration(0)
	if backlog > 0 {
		wait = releaseTime(backlog, candidates)
	}
	trial := make([]*candidate, 0, len(candidates))
	for _, c := range candidates {
		copied := *c
		copied.placed = nil
		trial = append(trial, &copied)
	}
	longest := time.Duration(0)
	for _, t := range j.ready() {
		best := choose(t, trial)
		if best == nil {
			return 0, zinniasill.ReasonNoEndpoint
		}
		longest = max(longest, best.wait(t))
		best.add(t)
	}
	wait += longest
	if wait > j.maxWait() || d.overtaken(j, wait) {
		return wait, d.admitLate(now, j, candidates)
	}
	return wait, ""
}

// backlog returns the CPU required by the tasks that precede a job's, at this entry and
// at the others, in thousandths of a core.
func (d *Dispatcher) backlog(now time.Time, j *job, candidates []*candidate) int64 {
	sum := int64(0)
	for _, t := range d.unplaced {
		if t.job.begun || t.job.Priority <= j.Priority && !d.yields(now, t) {
			sum += t.job.Steps[t.step].Need.MilliCPU
		}
	}
	if waiting := newestLoad(candidates).Waiting; len(waiting) == message.Priorities {
		for _, milliCPU := range waiting[:j.priorityLevel()+1] {
			sum += milliCPU
		}
	}
	return sum
}

// releaseTime returns the time in which all endpoints together release an amount of CPU.
func releaseTime(milliCPU int64, candidates []*candidate) time.Duration {
	releaseRate := int64(0)
	for _, c := range candidates {
		releaseRate += c.agent.load.ReleaseRate
	}
	return message.ReleaseTime(milliCPU, releaseRate)
}
