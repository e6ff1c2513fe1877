package message

import (
	"time"

	"zinniasill"
	"zinniasill/core/resource"
)

// The messages in this file carry direct jobs, which are answered on the request that
// submitted them and are kept in memory only. The entry that accepted a job owns it. An
// agent stops the tasks of an entry when it no longer receives messages from that entry.

// Assign carries commands from an entry to an agent. Without commands it is the entry's
// heartbeat.
type Assign struct {
	// Entry is the incarnation of the sending entry, Agent that of the agent as recorded
	// by the entry.
	Entry zinniasill.Incarnation `cbor:"1,keyasint"`
	Agent zinniasill.Incarnation `cbor:"2,keyasint,omitempty"`
	// Session increases each time the entry abandons all earlier assignments to the
	// agent.
	Session uint64 `cbor:"3,keyasint"`
	// First is the number of the first command, Received that of the last update that
	// the entry has processed.
	First    uint64    `cbor:"4,keyasint,omitempty"`
	Commands []Command `cbor:"5,keyasint,omitempty"`
	Received uint64    `cbor:"6,keyasint,omitempty"`
	// Echo is the SentAt of the newest Progress that the entry has received.
	Echo time.Duration `cbor:"7,keyasint,omitempty"`
	// Waiting is the CPU required by the tasks that wait at the entry, by priority, in
	// thousandths of a core.
	Waiting []int64 `cbor:"8,keyasint,omitempty"`
	// SentAt is the time since the entry was given its first agents, by its own clock.
	SentAt time.Duration `cbor:"9,keyasint,omitempty"`
	// ReportInterval is the minimum time between two messages that report only a changed
	// load.
	ReportInterval time.Duration `cbor:"10,keyasint,omitempty"`
}

// Command is one command from an entry. Exactly one field is set.
type Command struct {
	Offer *JobOffer `cbor:"1,keyasint,omitempty"`
	// Withdraw is the id of a job whose tasks are to be dequeued or stopped.
	Withdraw string `cbor:"2,keyasint,omitempty"`
}

// JobOffer assigns tasks of one step of a job to an agent.
type JobOffer struct {
	Job  string `cbor:"1,keyasint"`
	Step uint32 `cbor:"2,keyasint,omitempty"`
	// Spec is the caller's description of the work.
	Spec  string          `cbor:"3,keyasint,omitempty"`
	Tasks []AssignedTask  `cbor:"4,keyasint"`
	Need  resource.Amount `cbor:"5,keyasint"`
	// Estimate is the expected run time of one task.
	Estimate time.Duration `cbor:"6,keyasint,omitempty"`
	// Priority 0 is the highest.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Slack is the time after which a start is too late to meet the job's objective.
	Slack time.Duration `cbor:"8,keyasint,omitempty"`
	// Label, if set, must be one of the endpoint's labels when the task starts.
	Label string `cbor:"9,keyasint,omitempty"`
}

// AssignedTask is one task of a JobOffer.
type AssignedTask struct {
	Index   uint32             `cbor:"1,keyasint,omitempty"`
	Attempt zinniasill.Attempt `cbor:"2,keyasint"`
	// Assignment is unique among all assignments made by this incarnation of the entry.
	// Another job may reuse the job id, with attempts numbered from 1 again.
	Assignment uint64 `cbor:"3,keyasint"`
}

// Progress carries updates and the load report from an agent to an entry.
type Progress struct {
	Agent   zinniasill.Incarnation `cbor:"1,keyasint"`
	Entry   zinniasill.Incarnation `cbor:"2,keyasint"`
	Session uint64                 `cbor:"3,keyasint"`
	// First is the number of the first update, Received that of the last command that
	// the agent has processed.
	First    uint64       `cbor:"4,keyasint,omitempty"`
	Updates  []TaskUpdate `cbor:"5,keyasint,omitempty"`
	Received uint64       `cbor:"6,keyasint,omitempty"`
	// SentAt is the time since the agent started, by its own clock.
	SentAt time.Duration `cbor:"7,keyasint"`
	Load   EndpointLoad  `cbor:"8,keyasint"`
	// Echo is the SentAt of the newest Assign that the agent has received from this
	// incarnation of the entry.
	Echo time.Duration `cbor:"9,keyasint,omitempty"`
	// Started are the assignments of this session whose runs are known to have started.
	Started []uint64 `cbor:"10,keyasint,omitempty"`
}

// RunState is the state of an assigned task as reported by its agent.
type RunState uint8

