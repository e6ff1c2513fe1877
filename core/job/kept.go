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
	// first holds 1,500 one-task jobs/s for 15 min.
	DefaultRecordLimit = 128 << 20
	defaultAnswerLimit = 32 << 20
	// liveJobBytes is about what a job without an answer takes, without its payloads.
	liveJobBytes = 1024
)

// RecordBytes returns the bytes that the records of jobs take.
func (c *Coordinator) RecordBytes() int {
	return c.ended.Bytes() + len(c.jobs)*liveJobBytes
}

// isFull reports whether a new job would exceed the limit of the records. The job
// itself is among the records already.
func (c *Coordinator) isFull() bool {
	return c.RecordBytes()-liveJobBytes >= c.cfg.Limits.MaxRecordBytes
}

// find returns the record of a job, nil if there is none. That of an answered job may
// be a copy, which must not be changed.
func (c *Coordinator) find(key zinniasill.Key) *record {
	if r := c.jobs[key]; r != nil {
		return r
	}
	epoch, value, ok := c.ended.Get(archive.EncodeKey(key))
	if !ok {
		return nil
	}
	return c.decode(key, epoch, value)
}

// keep encodes the record of an answered job for resubmissions and late messages, and
// bounds the kept outputs. The record that a job ran outlives its outputs. A record
// whose key may be submitted again is kept as it is, since its next term needs it.
func (c *Coordinator) keep(r *record) {
	if r.reopens {
		r.work = &work{priors: r.priors}
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
	c.ended.Put(r.epoch, archive.EncodeKey(r.key), r.encode(id))
	delete(c.jobs, r.key)
}

// dropBefore forgets the answered jobs of epochs that have left the window.
func (c *Coordinator) dropBefore(oldest zinniasill.Epoch) {
	c.ended.DropBefore(oldest)
	c.outputs.DropBefore(oldest)
	for key, r := range c.jobs {
		if r.answer != nil && r.epoch < oldest {
			delete(c.jobs, key)
		}
	}
}

// encode keeps what a resubmission, another entry or a late report asks for.
func (r *record) encode(outputs archive.OutputID) []byte {
	data := append([]byte{byte(r.state)}, r.digest[:]...)
	data = archive.AppendBool(data, r.confirmed)
	data = binary.AppendUvarint(data, uint64(r.term))
	data = archive.AppendString(data, string(r.ran))
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

func (c *Coordinator) decode(key zinniasill.Key, epoch zinniasill.Epoch, value []byte) *record {
	data := archive.Reader{Data: value}
	r := &record{key: key, epoch: epoch, state: state(data.Next(1)[0]), owned: true}
	copy(r.digest[:], data.Next(len(r.digest)))
	r.confirmed = data.Bool()
	r.term = zinniasill.Term(data.Uint())
	r.ran = zinniasill.ProfileName(data.String())
	if id := archive.OutputID(data.Uint()); id != 0 {
		outputs, ok := c.outputs.Get(id)
		r.answer = &message.Answer{Complete: true, Outputs: outputs}
		if !ok {
			r.answer = answerEvicted()
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

// outputBytes is the size that outputs count for. The overhead keeps many small
// outputs from exceeding the limit.
func outputBytes(outputs [][]byte) int {
	const overhead = 64
	size := overhead
	for _, output := range outputs {
		size += len(output) + overhead/2
	}
	return size
}
