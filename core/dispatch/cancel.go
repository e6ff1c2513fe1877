package dispatch

import (
	"time"

	"zinniasill"
)

// Cancel ends a job and answers its callers with Failed. The other entries are told, so that
// none works on the job or begins a late duplicate of its submission. Cancel returns false if
// no such job is in progress here; AwaitCancel then tells the outcome.
func (d *Dispatcher) Cancel(now time.Time, id string) bool {
	d.locks.Cancel(now, id)
	j := d.jobs[id]
	if j == nil {
		return false
	}
	d.finish(now, j, Failed, zinniasill.ReasonCancelled)
	return true
}

// AwaitCancel answers a request with the outcome of a cancellation: Cancelled, NoJob, or
// Refused if no entry could be told.
func (d *Dispatcher) AwaitCancel(request RequestID, id string) {
	d.cancels[id] = append(d.cancels[id], request)
}

// answerCancels answers the requests whose cancellations have an outcome.
func (d *Dispatcher) answerCancels() {
	for _, confirmation := range d.locks.Confirmations() {
		reply := Reply{Result: NoJob, Reason: zinniasill.ReasonNotFound}
		switch {
		case !confirmation.OK:
			reply = Reply{Result: Refused, Reason: zinniasill.ReasonOutcomeUnknown, RetryAfter: time.Second}
		case confirmation.Known:
			reply = Reply{Result: Cancelled, Reason: zinniasill.ReasonCancelled}
		}
		for _, request := range d.cancels[confirmation.Job] {
			reply.Request = request
			d.replies = append(d.replies, reply)
		}
		delete(d.cancels, confirmation.Job)
	}
}