// Values of RunState.
const (
	// RunDone means that the task succeeded.
	RunDone RunState = iota + 1
	// RunFailed means that the task ran and failed.
	RunFailed
	// RunReturned means that the task is not running and will not start. It may have run
	// before it was stopped or lost.
	RunReturned
	// RunCrashed means that the endpoint crashed under a run that another entry, or an
	// earlier incarnation of this one, had assigned.
	RunCrashed
)

// TaskUpdate reports a change of state of one assigned task.
type TaskUpdate struct {
	// Assignment identifies the AssignedTask, unless the state is RunCrashed.
	Assignment uint64            `cbor:"1,keyasint"`
	State      RunState          `cbor:"2,keyasint"`
	Reason     zinniasill.Reason `cbor:"3,keyasint,omitempty"`
	// Ran is set with RunReturned if the task may have started.
	Ran bool `cbor:"4,keyasint,omitempty"`
	// Task is set with RunCrashed.
	Task zinniasill.TaskID `cbor:"5,keyasint,omitzero"`
	// Crash is above 0 if the endpoint crashed under the run. It numbers the crashes that
	// this incarnation of the agent has seen.
	Crash uint64 `cbor:"6,keyasint,omitempty"`
	// Age is set with Crash. It is the time from the order to start the run to the
	// endpoint's last answer.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
	// MayStart is set with RunReturned if a start order that got no answer may still be
	// carried out.
	MayStart bool `cbor:"8,keyasint,omitempty"`
}

// Priorities is the number of priorities that an EndpointLoad distinguishes. Lower
// priorities are counted with the last of them.
const Priorities = 4

// EndpointLoad is an agent's load report for its endpoint.
type EndpointLoad struct {
	// Accepting is false while the endpoint accepts no new work.
	Accepting bool              `cbor:"1,keyasint,omitempty"`
	Capacity  resource.Amount   `cbor:"2,keyasint"`
	Used      resource.Amount   `cbor:"3,keyasint"`
	Kind      zinniasill.Kind   `cbor:"4,keyasint,omitempty"`
	Domain    zinniasill.Domain `cbor:"5,keyasint,omitempty"`
	Labels    []string          `cbor:"6,keyasint,omitempty"`
	// Queued is the CPU required by the tasks queued at the agent, by priority, in
	// thousandths of a core.
	Queued []int64 `cbor:"7,keyasint,omitempty"`
	// Slowdown is the mean ratio of run time to estimate, in thousandths, 0 if unknown.
	Slowdown int64 `cbor:"8,keyasint,omitempty"`
	// FailureRate is the recent share of failed runs, in thousandths.
	FailureRate int64 `cbor:"9,keyasint,omitempty"`
	// ReleaseRate is the CPU that running tasks are expected to release per second, in
	// thousandths of a core.
	ReleaseRate int64 `cbor:"10,keyasint,omitempty"`
	// Waiting is the sum of the CPU required by tasks that wait at other entries, as
	// they reported it, by priority.
	Waiting []int64 `cbor:"11,keyasint,omitempty"`
	// Speed is the lasting speed of the endpoint, the zero value if unknown.
	Speed EndpointSpeed `cbor:"12,keyasint,omitzero"`
}

// EndpointSpeed is an agent's estimate of the lasting speed of its endpoint.
type EndpointSpeed struct {
	// RunRatio is the typical ratio of run time to estimate, in thousandths.
	RunRatio int64 `cbor:"1,keyasint"`
	// Uncertainty is the standard error of the natural logarithm of RunRatio, in
	// thousandths.
	Uncertainty int64 `cbor:"2,keyasint,omitempty"`
	// Runs is the number of runs that the estimate is based on.
	Runs int64 `cbor:"3,keyasint,omitempty"`
}

// Known reports whether there is an estimate.
func (s EndpointSpeed) Known() bool {
	return s.RunRatio > 0
}

// assumedReleaseTime is the time assumed for an endpoint that reports no release rate.
const assumedReleaseTime = 100 * time.Millisecond

// maxReleaseTime is the longest time that ReleaseTime returns. Sums of such times do not
// overflow.
const maxReleaseTime = 24 * time.Hour

// ReleaseTime returns the time in which running tasks release an amount of CPU, given the
// amount that they release per second, both in thousandths of a core.
func ReleaseTime(milliCPU, perSecond int64) time.Duration {
	if perSecond <= 0 {
		return assumedReleaseTime
	}
	seconds := float64(milliCPU) / float64(perSecond)
	return time.Duration(min(max(seconds, 0), maxReleaseTime.Seconds()) * float64(time.Second))
}
