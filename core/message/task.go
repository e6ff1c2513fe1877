package message

import (
	"time"

	"zinniasill"
)

// TaskState is the state of a task at one agent.
type TaskState uint8

// Values of TaskState.
const (
	// TaskUnseen means that the agent has no record of the task.
	TaskUnseen TaskState = iota
	// TaskQueued means that the task is queued and will not start without a grant.
	TaskQueued
	// TaskRunning means that the task has started.
	TaskRunning
	// TaskFinished means that the task has started and ended, and that the agent has its
	// outcome.
	TaskFinished
	// TaskClosed means that this attempt has not started and never will.
	TaskClosed
)

// TaskRef identifies one attempt of one task.
type TaskRef struct {
	Index   zinniasill.TaskIndex `cbor:"1,keyasint,omitempty"`
	Attempt zinniasill.Attempt   `cbor:"2,keyasint"`
}

// TaskOffer is one task of an Offer.
type TaskOffer struct {
	Ref     TaskRef `cbor:"1,keyasint"`
	Payload []byte  `cbor:"2,keyasint"`
}

// TaskStatus is an agent's report on one task.
type TaskStatus struct {
	Ref   TaskRef   `cbor:"1,keyasint"`
	State TaskState `cbor:"2,keyasint"`
	// Reason is the reason why the attempt is closed.
	Reason zinniasill.Reason `cbor:"3,keyasint,omitempty"`
	// Outcome is set if the task has finished.
	Outcome *zinniasill.Outcome `cbor:"4,keyasint,omitempty"`
	// Took is the run time of a finished task as measured by the agent.
	Took time.Duration `cbor:"5,keyasint,omitempty"`
}

// Offer asks an agent to accept tasks of a job. The sender is the job's owner.
type Offer struct {
	Key  zinniasill.Key  `cbor:"1,keyasint"`
	Term zinniasill.Term `cbor:"2,keyasint"`
	// Epoch is the epoch of the job's claim. The agent keeps its records of the job
	// until that epoch leaves the retention window.
	Epoch           zinniasill.Epoch       `cbor:"3,keyasint"`
	Profile         zinniasill.ProfileName `cbor:"4,keyasint"`
	Kind            zinniasill.Kind        `cbor:"5,keyasint"`
	ExpectedRunTime time.Duration          `cbor:"6,keyasint"`
	Tasks           []TaskOffer            `cbor:"7,keyasint"`
	// Slack is how long the tasks may be delayed by work that arrives later without
	// making the job miss its deadline.
	Slack time.Duration `cbor:"8,keyasint,omitempty"`
}

// OfferReply reports the state of the offered tasks to the owner.
type OfferReply struct {
	Key   zinniasill.Key  `cbor:"1,keyasint"`
	Term  zinniasill.Term `cbor:"2,keyasint"`
	Tasks []TaskStatus    `cbor:"3,keyasint"`
	Load  Load            `cbor:"4,keyasint"`
}

// Fetch asks the owner for permission to start queued tasks.
type Fetch struct {
	Key   zinniasill.Key  `cbor:"1,keyasint"`
	Term  zinniasill.Term `cbor:"2,keyasint"`
	Tasks []TaskRef       `cbor:"3,keyasint"`
}

// Grant permits an agent to start queued tasks.
type Grant struct {
	Key   zinniasill.Key  `cbor:"1,keyasint"`
	Term  zinniasill.Term `cbor:"2,keyasint"`
	Tasks []TaskRef       `cbor:"3,keyasint"`
}

// Withdraw closes attempts that have not started.
type Withdraw struct {
	Key   zinniasill.Key  `cbor:"1,keyasint"`
	Term  zinniasill.Term `cbor:"2,keyasint"`
	Tasks []TaskRef       `cbor:"3,keyasint"`
	// Epoch is the epoch of the job's claim. An agent without a record of the job closes
	// the attempts only if that epoch is in the retention window; otherwise, the record
	// of a start may have been deleted.
	Epoch zinniasill.Epoch `cbor:"4,keyasint"`
}

