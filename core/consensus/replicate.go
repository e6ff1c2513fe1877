package consensus

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// leadership is the state of a leader.
type leadership struct {
	// firstIndex is the index of the empty entry that the leader wrote when it was
	// elected.
	firstIndex Index
	followers  map[zinniasill.Node]*follower
	// sendAll is set if the next flush must send a message to all followers.
	sendAll     bool
	heartbeatAt time.Time
	// round is the number of the last heartbeat round for reads.
	round uint64
	// transferTarget is the voter to which the leadership is being transferred, the zero
	// Node if there is none.
	transferTarget   zinniasill.Node
	transferDeadline time.Time
}

// follower is the replication progress of a follower or learner, as known to the leader.
type follower struct {
	// match is the last index up to which the logs are known to be equal, next the
	// index of the first entry to send.
	match Index
	next  Index
	// probing is set until the follower has accepted an Append, and again after each
	// rejection. While probing, next is not advanced before an acknowledgement.
	probing      bool
	sendPending  bool
	lastReceived time.Time
	round        uint64
	// probedAt is when entries were last sent while probing, zero if a reply was
	// received since. The entries are not resent within a heartbeat interval.
	probedAt time.Time
	// snapshotAt is when a snapshot was last sent, zero if no reply to one is pending.
	snapshotAt time.Time
}

// syncFollowers updates the followers to the membership in effect. It is called after an
// entry was appended, which is the first entry that is sent to new followers.
func (r *Replica) syncFollowers() {
	known := r.leading.followers
	r.leading.followers = map[zinniasill.Node]*follower{}
	for _, peer := range r.membership().peers(r.self) {
		f, ok := known[peer.Node()]
		if !ok {
			f = &follower{next: r.log.last(), probing: true, lastReceived: r.now, sendPending: true}
		}
		r.leading.followers[peer.Node()] = f
	}
}

// tickLeader handles timeouts and heartbeats of a leader.
func (r *Replica) tickLeader() {
	if !r.quorumActive() {
		r.becomeFollower(r.hard.Term, zinniasill.Node{})
		return
	}
	if r.leading.transferTarget != (zinniasill.Node{}) && !r.now.Before(r.leading.transferDeadline) {
		r.leading.transferTarget = zinniasill.Node{}
	}
	if !r.now.Before(r.leading.heartbeatAt) {
		r.leading.sendAll = true
	}
	r.repairMembership()
}

// quorumActive reports whether a quorum of the voters is active. A leader without one steps
// down and thereby stops its heartbeats, so that followers that still receive them elect
// another leader.
func (r *Replica) quorumActive() bool {
	voters := r.membership().Voters
	active := 0
	for _, voter := range voters {
		if voter.Node() == r.self || r.isActive(voter.Node()) {
			active++
		}
	}
	return active >= r.quorum(len(voters))
}

// isActive reports whether node was added or replied within the maximum election
// timeout.
func (r *Replica) isActive(node zinniasill.Node) bool {
	f, ok := r.leading.followers[node]
	return ok && r.now.Sub(f.lastReceived) < r.cfg.MaxElectionTimeout
}

// flush sends pending entries and heartbeats to the followers, or pending reads to the
// leader. It is called once per Ready, so that proposals and reads are batched.
func (r *Replica) flush() {
	if r.role != Leader {
		r.sendReads()
		return
	}
	r.startReadRound()
	for _, peer := range r.membership().peers(r.self) {
		f, ok := r.leading.followers[peer.Node()]
		if ok && (f.sendPending || r.leading.sendAll) {
			f.sendPending = false
			r.sendAppend(peer.Node(), f)
		}
	}
	if r.leading.sendAll {
		r.leading.sendAll = false
		r.leading.heartbeatAt = r.now.Add(r.cfg.HeartbeatInterval)
	}
}

func (r *Replica) sendAppend(to zinniasill.Node, f *follower) {
	req := Append{Term: r.hard.Term, Commit: min(r.commit, f.match), Round: r.leading.round}
	if f.next <= r.log.baseIndex {
		r.sendSnapshot(to, f, req)
		return
	}
	req.PrevIndex = f.next - 1
	req.PrevTerm, _ = r.log.term(req.PrevIndex)
	req.Commit = r.commit
	probed := f.probing && !f.probedAt.IsZero() && r.now.Sub(f.probedAt) < r.cfg.HeartbeatInterval
	if f.next <= r.log.last() && !probed {
		req.Entries = r.log.batch(f.next, r.cfg.MaxBatchEntries, r.cfg.MaxBatchBytes)
		r.recordSent(f, len(req.Entries))
	}
	r.sendBeforePersisted(to, req)
}

// recordSent records that a number of entries from f.next on were sent.
func (r *Replica) recordSent(f *follower, entries int) {
	if f.probing {
		f.probedAt = r.now
		return
	}
	f.next += Index(entries)
	f.sendPending = f.next <= r.log.last()
}

