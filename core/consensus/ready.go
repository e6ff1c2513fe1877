package consensus

import (
	"zinniasill"
	"zinniasill/core/message"
)

// Ready is the work that the owner of a replica must perform. Hard, Truncate, Snapshot and
// Entries must be durable before Persisted is called.
type Ready struct {
	// Hard, if set, replaces the hard state.
	Hard *HardState
	// Truncate is set if the entries after the snapshot's index must be removed before
	// the snapshot is written.
	Truncate bool
	// Snapshot, if set, replaces the snapshot and the entries up to its index.
	Snapshot *Snapshot
	// Entries are to be appended. They replace all entries from their first index on.
	Entries []Entry

	// Restore, if set, replaces the applied state before Committed is applied.
	Restore *Snapshot
	// Committed are the entries to apply, in order. They are durable on a quorum.
	Committed []Entry
	// Proposals and Reads are results. Successful ones refer to entries in this or an
	// earlier Committed.
	Proposals []ProposalResult
	Reads     []ReadResult
	// Status is set if the role, leader, term, membership or phase may have changed.
	Status *Status
}

// Writes reports whether the Ready contains something to persist.
func (r Ready) Writes() bool {
	return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Empty reports whether the Ready contains no work.
func (r Ready) Empty() bool {
	return !r.Writes() && r.Restore == nil && len(r.Committed) == 0 &&
		len(r.Proposals) == 0 && len(r.Reads) == 0 && r.Status == nil
}

// output is the output of a replica that its owner has not yet taken.
type output struct {
	// outbox may be sent immediately, deferred only after the next writes.
	outbox   []message.Envelope
	deferred []message.Envelope
	// persisting are the deferred messages that wait for the write in progress.
	persisting []message.Envelope

	hardDirty     bool
	snapshotDirty bool
	truncate      bool
	// writing is true between a Ready with writes and Persisted; writingHard and
	// writingSnapshot are set if these writes include the hard state or a snapshot.
	writing         bool
	writingHard     bool
	writingSnapshot *Snapshot

	// install is a received snapshot that will be restored once it is durable.
	install     *Snapshot
	restore     *Snapshot
	finished    []ProposalResult
	reads       []ReadResult
	statusDirty bool
}

// send queues a message that must not be sent before the pending writes are durable.
func (r *Replica) send(to zinniasill.Node, body any) {
	env := r.envelope(to, body)
	if r.dirty() || r.out.writing {
		r.out.deferred = append(r.out.deferred, env)
		return
	}
	r.out.outbox = append(r.out.outbox, env)
}

// sendBeforePersisted queues a message of a leader that may be sent before its entries are
// durable, because only the leader's own acknowledgement depends on them. Term and vote
// must be durable.
func (r *Replica) sendBeforePersisted(to zinniasill.Node, body any) {
	if r.out.hardDirty || r.out.writingHard {
		r.send(to, body)
		return
	}
	r.out.outbox = append(r.out.outbox, r.envelope(to, body))
}

func (r *Replica) envelope(to zinniasill.Node, body any) message.Envelope {
	return message.Envelope{
		Version: message.Version, Cluster: r.hard.Cluster, From: r.self, To: to, Body: body,
	}
}

// dirty reports whether there is something to persist.
func (r *Replica) dirty() bool {
	return r.out.hardDirty || r.out.snapshotDirty || r.log.last() > r.log.stable
}

// Outbox returns and clears the messages to send.
func (r *Replica) Outbox() []message.Envelope {
	outbox := r.out.outbox
	r.out.outbox = nil
	return outbox
}

// Ready returns the pending work and queues the messages to followers. While a write is
// in progress, it returns no further writes.
func (r *Replica) Ready() Ready {
	r.flush()
	ready := Ready{Restore: r.out.restore}
	r.out.restore = nil
	if !r.out.writing && r.dirty() {
		r.takeWrites(&ready)
	}
	r.takeCommitted(&ready)
	ready.Proposals = r.takeProposals()
	ready.Reads = r.takeReads()
	if r.out.statusDirty {
		r.out.statusDirty = false
		status := r.Status()
		ready.Status = &status
	}
	return ready
}

// takeWrites moves the pending writes to ready.
func (r *Replica) takeWrites(ready *Ready) {
	r.out.writing = true
	r.out.persisting = r.out.deferred
	r.out.deferred = nil
	if r.out.hardDirty {
		hard := r.hard
		ready.Hard = &hard
		r.out.hardDirty = false
		r.out.writingHard = true
	}
	if r.out.snapshotDirty {
		ready.Snapshot = r.snapshot
		ready.Truncate = r.out.truncate
		r.out.snapshotDirty = false
		r.out.truncate = false
		r.out.writingSnapshot = r.snapshot
	}
	ready.Entries = r.log.slice(r.log.stable+1, r.log.last())
	r.log.persisting = r.log.last()
}

// takeCommitted moves the committed entries that are durable at this replica to ready.
func (r *Replica) takeCommitted(ready *Ready) {
	if r.out.install != nil {
		return
	}
	if ready.Restore != nil {
		r.applied = ready.Restore.Index
	}
	last := min(r.commit, r.log.stable)
	if last > r.applied {
		ready.Committed = r.log.slice(r.applied+1, last)
		r.applied = last
	}
}

// Persisted must be called when the writes of the last Ready are durable.
func (r *Replica) Persisted() {
	if !r.out.writing {
		return
	}
	r.out.writing = false
	r.out.writingHard = false
	r.out.outbox = append(r.out.outbox, r.out.persisting...)
	r.out.persisting = nil
	if r.out.writingSnapshot != nil && r.out.writingSnapshot == r.out.install {
		r.out.restore = r.out.install
		r.out.install = nil
	}
	r.out.writingSnapshot = nil
	if r.log.persisting > r.log.stable {
		r.log.stable = r.log.persisting
	}
	r.log.persisting = 0
	if !r.dirty() {
		r.out.outbox = append(r.out.outbox, r.out.deferred...)
		r.out.deferred = nil
	}
	r.advanceCommit()
}
