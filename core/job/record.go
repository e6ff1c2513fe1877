package job

import (
	"container/heap"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// lookup is the proposal or read of the term-1 register of one epoch.
type lookup struct {
	epoch    zinniasill.Epoch
	proposer *claim.Proposer
}

// fenced is the state of one fence.
type fenced struct {
	node zinniasill.Node
	done bool
	lost bool
}

// task is one task at its job's owner.
type task struct {
	state taskState
	// node, term and attempt name the latest offer.
	node    zinniasill.Node
	term    zinniasill.Term
	attempt zinniasill.Attempt
	// planned is the agent that the task was planned for before the claim.
	planned zinniasill.Node
	// refused lists agents that returned the task.
	refused []zinniasill.Node
	// charged is set when the next offer is a retry that the budget pays for.
	charged bool
	// next is the end of a back-off, or the time to send an offer or grant again.
	next time.Time
	// began is when the task is known to have started at the latest.
	began time.Time
	// counted is the work that the views count for an unanswered offer.
	counted time.Duration
	output  []byte
	err     string
	ran     zinniasill.Ran
}

// record is one job at one entry. After the answer it is kept without its work.
type record struct {
	key zinniasill.Key
	// ran is the profile's name. Run times are learned from tasks that end after
	// the answer too.
	ran      zinniasill.ProfileName
	digest   zinniasill.Digest
	sequence uint64
	state    state
	wakeAt   time.Time
	// claims is the number of this entry's last claim before the job. Own claims of
	// the job have higher numbers.
	claims uint64
	// epoch and term name the register last decided. confirmed is set when a claim
	// with the same digest is chosen.
	epoch     zinniasill.Epoch
	term      zinniasill.Term
	confirmed bool
	// owned is set once an own claim was chosen, and ended is the last own term that
	// is over.
	owned  bool
	ended  zinniasill.Term
	answer *message.Answer
	// reopens is set when the same key may be submitted again after the answer.
	reopens bool
	*work
}

// work is the part of a job that is needed until its answer.
type work struct {
	// slack is how much later than expected the job may complete.
	slack     time.Duration
	stamp     zinniasill.Epoch
	profile   catalog.Profile
	payloads  [][]byte
	waiters   []RequestID
	followers []zinniasill.Node
	rivals    []rival
	deadline  time.Time
	quota     int

	// refusal is the reason for which the job would be refused if no entry has
	// claimed its key; final makes the refusal hold for the key.
	refusal zinniasill.Reason
	final   bool
	// parked is set while the job waits for a valid lease or a newer catalog.
	parked  bool
	lookups []lookup
	current zinniasill.Epoch

	proposer  *claim.Proposer
	extending bool
	// registerGone is set when no later term can be claimed.
	registerGone bool
	// claim is the own chosen claim, or the one that is proposed. priors are the
	// claims of earlier terms whose attempts are not closed.
	claim  message.Claim
	priors []message.Claim
	// planned is the number of the claim that the tasks' plan was made for.
	planned uint64

	// owner is the entry that the job is attached to.
	owner    zinniasill.Node
	heard    time.Time
	resendAt time.Time

	fences    []fenced
	fenceFrom time.Time
	tasks     []task
	counts    [taskStates]int
	cancelled bool
	// evicted is set when a task ran and its output is no longer kept anywhere.
	evicted bool

	closing      zinniasill.Reason
	closeMessage string
	closeBy      time.Time
}

// rival is a submission with another body that waits until it is known which
// body the key belongs to.
type rival struct {
	id         RequestID
	submission message.Submission
}

func (r *record) done() bool {
	return r.answer != nil || r.state == stateGone
}

// setTask moves a task to another state and keeps the counts.
func (r *record) setTask(t *task, event taskEvent) bool {
	next := taskChart[t.state][event]
	if next == none {
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
	r.counts = [taskStates]int{}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state != taskFinished && t.state != taskFailed {
			*t = task{attempt: t.attempt}
		}
		r.counts[t.state]++
	}
}

// timer is the next time to look at a job.
type timer struct {
	at     time.Time
	record *record
}

// timers is a heap of timers. A record's earlier timers are skipped.
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

// push schedules a look at a job unless an earlier one is scheduled.
func (t *timers) push(r *record, at time.Time) {
	if !r.wakeAt.IsZero() && !at.Before(r.wakeAt) {
		return
	}
	r.wakeAt = at
	heap.Push(t, timer{at: at, record: r})
}

// pop returns the next job that is due, or nil.
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
