package agent

import (
	"maps"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/chart"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// Handover is the content of a handover: the records of an agent that stops as planned
// and those that it hosts.
type Handover struct {
	Agents []State `cbor:"1,keyasint"`
}

// State is the records of one incarnation of an agent.
type State struct {
	Claims claim.State `cbor:"1,keyasint"`
	Jobs   []JobState  `cbor:"2,keyasint"`
}

// JobState is the record of one job.
type JobState struct {
	Key   zinniasill.Key   `cbor:"1,keyasint"`
	Epoch zinniasill.Epoch `cbor:"2,keyasint"`
	Term  zinniasill.Term  `cbor:"3,keyasint"`
	Owner zinniasill.Node  `cbor:"4,keyasint"`
	Tasks []TaskState      `cbor:"5,keyasint"`
}

// TaskState is the record of one task.
type TaskState struct {
	Index   zinniasill.TaskIndex `cbor:"1,keyasint"`
	Attempt zinniasill.Attempt   `cbor:"2,keyasint"`
	Term    zinniasill.Term      `cbor:"3,keyasint"`
	State   chart.State          `cbor:"4,keyasint"`
	Reason  zinniasill.Reason    `cbor:"5,keyasint,omitempty"`
	Outcome zinniasill.Outcome   `cbor:"6,keyasint"`
	Evicted bool                 `cbor:"7,keyasint,omitempty"`
	Unacked bool                 `cbor:"8,keyasint,omitempty"`
}

// Dump freezes the agent and returns its records. Waiting tasks are closed and running
// ones end with an unknown outcome, so Dump should only be called after Leave, once the
// agent is idle. A frozen agent replies to nothing. The records may be given to one
// agent only.
func (a *Agent) Dump(now time.Time) Handover {
	a.setNow(now)
	a.returnWaitingTasks(zinniasill.ReasonLeaving)
	a.failRunning(now)
	a.frozen = true
	state := State{Claims: a.acceptor.Dump()}
	jobs := a.allJobs()
	slices.SortFunc(jobs, func(x, y *job) int {
		return compareTasks(&task{job: x}, &task{job: y})
	})
	for _, j := range jobs {
		state.Jobs = append(state.Jobs, a.dumpJob(j))
	}
	dump := Handover{Agents: []State{state}}
	for _, h := range a.hosted {
		dump.Agents = append(dump.Agents, h.Dump(now).Agents...)
	}
	return dump
}

// allJobs returns the records of all jobs, archived or not.
func (a *Agent) allJobs() []*job {
	jobs := slices.Collect(maps.Values(a.jobs))
	a.archived.ForEach(func(epoch zinniasill.Epoch, key, value []byte) {
		jobs = append(jobs, a.decodeJob(archive.DecodeKey(key), epoch, value))
	})
	return jobs
}

func (a *Agent) dumpJob(j *job) JobState {
	state := JobState{Key: j.key, Epoch: j.epoch, Term: j.term, Owner: j.owner}
	for _, t := range sortedTasks(j) {
		outcome, evicted := a.outcome(t)
		state.Tasks = append(state.Tasks, TaskState{
			Index: t.index, Attempt: t.attempt, Term: t.term, State: t.state, Reason: t.reason,
			Outcome: outcome, Evicted: evicted, Unacked: t.unacked,
		})
	}
	return state
}

// Load makes the agent the host of dumped records. It then replies under the identity
// of each dumped incarnation, but starts no tasks for it. Loading the same records
// again has no effect, so that votes cast since the first load are not lost.
func (a *Agent) Load(now time.Time, dump Handover) {
	for _, state := range dump.Agents {
		if a.hostedAgent(state.Claims.Node) == nil && state.Claims.Node != a.cfg.Self {
			a.hosted = append(a.hosted, a.loadHosted(now, state))
		}
	}
}

// HostedNodes returns the identities, other than its own, that the agent replies for.
func (a *Agent) HostedNodes() []zinniasill.Node {
	nodes := make([]zinniasill.Node, 0, len(a.hosted))
	for _, h := range a.hosted {
		nodes = append(nodes, h.cfg.Self)
	}
	return nodes
}

func (a *Agent) hostedAgent(node zinniasill.Node) *Agent {
	for _, h := range a.hosted {
		if h.cfg.Self == node {
			return h
		}
	}
	return nil
}

// tickHosted ticks the hosted incarnations. It drops those that have ended, have no records
// left and are asked by no entry any more, because control lists no host for them.
func (a *Agent) tickHosted(now time.Time) {
	current := a.cfg.Lease.Catalog()
	a.hosted = slices.DeleteFunc(a.hosted, func(h *Agent) bool {
		h.Tick(now)
		_, listed := current.Hosts[h.cfg.Self]
		return !listed && !current.Alive(h.cfg.Self) && h.RecordBytes() == 0
	})
}

func (a *Agent) receiveHosted(now time.Time, env message.Envelope) {
	h := a.hostedAgent(env.To)
	if h == nil || a.frozen {
		a.count(CounterWrongIncarnation, "")
		return
	}
	h.Receive(now, env)
}

// loadHosted returns an agent with dumped records. It is leaving and has no endpoint.
func (a *Agent) loadHosted(now time.Time, state State) *Agent {
	cfg := a.cfg
	cfg.Self = state.Claims.Node
	h := New(cfg)
	h.leaving = true
	h.setNow(now)
	h.refuseNewJobs = true
	h.acceptor = claim.LoadAcceptor(state.Claims)
	h.acceptor.SetFullFunc(a.registersFull)
	h.oldestEpoch = state.Claims.Oldest
	for _, dumped := range state.Jobs {
		h.loadJob(dumped)
	}
	h.archiveJobs()
	return h
}

func (a *Agent) loadJob(dumped JobState) {
	j := &job{
		key: dumped.Key, epoch: dumped.Epoch, term: dumped.Term, owner: dumped.Owner,
		tasks: make(map[zinniasill.TaskIndex]*task, len(dumped.Tasks)),
	}
	a.jobs[j.key] = j
	a.liveTasks += len(dumped.Tasks)
	a.markDirty(j)
	for _, d := range dumped.Tasks {
		t := &task{
			job: j, index: d.Index, attempt: d.Attempt, term: d.Term, state: d.State, reason: d.Reason,
			outcome: d.Outcome, evicted: d.Evicted,
		}
		j.tasks[t.index] = t
		a.storeOutput(t)
		if d.Unacked {
			a.report(t)
		}
	}
}
