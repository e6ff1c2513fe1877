package consensus

import (
	"zinniasill"
	"zinniasill/core/message"
)

// Ready is what the owner of a replica has to do. Hard, Truncate, Snapshot and
// Entries must be durable before Persisted is called.
type Ready struct {
	// Hard replaces the hard state if it is set.
	Hard *HardState
	// Truncate is set when the entries after the snapshot's index must be dropped
	// before the snapshot is written.
	Truncate bool
	// Snapshot replaces the snapshot, and the entries up to its index, if it is set.
	Snapshot *Snapshot
	// Entries are appended. They replace all entries from their first index on.
	Entries []Entry

	// Restore replaces the applied state, before Committed, if it is set.
	Restore *Snapshot
	// Committed are to be applied in order. They are durable on a quorum.
	Committed []Entry
	// Proposals and Reads are finished. Those that succeeded refer to entries that
	// are in Committed or were before.
	Proposals []ProposalResult
	Reads     []ReadResult
	// Status is set when role, leader, term, membership or phase may have changed.
	Status *Status
}

// Writes reports whether something must be persisted.
func (r Ready) Writes() bool {
	return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return !r.Writes() && r.Restore == nil && len(r.Committed) == 0 &&
		len(r.Proposals) == 0 && len(r.Reads) == 0 && r.Status == nil
}

// output is what the replica produced and its owner has not taken yet.
type output struct {
	// outbox may leave at once, held only after the next writes.
	outbox []message.Envelope
	held   []message.Envelope
	// saving are the held messages that the write in progress releases.
	saving []message.Envelope

	hardDirty     bool
	snapshotDirty bool
	truncate      bool
	// writing is true between a Ready with writes and Persisted; writingHard and
	// writingSnapshot say what is being written.
	writing         bool
	writingHard     bool
	writingSnapshot *Snapshot

	// install is a received snapshot that is restored once it is durable.
	install     *Snapshot
	restore     *Snapshot
	finished    []ProposalResult
	reads       []ReadResult
	statusDirty bool
}

// send sends a message that must wait for the writes before it.
func (r *Replica) send(to zinniasill.Node, body any) {
	env := r.envelope(to, body)
	if r.dirty() || r.out.writing {
		r.out.held = append(r.out.held, env)
		return
	}
	r.out.outbox = append(r.out.outbox, env)
}

// sendEarly sends a message of a leader that may leave before its entries are on
// disk: only its own acknowledgement depends on that. Term and vote must be.
func (r *Replica) sendEarly(to zinniasill.Node, body any) {
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

// Ready returns what is to be done and prepares the messages to followers. While
// a write is in progress it returns no further writes.
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

func (r *Replica) takeWrites(ready *Ready) {
	r.out.writing = true
	r.out.saving = r.out.held
	r.out.held = nil
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
	r.log.saving = r.log.last()
}

// takeCommitted hands out the committed entries that are on this replica's disk.
func (r *Replica) takeCommitted(ready *Ready) {
	if r.out.install != nil {
		return
	}
	if ready.Restore != nil {
		r.applied = ready.Restore.Index
	}
	upTo := min(r.commit, r.log.stable)
	if upTo > r.applied {
		ready.Committed = r.log.slice(r.applied+1, upTo)
		r.applied = upTo
	}
}

// Persisted reports that the writes of the last Ready are durable.
func (r *Replica) Persisted() {
	if !r.out.writing {
		return
	}
	r.out.writing = false
	r.out.writingHard = false
	r.out.outbox = append(r.out.outbox, r.out.saving...)
	r.out.saving = nil
	if r.out.writingSnapshot != nil && r.out.writingSnapshot == r.out.install {
		r.out.restore = r.out.install
		r.out.install = nil
	}
	r.out.writingSnapshot = nil
	if r.log.saving > r.log.stable {
		r.log.stable = r.log.saving
	}
	r.log.saving = 0
	if !r.dirty() {
		r.out.outbox = append(r.out.outbox, r.out.held...)
		r.out.held = nil
	}
	r.advanceCommit()
}
