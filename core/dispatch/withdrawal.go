package dispatch

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"zinniasill"
)

// withdrawal counts the tasks of ended jobs of one id that agents have not confirmed to have
// ended. A caller whose connection breaks may send its job again at once, while runs of the
// first submission go on or are about to start.
type withdrawal struct {
	job   string
	tasks int
	// next is a job of the same id that was submitted meanwhile and waits.
	next *job
}

// awaitEnd records that a task of an ended job is still at its agent.
func (d *Dispatcher) awaitEnd(t *task) {
	w := d.withdrawals[t.job.ID]
	if w == nil {
		w = &withdrawal{job: t.job.ID}
		d.withdrawals[t.job.ID] = w
	}
	w.tasks++
	t.agent.withdrawn[t.assignment] = w
}

// confirmEnd handles the end of a withdrawn task. The last one lets the next job of the same
// id begin.
func (d *Dispatcher) confirmEnd(now time.Time, a *agent, assignment uint64) {
	w := a.withdrawn[assignment]
	if w == nil {
		return
	}
	delete(a.withdrawn, assignment)
	w.tasks--
	if w.tasks > 0 {
		return
	}
	delete(d.withdrawals, w.job)
	if w.next == nil {
		d.locks.Release(now, w.job)
		return
	}
	w.next.locked = true
	d.resumed = append(d.resumed, w.next)
}

// confirmAll handles the end of all withdrawn tasks of an agent that has been lost.
func (d *Dispatcher) confirmAll(now time.Time, a *agent) {
	for _, assignment := range slices.Sorted(maps.Keys(a.withdrawn)) {
		d.confirmEnd(now, a, assignment)
	}
}

// takePostponed takes the jobs that nothing stands against any more.
func (d *Dispatcher) takePostponed(now time.Time) {
	resumed := d.resumed
	d.resumed = nil
	for _, j := range resumed {
		if !j.ended {
			d.take(now, j)
		}
	}
}

// postpone keeps a job until the tasks of the former one of the same id have ended.
func (d *Dispatcher) postpone(j *job, w *withdrawal) {
	d.record("job-postponed", slog.String("job", j.ID), slog.String("queue", j.Queue),
		slog.Int("withdrawn", w.tasks))
	// A task of the former submission may have started.
	j.mayHaveRun = true
	w.next = j
}

// flushLocks sends what is due for locks.
func (d *Dispatcher) flushLocks(now time.Time) {
	d.locks.Flush(now)
	d.applyLocks(now)
	d.answerCancels()
	d.outbox = append(d.outbox, d.locks.Outbox()...)
}

// applyLocks lets the jobs begin whose locks have been granted.
func (d *Dispatcher) applyLocks(now time.Time) {
	for _, event := range d.locks.Events() {
		j := d.jobs[event.Job]
		switch {
		case j != nil && event.Cancelled:
			d.finish(now, j, Failed, zinniasill.ReasonCancelled)
		case j == nil || j.locked:
		case event.Granted:
			j.locked = true
			d.begin(now, j)
		default:
			// Another entry works on a submission of this job.
			j.mayHaveRun = true
		}
	}
}

// abortPostponed aborts the jobs that have waited too long for a lock or for the tasks of a
// former submission, so that their answers would be too late to be useful.
func (d *Dispatcher) abortPostponed(now time.Time) {
	var overdue []*job
	for _, j := range d.jobs {
		if !j.taken && now.Sub(j.arrivedAt) > d.usefulFor(j) {
			overdue = append(overdue, j)
		}
	}
	slices.SortFunc(overdue, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range overdue {
		d.abort(now, j, zinniasill.ReasonBusy)
	}
}
