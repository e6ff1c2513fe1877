package job

import (
	"container/heap"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// lookup is the proposal for, or read of, the register of term 1 in one epoch.
type lookup struct {
	epoch    zinniasill.Epoch
	proposer *claim.Proposer
}

// fenceState is the progress of a fence at one agent. done is set when the agent has
// replied or is lost. lost is set when its records of the job are lost or expired, so
// that it may have started tasks that are not reported.
type fenceState struct {
	node zinniasill.Node
	done bool
	lost bool
}

// task is the state of one task at the owner of its job.
type task struct {
	state taskState
	// node, term and attempt identify the latest offer.
	node    zinniasill.Node
	term    zinniasill.Term
	attempt zinniasill.Attempt
	// planned is the agent that planClaim chose for the task.
	planned zinniasill.Node
	// returnedBy lists the agents that returned the task without starting it.
	returnedBy []zinniasill.Node
	// chargesBudget is set when the next offer is a retry that spends from the retry
	// budget.
	chargesBudget bool
	// due is the end of a back-off, or the time to resend an offer, grant or withdrawal.
	due time.Time
	// startedAt is the time of the latest offer, grant or report of a start. The run time
	// is measured from it when the agent does not report one.
	startedAt time.Time
	// unansweredWork is the expected run time that the placement views count for the plan
	// or the unanswered offer.
	unansweredWork time.Duration
	output         []byte
	err            string
	ran            zinniasill.Ran
}

// record is the state of one job at one entry. Its work is dropped after the answer.
type record struct {
	key zinniasill.Key
	// profileName outlives work, since run times are also learned from tasks that end
	// after the answer.
	profileName zinniasill.ProfileName
	digest      zinniasill.Digest
	sequence    uint64
	state       state
	wakeAt      time.Time
	// claimSequence is the sequence number of this entry's last claim before the job.
	// This entry's claims for the job have higher numbers.
	claimSequence uint64
	// epoch and term identify the register decided last. confirmed is set once a claim
	// with the digest of this job is chosen.
	epoch     zinniasill.Epoch
	term      zinniasill.Term
	confirmed bool
	// owned is set once the entry has owned the job or its key was refused for good.
	// endedTerm is the last term in which this entry was superseded as the owner.
	owned     bool
	endedTerm zinniasill.Term
	answer    *message.Answer
	// resubmittable is set when a resubmission of the key reopens the answered job.
	resubmittable bool
	*work
}

// work is the part of a record that is needed only until the job is answered.
type work struct {
	// slack is how much later than expected the job may complete.
	slack    time.Duration
	stamp    zinniasill.Epoch
	profile  catalog.Profile
	payloads [][]byte
	// waiters are the requests that wait for the answer.
	waiters []RequestID
	// attachedEntries are the entries that the answer is sent to.
	attachedEntries []zinniasill.Node
	conflicts       []conflict
	deadline        time.Time
	// quotaUsed is the number of tasks counted against the quota of the team.
	quotaUsed int

	// refusal is the reason to refuse the job if no entry has claimed its key. With
	// finalRefusal, the refusal is recorded in the registers and is permanent for the key.
	refusal      zinniasill.Reason
	finalRefusal bool
	// parked is set while the job waits for a valid lease or a newer catalog.
	parked bool
	// lookups are the proposals and reads for term 1, and currentEpoch is the epoch that
	// was current when they started.
	lookups      []lookup
	currentEpoch zinniasill.Epoch

	// proposer is the proposal or read for the term after the last decided one. extending
	// is set while it proposes this entry's claim with more candidates.
	proposer  *claim.Proposer
	extending bool
	// registerUnavailable is set when the register of the next term cannot be decided.
	registerUnavailable bool
	// claim is this entry's chosen or proposed claim. priorClaims are the claims of
	// earlier terms since the last tombstone; a tombstone is written only when all
	// earlier attempts are closed.
	claim       message.Claim
	priorClaims []message.Claim
	// planned is the sequence number of the claim that the tasks were planned for.
	planned uint64

	// owner is the entry that the job is attached to, and lastReceived the time of its
	// last reply.
	owner        zinniasill.Node
	lastReceived time.Time
	resendAt     time.Time

	fences     []fenceState
	fenceStart time.Time
	tasks      []task
	// counts holds the number of tasks in each state.
	counts    [taskStateCount]int
	cancelled bool
	// outputEvicted is set when a task ran and its agent no longer retains the output.
	outputEvicted bool

	// closeReason and closeMessage describe why the job is being closed. At closeDeadline,
	// it is answered even if it is still unknown what ran.
	closeReason   zinniasill.Reason
	closeMessage  string
	closeDeadline time.Time
}

// conflict is a submission whose body differs from that of the job with the same key. It
// waits until a chosen claim decides which body the key belongs to.
type conflict struct {
	id         RequestID
	submission message.Submission
}

func (r *record) done() bool {
	return r.answer != nil || r.state == stateGone
}

// transitionTask applies an event to a task and updates the counts of states. It reports
// whether the event is valid in the task's state.
func (r *record) transitionTask(t *task, event taskEvent) bool {
	next := taskChart[t.state][event]
	if next == noTransition {
		return false
	}
	r.counts[t.state]--
	r.counts[next]++
	t.state = taskState(next)
	return true
}

func (r *record) resetTasks() {
	if len(r.tasks) != len(r.payloads) {
		r.tasks = make([]task, len(r.payloads))
	}
	r.counts = [taskStateCount]int{}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state != taskFinished && t.state != taskFailed {
			*t = task{attempt: t.attempt}
		}
		r.counts[t.state]++
	}
}

// timer is a time at which a job has something due.
type timer struct {
	at     time.Time
	record *record
}

// timers is a heap of timers. A timer that does not match its record's wakeAt is stale
// and is skipped.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].record.sequence < t[j].record.sequence
	}
	return t[i].at.Before(t[j].at)
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// push schedules a timer for a job unless an earlier one is scheduled.
func (t *timers) push(r *record, at time.Time) {
	if !r.wakeAt.IsZero() && !at.Before(r.wakeAt) {
		return
	}
	r.wakeAt = at
	heap.Push(t, timer{at: at, record: r})
}

// pop removes the next due timer and returns its job, or nil if none is due.
func (t *timers) pop(now time.Time) *record {
	for len(*t) > 0 && !(*t)[0].at.After(now) {
		due := heap.Pop(t).(timer)
		if due.record.wakeAt.Equal(due.at) {
			due.record.wakeAt = time.Time{}
			return due.record
		}
	}
	return nil
}