// sendSnapshot sends the snapshot, or a heartbeat while the reply to an earlier snapshot
// is pending.
func (r *Replica) sendSnapshot(to zinniasill.Node, f *follower, heartbeat Append) {
	if !f.snapshotAt.IsZero() && r.now.Sub(f.snapshotAt) < r.cfg.MaxElectionTimeout {
		r.sendBeforePersisted(to, heartbeat)
		return
	}
	f.snapshotAt = r.now
	r.sendBeforePersisted(to, InstallSnapshot{Term: r.hard.Term, Snapshot: *r.snapshot, Round: r.leading.round})
}

// followLeader accepts a node as the leader of term and resets the election timeout.
func (r *Replica) followLeader(term Term, from zinniasill.Node) {
	r.becomeFollower(term, from)
	r.lastReceived = r.now
	r.resetDeadline()
}

func (r *Replica) onAppend(from zinniasill.Node, req Append) {
	if req.Term < r.hard.Term {
		r.send(from, AppendReply{Term: r.hard.Term, Match: r.commit})
		return
	}
	r.followLeader(req.Term, from)
	matched, ok := r.acceptEntries(req)
	if ok {
		r.commit = max(r.commit, min(req.Commit, matched))
	}
	r.send(from, AppendReply{Term: r.hard.Term, OK: ok, Round: req.Round, Match: matched})
}

// acceptEntries appends the entries of an Append. It returns the last index up to which the
// log matches the leader's, or false and the index at which the leader should retry.
func (r *Replica) acceptEntries(req Append) (Index, bool) {
	entries := req.Entries
	prev, prevTerm := req.PrevIndex, req.PrevTerm
	if prev < r.log.baseIndex {
		covered := min(int(r.log.baseIndex-prev), len(entries))
		entries = entries[covered:]
		prev, prevTerm = r.log.baseIndex, r.log.baseTerm
	}
	term, known := r.log.term(prev)
	if !known || term != prevTerm {
		return r.log.conflictHint(prev), false
	}
	for i := range entries {
		own, present := r.log.term(entries[i].Index)
		if present && own == entries[i].Term {
			continue
		}
		if present && entries[i].Index <= r.commit {
			r.fault = eris.Errorf("consensus: append of term %d would replace committed entry %d of term %d with one of term %d",
				req.Term, entries[i].Index, own, entries[i].Term)
			r.out.statusDirty = true
			return r.commit, false
		}
		if present {
			r.truncate(entries[i].Index - 1)
		}
		r.add(entries[i])
	}
	return prev + Index(len(entries)), true
}

func (r *Replica) onAppendReply(from zinniasill.Node, reply AppendReply) {
	if reply.Term > r.hard.Term {
		r.becomeFollower(reply.Term, zinniasill.Node{})
		return
	}
	f, ok := r.leading.followers[from]
	if r.role != Leader || reply.Term != r.hard.Term || !ok {
		return
	}
	f.lastReceived = r.now
	f.round = max(f.round, reply.Round)
	f.probedAt = time.Time{}
	if !reply.OK {
		f.next = max(f.match+1, min(f.next-1, reply.Match+1))
		f.probing = true
		f.sendPending = true
		r.confirmReads()
		return
	}
	f.probing = false
	f.match = max(f.match, reply.Match)
	f.next = max(f.next, f.match+1)
	if f.match > r.log.baseIndex {
		f.snapshotAt = time.Time{}
	}
	f.sendPending = f.sendPending || f.next <= r.log.last()
	r.advanceCommit()
	r.confirmReads()
	if r.role == Leader {
		r.repairMembership()
		r.continueTransfer()
	}
}

// advanceCommit commits the entries that are durable at a quorum of voters, and completes
// the proposals that waited for them. A leader that is no longer a voter steps down.
func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	index := r.quorumIndex()
	term, ok := r.log.term(index)
	if index <= r.commit || !ok || term != r.hard.Term {
		return
	}
	r.commit = index
	r.leading.sendAll = true
	r.commitProposals()
	if r.membershipIndex() <= r.commit && !r.membership().IsVoter(r.self) {
		r.flush()
		r.becomeFollower(r.hard.Term, zinniasill.Node{})
	}
}

// quorumIndex returns the highest index that is durable at a quorum of voters.
func (r *Replica) quorumIndex() Index {
	voters := r.membership().Voters
	if len(voters) == 0 {
		return 0
	}
	matches := make([]Index, 0, len(voters))
	for _, voter := range voters {
		if voter.Node() == r.self {
			matches = append(matches, r.log.stable)
		} else if f, ok := r.leading.followers[voter.Node()]; ok {
			matches = append(matches, f.match)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-r.quorum(len(voters))]
}
