package job

import (
	"encoding/binary"
	"time"

	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/message"
)

const (
	// DefaultRecordLimit and defaultAnswerLimit are the default limits in bytes. The
	// first holds the records of 1,500 one-task jobs/s for 15 min.
	DefaultRecordLimit = 128 << 20
	defaultAnswerLimit = 32 << 20
	// liveJobBytes is the approximate size of the record of a job without an answer, in
	// bytes and without its payloads.
	liveJobBytes = 1024
)

// RecordBytes returns the size of all records of jobs in bytes.
func (c *Coordinator) RecordBytes() int {
	return c.archived.Bytes() + len(c.jobs)*liveJobBytes
}

// isFull reports whether a new job exceeds the limit on records. The new job is already
// among the records.
func (c *Coordinator) isFull() bool {
	return c.RecordBytes()-liveJobBytes >= c.cfg.Limits.MaxRecordBytes
}

// find returns the record of a job, or nil if there is none. The record of an answered
// job may be a decoded copy, which must not be modified.
func (c *Coordinator) find(key zinniasill.Key) *record {
	if r := c.jobs[key]; r != nil {
		return r
	}
	epoch, value, ok := c.archived.Get(archive.EncodeKey(key))
	if !ok {
		return nil
	}
	return c.decode(key, epoch, value)
}

// archiveRecord encodes the record of an answered job for resubmissions and late messages,
// and evicts outputs beyond the limit. The record that a job ran outlives its outputs. A
// resubmittable record is not encoded, since its next term needs it.
func (c *Coordinator) archiveRecord(r *record) {
	if r.resubmittable {
		r.work = &work{priorClaims: r.priorClaims}
		return
	}
	r.work = nil
	var id archive.OutputID
	if r.answer.Complete {
		var evicted int
		id, evicted = c.outputs.Add(r.epoch, r.answer.Outputs, outputBytes(r.answer.Outputs))
		for range evicted {
			c.cfg.Counters.Inc(CounterEvicted, "")
		}
	}
	c.archived.Put(r.epoch, archive.EncodeKey(r.key), r.encode(id))
	delete(c.jobs, r.key)
}

// dropBefore drops the answered jobs of epochs before the oldest retained one.
func (c *Coordinator) dropBefore(oldest zinniasill.Epoch) {
	c.archived.DropBefore(oldest)
	c.outputs.DropBefore(oldest)
	for key, r := range c.jobs {
		if r.answer != nil && r.epoch < oldest {
			delete(c.jobs, key)
		}
	}
}

// encode encodes the fields of a record that a resubmission, another entry or a late
// report needs.
func (r *record) encode(outputs archive.OutputID) []byte {
	data := append([]byte{byte(r.state)}, r.digest[:]...)
	data = archive.AppendBool(data, r.confirmed)
	data = binary.AppendUvarint(data, uint64(r.term))
	data = archive.AppendString(data, string(r.profileName))
	data = binary.AppendUvarint(data, uint64(outputs))
	if outputs != 0 {
		return data
	}
	data = archive.AppendString(data, string(r.answer.Code))
	data = archive.AppendString(data, string(r.answer.Ran))
	data = archive.AppendString(data, string(r.answer.Retry))
	data = binary.AppendUvarint(data, uint64(r.answer.RetryAfter))
	return archive.AppendString(data, r.answer.Message)
}

// decode restores the record of an answered job from its encoded form.
func (c *Coordinator) decode(key zinniasill.Key, epoch zinniasill.Epoch, value []byte) *record {
	data := archive.Reader{Data: value}
	r := &record{key: key, epoch: epoch, state: state(data.Next(1)[0]), owned: true}
	copy(r.digest[:], data.Next(len(r.digest)))
	r.confirmed = data.Bool()
	r.term = zinniasill.Term(data.Uint())
	r.profileName = zinniasill.ProfileName(data.String())
	if id := archive.OutputID(data.Uint()); id != 0 {
		outputs, ok := c.outputs.Get(id)
		r.answer = &message.Answer{Complete: true, Outputs: outputs}
		if !ok {
			r.answer = answerEvictedAnswer()
		}
		return r
	}
	r.answer = &message.Answer{
		Code:       zinniasill.Reason(data.String()),
		Ran:        zinniasill.Ran(data.String()),
		Retry:      zinniasill.Retry(data.String()),
		RetryAfter: time.Duration(data.Uint()),
		Message:    data.String(),
	}
	return r
}

// outputBytes returns the size in bytes that outputs count as. It includes an estimated
// overhead, without which many small outputs would exceed the limit.
func outputBytes(outputs [][]byte) int {
	const overhead = 64
	size := overhead
	for _, output := range outputs {
		size += len(output) + overhead/2
	}
	return size
}