// WithdrawReply reports the state of withdrawn tasks to the owner.
type WithdrawReply struct {
	Key   zinniasill.Key  `cbor:"1,keyasint"`
	Term  zinniasill.Term `cbor:"2,keyasint"`
	Tasks []TaskStatus    `cbor:"3,keyasint"`
	Load  Load            `cbor:"4,keyasint"`
}

// Fence makes an agent refuse to start any task of the job under a lower term.
type Fence struct {
	Key   zinniasill.Key   `cbor:"1,keyasint"`
	Term  zinniasill.Term  `cbor:"2,keyasint"`
	Epoch zinniasill.Epoch `cbor:"3,keyasint"`
}

// FenceReply lists every task of the job that the agent has started.
type FenceReply struct {
	Key  zinniasill.Key  `cbor:"1,keyasint"`
	Term zinniasill.Term `cbor:"2,keyasint"`
	// Fenced is the highest term for which the agent has been fenced.
	Fenced zinniasill.Term `cbor:"3,keyasint"`
	Tasks  []TaskStatus    `cbor:"4,keyasint"`
	Load   Load            `cbor:"5,keyasint"`
	// Expired is true if the epoch has left the retention window, so that the agent's
	// records of the job may have been deleted.
	Expired bool `cbor:"6,keyasint,omitempty"`
}

// Result reports finished tasks, and closed tasks that the agent returns. It is resent
// until a ResultAck arrives.
type Result struct {
	Key   zinniasill.Key  `cbor:"1,keyasint"`
	Term  zinniasill.Term `cbor:"2,keyasint"`
	Tasks []TaskStatus    `cbor:"3,keyasint"`
	Load  Load            `cbor:"4,keyasint"`
}

// ResultAck acknowledges reported tasks.
type ResultAck struct {
	Key   zinniasill.Key  `cbor:"1,keyasint"`
	Term  zinniasill.Term `cbor:"2,keyasint"`
	Tasks []TaskRef       `cbor:"3,keyasint"`
}

// Attach asks a job's owner for the job's answer.
type Attach struct {
	Key zinniasill.Key `cbor:"1,keyasint"`
}

// AttachReply is the owner's answer to Attach.
type AttachReply struct {
	Key zinniasill.Key `cbor:"1,keyasint"`
	// Known is false if the owner has no such job.
	Known bool `cbor:"2,keyasint"`
	// Answer is nil while the job is in progress.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
}

// Cancel asks another entry to cancel a job if that entry owns it.
type Cancel struct {
	Key zinniasill.Key `cbor:"1,keyasint"`
}

// CancelReply answers Cancel.
type CancelReply struct {
	Key zinniasill.Key `cbor:"1,keyasint"`
	// Done is true if the entry owns the job and is cancelling it.
	Done bool `cbor:"2,keyasint,omitempty"`
}

// Submission is a job as a caller submits it.
type Submission struct {
	Key zinniasill.Key
	// Stamp is the epoch in force when the caller first sent the job, 0 if the caller
	// gave none.
	Stamp    zinniasill.Epoch
	Profile  zinniasill.ProfileName
	Payloads [][]byte
	// Digest covers the profile and all payloads.
	Digest zinniasill.Digest
}

// Answer is the final answer of a job: complete with one output per task, failed, or
// refused.
type Answer struct {
	Complete bool              `cbor:"1,keyasint"`
	Outputs  [][]byte          `cbor:"2,keyasint,omitempty"`
	Code     zinniasill.Reason `cbor:"3,keyasint,omitempty"`
	Ran      zinniasill.Ran    `cbor:"4,keyasint,omitempty"`
	Message  string            `cbor:"5,keyasint,omitempty"`
	Retry    zinniasill.Retry  `cbor:"6,keyasint,omitempty"`
	// RetryAfter is the minimum time to wait before a retry.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
}
