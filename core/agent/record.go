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
	// DefaultRecordLimit is the default maximum size of the records and registers, in
	// bytes. It holds 147 one-task starts/s for 15 min with three epochs in the
	// retention window. This is about the rate at which 10 slots start tasks of 70 ms.
	DefaultRecordLimit = 64 << 20
	// liveTaskBytes is the approximate size of the record of a task that has not ended,
	// or whose result is not acknowledged.
	liveTaskBytes = 768
	// refusalLimitQuarters is the part of the record limit, in quarters, up to which
	// refused jobs are recorded.
	refusalLimitQuarters = 3
	// outputOverheadBytes is the approximate size of a retained output beyond its
	// content.
	outputOverheadBytes = 64
)

// Name of the counter of claims refused because the records are full.
const (
	CounterClaimRefused = "agent_claims_refused"
)

// archivedStates are the possible states of archived tasks; the archive stores the
// index.
var archivedStates = []chart.State{stateFinished, stateFailed, stateClosed}

// RecordBytes returns the size of the records and registers in bytes, including those
// that the agent hosts.
func (a *Agent) RecordBytes() int {
	size := a.acceptor.Bytes() + a.archived.Bytes() + a.liveTasks*liveTaskBytes + a.outputs.Len()*outputOverheadBytes
	for _, h := range a.hosted {
		size += h.RecordBytes()
	}
	return size
}

func (a *Agent) recordsFull() bool { return a.RecordBytes() >= a.cfg.RecordLimit }

// registersFull reports whether the acceptor must not vote in further registers. The
// limit for refusals is lower than that for claims. Otherwise a long overload would
// fill the records with refused jobs, and no job could be accepted until their epoch
// has left the retention window.
func (a *Agent) registersFull(refusal bool) bool {
	if refusal {
		return a.RecordBytes() >= a.cfg.RecordLimit/4*refusalLimitQuarters
	}
	return a.recordsFull()
}

// acceptsNewJob reports whether a job without a record may get one. Once an agent has
// refused a job, it must refuse all jobs without a record of that epoch and of earlier
// ones. It does not record which jobs it refused, so a late copy of a refused offer
// could otherwise start a task that another agent is running by then.
func (a *Agent) acceptsNewJob(epoch zinniasill.Epoch) bool {
	if a.refuseNewJobs || epoch <= a.refusedEpoch {
		return false
	}
	if a.recordsFull() {
		a.refusedEpoch = epoch
		return false
	}
	return true
}

// findJob returns the record of a job, decoded if it was archived, or nil if there is
// none.
func (a *Agent) findJob(key zinniasill.Key) *job {
	j := a.jobs[key]
	if j == nil {
		encoded := archive.EncodeKey(key)
		epoch, value, ok := a.archived.Get(encoded)
		if !ok {
			return nil
		}
		j = a.decodeJob(key, epoch, value)
		a.archived.Delete(epoch, encoded)
		a.jobs[key] = j
		a.liveTasks += len(j.tasks)
	}
	a.markDirty(j)
	return j
}

// markDirty makes the next archiveJobs check whether the job can be archived.
func (a *Agent) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		a.dirty = append(a.dirty, j)
	}
}

// archiveJobs archives the dirty jobs that are archivable. It does nothing while
// replies are pending, because these refer to the records.
func (a *Agent) archiveJobs() {
	if len(a.replies) > 0 {
		return
	}
	for _, j := range a.dirty {
		j.dirty = false
		if a.jobs[j.key] != j || !j.archivable() {
			continue
		}
		a.removeJob(j)
		if j.epoch >= a.oldestEpoch {
			a.archived.Put(j.epoch, archive.EncodeKey(j.key), a.encodeJob(j))
		}
	}
	clear(a.dirty)
	a.dirty = a.dirty[:0]
}

// removeJob removes a job from the records that are not archived.
func (a *Agent) removeJob(j *job) {
	a.liveTasks -= len(j.tasks)
	delete(a.jobs, j.key)
}

// archivable reports whether all tasks have ended or are closed, and nothing remains to
// be sent to or acknowledged by the owner.
func (j *job) archivable() bool {
	return !j.reporting && j.deferredReplies == 0 && len(j.unacked) == 0 && len(j.unsent) == 0 && j.allTasksDone()
}

// allTasksDone reports whether no task is waiting or running.
func (j *job) allTasksDone() bool {
	for _, t := range j.tasks {
		if !t.ended() && t.state != stateClosed {
			return false
		}
	}
	return true
}

// encodeJob encodes the fields of a record that a fence, a takeover or a late message
// may need. The record of a one-task job takes about 10 B plus its key.
func (a *Agent) encodeJob(j *job) []byte {
	data := binary.AppendUvarint(nil, uint64(j.term))
	data = binary.AppendUvarint(data, a.owners.Number(j.owner))
	for _, t := range sortedTasks(j) {
		data = binary.AppendUvarint(data, uint64(t.index))
		data = binary.AppendUvarint(data, uint64(t.attempt))
		data = binary.AppendUvarint(data, uint64(t.term))
		data = append(data, byte(slices.Index(archivedStates, t.state)))
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

// decodeJob decodes a record that encodeJob has encoded.
func (a *Agent) decodeJob(key zinniasill.Key, epoch zinniasill.Epoch, data []byte) *job {
	r := archive.Reader{Data: data}
	j := &job{key: key, epoch: epoch, term: zinniasill.Term(r.Uint()), owner: a.owners.Node(r.Uint())}
	j.tasks = map[zinniasill.TaskIndex]*task{}
	for len(r.Data) > 0 {
		t := &task{job: j, index: zinniasill.TaskIndex(r.Uint())}
		t.attempt = zinniasill.Attempt(r.Uint())
		t.term = zinniasill.Term(r.Uint())
		t.state = archivedStates[r.Next(1)[0]]
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
