package message

import (
	"time"

	"zinniasill"
	"zinniasill/core/resource"
)

// The messages in this file carry jobs that are answered at their end and are not
// stored. The entry that took the job owns it; an agent lets the tasks of an entry
// live only while that entry is heard from.

// Assign carries commands of an entry to an agent. An entry also sends it without
// commands, as its heartbeat.
type Assign struct {
	// Entry is the life of the sending entry and Agent that of the agent, as far as
	// the entry knows it.
	Entry zinniasill.Incarnation `cbor:"1,keyasint"`
	Agent zinniasill.Incarnation `cbor:"2,keyasint,omitempty"`
	// Session rises when the entry has given up what it had assigned before.
	Session uint64 `cbor:"3,keyasint"`
	// First is the number of the first command, Received that of the last update
	// that the entry has handled.
	First    uint64    `cbor:"4,keyasint,omitempty"`
	Commands []Command `cbor:"5,keyasint,omitempty"`
	Received uint64    `cbor:"6,keyasint,omitempty"`
	// Echo is the SentAt of the newest Progress that the entry has received.
	Echo time.Duration `cbor:"7,keyasint,omitempty"`
	// Waiting is the processor that tasks need which wait at the entry, by priority, in
	// thousandths of a core.
	Waiting []int64 `cbor:"8,keyasint,omitempty"`
	// SentAt is the time since the entry learned of its first agents, on its own clock.
	SentAt time.Duration `cbor:"9,keyasint,omitempty"`
	// ReportInterval is the least time between two messages that the entry wants to be told
	// of changed room only.
	ReportInterval time.Duration `cbor:"10,keyasint,omitempty"`
}

// Command is one command of an entry. One of the fields is set.
type Command struct {
	Offer *JobOffer `cbor:"1,keyasint,omitempty"`
	// Withdraw names a job whose tasks are to be dropped or stopped.
	Withdraw string `cbor:"2,keyasint,omitempty"`
}

// JobOffer gives tasks of one step of a job to an agent.
type JobOffer struct {
	Job  string `cbor:"1,keyasint"`
	Step uint32 `cbor:"2,keyasint,omitempty"`
	// Spec is what the caller wants run.
	Spec  string          `cbor:"3,keyasint,omitempty"`
	Tasks []AssignedTask  `cbor:"4,keyasint"`
	Need  resource.Amount `cbor:"5,keyasint"`
	// Estimate is the expected run time of one task.
	Estimate time.Duration `cbor:"6,keyasint,omitempty"`
	// Priority 0 comes first.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Slack is the time after which a start is too late for the job's objective.
	Slack time.Duration `cbor:"8,keyasint,omitempty"`
}

// AssignedTask is one task of a JobOffer.
type AssignedTask struct {
	Index   uint32             `cbor:"1,keyasint,omitempty"`
	Attempt zinniasill.Attempt `cbor:"2,keyasint"`
	// Assignment is unique among all that this life of the entry assigns. A job of the
	// same id may follow, with attempts that begin at 1 again.
	Assignment uint64 `cbor:"3,keyasint"`
}

// Progress is an agent's answer to an entry.
type Progress struct {
	Agent   zinniasill.Incarnation `cbor:"1,keyasint"`
	Entry   zinniasill.Incarnation `cbor:"2,keyasint"`
	Session uint64                 `cbor:"3,keyasint"`
	// First is the number of the first update, Received that of the last command
	// that the agent has handled.
	First    uint64       `cbor:"4,keyasint,omitempty"`
	Updates  []TaskUpdate `cbor:"5,keyasint,omitempty"`
	Received uint64       `cbor:"6,keyasint,omitempty"`
	// SentAt is the time since the agent's start, on its own clock.
	SentAt time.Duration `cbor:"7,keyasint"`
	Load   EndpointLoad          `cbor:"8,keyasint"`
	// Echo is the SentAt of the newest Assign of this life of the entry that the agent
	// has received.
	Echo time.Duration `cbor:"9,keyasint,omitempty"`
}

// RunState is what an agent reports of one assigned task.
type RunState uint8

// Values of RunState.
const (
	// RunDone means that the task has ended with success.
	RunDone RunState = iota + 1
	// RunFailed means that the task ran and failed.
	RunFailed
	// RunReturned means that the task is not running and will not start. It may
	// have run before it was stopped or lost.
	RunReturned
)

// TaskUpdate is a change of one assigned task.
type TaskUpdate struct {
	// Assignment is that of the AssignedTask.
	Assignment uint64            `cbor:"1,keyasint"`
	State      RunState          `cbor:"2,keyasint"`
	Reason     zinniasill.Reason `cbor:"3,keyasint,omitempty"`
	// Ran is set on RunReturned when the task had started.
	Ran bool `cbor:"4,keyasint,omitempty"`
}

// Priorities is the number of priorities that a Room tells apart; higher ones count
// as the last.
const Priorities = 4

// EndpointLoad is an agent's report on its endpoint.
type EndpointLoad struct {
	// Accepting is false while the endpoint takes no new work.
	Accepting     bool              `cbor:"1,keyasint,omitempty"`
	Capacity resource.Amount   `cbor:"2,keyasint"`
	Used     resource.Amount   `cbor:"3,keyasint"`
	Kind     zinniasill.Kind   `cbor:"4,keyasint,omitempty"`
	Domain   zinniasill.Domain `cbor:"5,keyasint,omitempty"`
	Labels   []string          `cbor:"6,keyasint,omitempty"`
	// Queued is the processor that the waiting tasks need, by priority, in
	// thousandths of a core.
	Queued []int64 `cbor:"7,keyasint,omitempty"`
	// Slowdown is the mean run time by the estimate, in thousandths, 0 if unknown.
	Slowdown int64 `cbor:"8,keyasint,omitempty"`
	// FailureRate is the share of failures among the last ends, in thousandths.
	FailureRate int64 `cbor:"9,keyasint,omitempty"`
	// ReleaseRate is the processor that running tasks are expected to give back in a
	// second, in thousandths of a core.
	ReleaseRate int64 `cbor:"10,keyasint,omitempty"`
	// Waiting is the sum of what the other entries have said to be waiting, by priority.
	Waiting []int64 `cbor:"11,keyasint,omitempty"`
}
