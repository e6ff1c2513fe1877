package agent

import (
	"encoding/binary"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/chart"
)

const (
	// DefaultRecordLimit is the highest size in bytes of the records and registers. It
	// holds 147 one-task starts/s for 15 min with three epochs in the window: about what
	// 10 slots can start with tasks of 70 ms.
	DefaultRecordLimit = 64 << 20
	// liveTaskBytes is about what a task takes that has not ended or whose end is not
	// acknowledged.
	liveTaskBytes = 768
	// refusalQuarters is the part of the limit, in quarters, up to which refused jobs
	// are recorded.
	refusalQuarters = 3
	// outputBytes is what a kept output takes beyond its content.
	outputBytes = 64
)

// Names of counters of the limit of records.
const (
	CounterClaimRefused = "agent_claims_refused"
)

// endedStates are the states of encoded tasks.
var endedStates = []chart.State{stateFinished, stateFailed, stateClosed}

// RecordBytes returns the bytes that the records and registers take, with those that the
// agent hosts.
func (a *Agent) RecordBytes() int {
	size := a.acceptor.Bytes() + a.ended.Bytes() + a.live*liveTaskBytes + a.outputs.Len()*outputBytes
	for _, h := range a.hosted {
		size += h.RecordBytes()
	}
	return size
}

func (a *Agent) isFull() bool { return a.RecordBytes() >= a.cfg.RecordLimit }

// isFullFor reports whether the acceptor may vote in no further register. Refusals
// may take less than claims: a long overload would otherwise fill the records with
// refused jobs, and no job could be accepted for the rest of the window.
func (a *Agent) isFullFor(refusal bool) bool {
	if refusal {
		return a.RecordBytes() >= a.cfg.RecordLimit/4*refusalQuarters
	}
	return a.isFull()
}

// hasRoom reports whether a job without a record may get one. An agent that has
// refused one must go on refusing all unknown jobs of that epoch and of earlier ones:
// it has no record of what it refused, so that a late copy of a refused offer would
// otherwise start a task that runs elsewhere by then.
func (a *Agent) hasRoom(epoch zinniasill.Epoch) bool {
	if a.refusing || epoch <= a.refused {
		return false
	}
	if a.isFull() {
		a.refused = epoch
		return false
	}
	return true
}

// find returns the record of a job, nil if there is none.
func (a *Agent) find(key zinniasill.Key) *job {
	j := a.jobs[key]
	if j == nil {
		encoded := archive.EncodeKey(key)
		epoch, value, ok := a.ended.Get(encoded)
		if !ok {
			return nil
		}
		j = a.decode(key, epoch, value)
		a.ended.Delete(epoch, encoded)
		a.jobs[key] = j
		a.live += len(j.tasks)
	}
	a.touch(j)
	return j
}

// touch has a job looked at after the step, whether it has ended.
func (a *Agent) touch(j *job) {
	if !j.touched {
		j.touched = true
		a.touched = append(a.touched, j)
	}
}

// archiveEnded encodes the records of the jobs that have ended. Answers that wait
// refer to the records, so it follows them.
func (a *Agent) archiveEnded() {
	if len(a.replies) > 0 {
		return
	}
	for _, j := range a.touched {
		j.touched = false
		if a.jobs[j.key] != j || !j.settled() {
			continue
		}
		a.forget(j)
		if j.epoch >= a.oldest {
			a.ended.Put(j.epoch, archive.EncodeKey(j.key), a.encode(j))
		}
	}
	clear(a.touched)
	a.touched = a.touched[:0]
}

// forget removes a job from the records that are not encoded.
func (a *Agent) forget(j *job) {
	a.live -= len(j.tasks)
	delete(a.jobs, j.key)
}

// settled reports whether all tasks have ended and their owner knows it.
func (j *job) settled() bool {
	return !j.reporting && j.heldReplies == 0 && len(j.unacked) == 0 && len(j.fresh) == 0 && j.over()
}

// over reports whether no task waits or runs.
func (j *job) over() bool {
	for _, t := range j.tasks {
		if !t.ended() && t.state != stateClosed {
			return false
		}
	}
	return true
}

// encode keeps what a fence, a takeover or a late message can ask for. A one-task job
// takes about 10 B and its key.
func (a *Agent) encode(j *job) []byte {
	data := binary.AppendUvarint(nil, uint64(j.term))
	data = binary.AppendUvarint(data, a.owners.Number(j.owner))
	for _, t := range sortedTasks(j) {
		data = binary.AppendUvarint(data, uint64(t.index))
		data = binary.AppendUvarint(data, uint64(t.attempt))
		data = binary.AppendUvarint(data, uint64(t.term))
		data = append(data, byte(slices.Index(endedStates, t.state)))
		if t.state == stateClosed {
			data = archive.AppendString(data, string(t.reason))
			continue
		}
		data = binary.AppendUvarint(data, uint64(t.took))
		data = binary.AppendUvarint(data, uint64(t.output))
		data = archive.AppendBool(data, t.evicted)
		data = archive.AppendString(data, t.outcome.Error)
		data = archive.AppendString(data, string(t.outcome.Ran))
	}
	return data
}

func (a *Agent) decode(key zinniasill.Key, epoch zinniasill.Epoch, data []byte) *job {
	r := archive.Reader{Data: data}
	j := &job{key: key, epoch: epoch, term: zinniasill.Term(r.Uint()), owner: a.owners.Node(r.Uint())}
	j.tasks = map[zinniasill.TaskIndex]*task{}
	for len(r.Data) > 0 {
		t := &task{job: j, index: zinniasill.TaskIndex(r.Uint())}
		t.attempt = zinniasill.Attempt(r.Uint())
		t.term = zinniasill.Term(r.Uint())
		t.state = endedStates[r.Next(1)[0]]
		j.tasks[t.index] = t
		if t.state == stateClosed {
			t.reason = zinniasill.Reason(r.String())
			continue
		}
		t.took = time.Duration(r.Uint())
		t.output = archive.OutputID(r.Uint())
		t.evicted = r.Bool()
		t.outcome = zinniasill.Outcome{
			OK: t.state == stateFinished, Error: r.String(), Ran: zinniasill.Ran(r.String()),
		}
	}
	return j
}

// outcome returns the outcome of a task with its output, and whether the output was
// evicted.
func (a *Agent) outcome(t *task) (outcome zinniasill.Outcome, evicted bool) {
	outcome = t.outcome
	if t.output == 0 {
		return outcome, t.evicted
	}
	output, ok := a.outputs.Get(t.output)
	outcome.Output = output
	return outcome, !ok
}
