package consensus

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// leadership is the state of a leader.
type leadership struct {
	// first is the empty entry that the leader wrote when it was elected.
	first     Index
	followers map[zinniasill.Node]*follower
	// sendDue is set when all followers are to get a message.
	sendDue     bool
	heartbeatAt time.Time
	// round numbers the quorum rounds for reads.
	round uint64
	// target is the replica that leadership is being transferred to.
	target      zinniasill.Node
	transferEnd time.Time
}

// follower is what a leader knows of another replica.
type follower struct {
	match Index
	next  Index
	// probing is set until the follower has accepted a message, and after each
	// rejection. While probing, next does not run ahead of acknowledgements.
	probing bool
	due     bool
	heard   time.Time
	round   uint64
	// probedAt is when entries were last sent while probing, zero if an answer came
	// since. The same entries are not sent again within a heartbeat.
	probedAt time.Time
	// snapshotAt is when a snapshot was last sent, zero if none is awaited.
	snapshotAt time.Time
}

// syncFollowers makes the followers those of the membership in force. It is called
// after an entry was added; new followers are first offered that entry.
func (r *Replica) syncFollowers() {
	known := r.leading.followers
	r.leading.followers = map[zinniasill.Node]*follower{}
	for _, peer := range r.membership().peers(r.self) {
		f, ok := known[peer.Node()]
		if !ok {
			f = &follower{next: r.log.last(), probing: true, heard: r.now, due: true}
		}
		r.leading.followers[peer.Node()] = f
	}
}

func (r *Replica) tickLeader() {
	if !r.quorumHeard() {
		r.becomeFollower(r.hard.Term, zinniasill.Node{})
		return
	}
	if r.leading.target != (zinniasill.Node{}) && !r.now.Before(r.leading.transferEnd) {
		r.leading.target = zinniasill.Node{}
	}
	if !r.now.Before(r.leading.heartbeatAt) {
		r.leading.sendDue = true
	}
	r.repairMembership()
}

// quorumHeard reports whether a quorum answered within the longest election
// timeout. A leader that hears nobody stops its heartbeats, so that followers
// that still hear it elect another one.
func (r *Replica) quorumHeard() bool {
	voters := r.membership().Voters
	heard := 0
	for _, voter := range voters {
		if voter.Node() == r.self || r.isActive(voter.Node()) {
			heard++
		}
	}
	return heard >= r.quorum(len(voters))
}

func (r *Replica) isActive(node zinniasill.Node) bool {
	f, ok := r.leading.followers[node]
	return ok && r.now.Sub(f.heard) < r.cfg.MaxElectionTimeout
}

// flush sends what is due to the followers, or reads to the leader. It is called
// once for all inputs since the last Ready, so that proposals and reads are batched.
func (r *Replica) flush() {
	if r.role != Leader {
		r.sendReads()
		return
	}
	r.startReadRound()
	for _, peer := range r.membership().peers(r.self) {
		f, ok := r.leading.followers[peer.Node()]
		if ok && (f.due || r.leading.sendDue) {
			f.due = false
			r.sendAppend(peer.Node(), f)
		}
	}
	if r.leading.sendDue {
		r.leading.sendDue = false
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
		r.noteSent(f, len(req.Entries))
	}
	r.sendEarly(to, req)
}

// noteSent records that entries from f.next on were sent.
func (r *Replica) noteSent(f *follower, entries int) {
	if f.probing {
		f.probedAt = r.now
		return
	}
	f.next += Index(entries)
	f.due = f.next <= r.log.last()
}

// sendSnapshot sends the snapshot, or a heartbeat while the answer to the last
// one is awaited.
func (r *Replica) sendSnapshot(to zinniasill.Node, f *follower, heartbeat Append) {
	if !f.snapshotAt.IsZero() && r.now.Sub(f.snapshotAt) < r.cfg.MaxElectionTimeout {
		r.sendEarly(to, heartbeat)
		return
	}
	f.snapshotAt = r.now
	r.sendEarly(to, InstallSnapshot{Term: r.hard.Term, Snapshot: *r.snapshot, Round: r.leading.round})
}

// followLeader accepts from as leader of term.
func (r *Replica) followLeader(term Term, from zinniasill.Node) {
	r.becomeFollower(term, from)
	r.heard = r.now
	r.resetDeadline()
}

func (r *Replica) onAppend(from zinniasill.Node, req Append) {
	if req.Term < r.hard.Term {
		r.send(from, AppendReply{Term: r.hard.Term, Match: r.commit})
		return
	}
	r.followLeader(req.Term, from)
	matched, ok := r.accept(req)
	if ok {
		r.commit = max(r.commit, min(req.Commit, matched))
	}
	r.send(from, AppendReply{Term: r.hard.Term, OK: ok, Round: req.Round, Match: matched})
}

// accept takes over the entries of an Append. It returns the last index known to
// equal the leader's log, or false and the index from which to try again.
func (r *Replica) accept(req Append) (Index, bool) {
	entries := req.Entries
	prev, prevTerm := req.PrevIndex, req.PrevTerm
	if prev < r.log.baseIndex {
		covered := min(int(r.log.baseIndex-prev), len(entries))
		entries = entries[covered:]
		prev, prevTerm = r.log.baseIndex, r.log.baseTerm
	}
	term, kept := r.log.term(prev)
	if !kept || term != prevTerm {
		return r.log.conflict(prev), false
	}
	for i := range entries {
		own, present := r.log.term(entries[i].Index)
		if present && own == entries[i].Term {
			continue
		}
		if present && entries[i].Index <= r.commit {
			r.fault = eris.Errorf("consensus: term %d replaces committed entry %d of term %d by one of term %d",
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
	f.heard = r.now
	f.round = max(f.round, reply.Round)
	f.probedAt = time.Time{}
	if !reply.OK {
		f.next = max(f.match+1, min(f.next-1, reply.Match+1))
		f.probing = true
		f.due = true
		r.confirmReads()
		return
	}
	f.probing = false
	f.match = max(f.match, reply.Match)
	f.next = max(f.next, f.match+1)
	if f.match > r.log.baseIndex {
		f.snapshotAt = time.Time{}
	}
	f.due = f.due || f.next <= r.log.last()
	r.advanceCommit()
	r.confirmReads()
	if r.role == Leader {
		r.repairMembership()
		r.continueTransfer()
	}
}

// advanceCommit commits the entries that are on the disks of a quorum of voters
// and carries on with what waited for them.
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
	r.leading.sendDue = true
	r.commitProposals()
	if r.membershipIndex() <= r.commit && !r.membership().IsVoter(r.self) {
		r.flush()
		r.becomeFollower(r.hard.Term, zinniasill.Node{})
	}
}

// quorumIndex returns the highest index that a quorum of voters has on disk.
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
