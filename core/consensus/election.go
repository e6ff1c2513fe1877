package consensus

import (
	"time"

	"zinniasill"
)

// startPreVote asks the voters whether they would vote for this replica, without
// increasing the term.
func (r *Replica) startPreVote() {
	r.becomeFollower(r.hard.Term, zinniasill.Node{})
	r.role = PreCandidate
	r.out.statusDirty = true
	r.votes = map[zinniasill.Node]bool{r.self: true}
	if r.hasVoteQuorum() {
		r.campaign(false)
		return
	}
	r.sendVoters(PreVote{Term: r.hard.Term + 1, LastIndex: r.log.last(), LastTerm: r.log.lastTerm()})
}

// campaign starts an election in the next term. transfer is set if the leader requested
// it.
func (r *Replica) campaign(transfer bool) {
	r.becomeFollower(r.hard.Term+1, zinniasill.Node{})
	r.role = Candidate
	r.hard.Vote = r.self
	r.out.hardDirty = true
	r.out.statusDirty = true
	r.votes = map[zinniasill.Node]bool{r.self: true}
	r.resetDeadline()
	if r.hasVoteQuorum() {
		r.becomeLeader()
		return
	}
	r.sendVoters(Vote{
		Term: r.hard.Term, LastIndex: r.log.last(), LastTerm: r.log.lastTerm(), Transfer: transfer,
	})
}

// sendVoters sends a message to all other voters.
func (r *Replica) sendVoters(body any) {
	for _, voter := range r.membership().Voters {
		if voter.Node() != r.self {
			r.send(voter.Node(), body)
		}
	}
}

// hasVoteQuorum reports whether a quorum of the current voters has granted its vote or
// pre-vote to this replica.
func (r *Replica) hasVoteQuorum() bool {
	voters := r.membership().Voters
	granted := 0
	for _, voter := range voters {
		if r.votes[voter.Node()] {
			granted++
		}
	}
	return granted >= r.quorum(len(voters))
}

// leaderAlive reports whether this replica leads or has received a message from the
// leader within the minimum election timeout. If so, it refuses pre-votes and votes, so
// that a replica that receives nothing from the leader cannot replace it.
func (r *Replica) leaderAlive() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != zinniasill.Node{} && r.now.Sub(r.lastReceived) < r.cfg.MinElectionTimeout
}

// upToDate reports whether a log with the given last entry is at least as up to date as
// the log of this replica.
func (r *Replica) upToDate(lastTerm Term, last Index) bool {
	ownTerm := r.log.lastTerm()
	return lastTerm > ownTerm || lastTerm == ownTerm && last >= r.log.last()
}

func (r *Replica) onPreVote(from zinniasill.Node, req PreVote) {
	granted := req.Term > r.hard.Term && !r.leaderAlive() && r.upToDate(req.LastTerm, req.LastIndex)
	term := r.hard.Term
	if granted {
		term = req.Term
		r.yieldElection(from)
	}
	r.send(from, PreVoteReply{Term: term, Granted: granted})
}

// yieldElection delays an election of this replica in favor of a replica that it granted
// a pre-vote. After a restart of all replicas, simultaneous elections would otherwise
// split the votes. Of two simultaneous pre-candidates, the one with the lower id
// continues.
func (r *Replica) yieldElection(other zinniasill.Node) {
	switch {
	case r.role == Follower:
		r.resetDeadline()
	case r.role == PreCandidate && other.Compare(r.self) < 0:
		r.becomeFollower(r.hard.Term, zinniasill.Node{})
		r.resetDeadline()
	}
}

func (r *Replica) onPreVoteReply(from zinniasill.Node, reply PreVoteReply) {
	if !reply.Granted {
		if reply.Term > r.hard.Term {
			r.becomeFollower(reply.Term, zinniasill.Node{})
		}
		return
	}
	if r.role != PreCandidate || reply.Term != r.hard.Term+1 {
		return
	}
	r.votes[from] = true
	if r.hasVoteQuorum() {
		r.campaign(false)
	}
}

func (r *Replica) onVote(from zinniasill.Node, req Vote) {
	if req.Term > r.hard.Term {
		if r.leaderAlive() && !req.Transfer {
			return
		}
		r.becomeFollower(req.Term, zinniasill.Node{})
	}
	canVote := r.hard.Vote == zinniasill.Node{} || r.hard.Vote == from
	granted := req.Term == r.hard.Term && canVote && r.role != Leader && r.upToDate(req.LastTerm, req.LastIndex)
	if granted && r.hard.Vote != from {
		r.hard.Vote = from
		r.out.hardDirty = true
		r.resetDeadline()
	}
	r.send(from, VoteReply{Term: r.hard.Term, Granted: granted})
}

func (r *Replica) onVoteReply(from zinniasill.Node, reply VoteReply) {
	if reply.Term > r.hard.Term {
		r.becomeFollower(reply.Term, zinniasill.Node{})
		return
	}
	if r.role != Candidate || reply.Term != r.hard.Term || !reply.Granted {
		return
	}
	r.votes[from] = true
	if r.hasVoteQuorum() {
		r.becomeLeader()
	}
}

// becomeLeader makes this replica the leader of the current term. It appends an empty
// entry, because entries of earlier terms can be committed only together with an entry of
// the current term.
func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.self
	r.votes = nil
	r.out.statusDirty = true
	r.leading = leadership{
		firstIndex: r.log.last() + 1,
		followers:  map[zinniasill.Node]*follower{},
	}
	r.add(Entry{Index: r.log.last() + 1, Term: r.hard.Term, Kind: KindEmpty})
	r.syncFollowers()
	r.leading.sendAll = true
}

// Transfer transfers the leadership to the voter called name, or to the most up-to-date
// voter if name is empty. Proposals are refused until the transfer is complete or the
// maximum election timeout has passed. Transfer returns false if this replica is not the
// leader or name is not another active voter.
func (r *Replica) Transfer(now time.Time, name zinniasill.NodeID) bool {
	r.advance(now)
	voters := r.membership().Voters
	if name == "" {
		name = r.mostUpToDateVoter()
	}
	at := indexName(voters, name)
	if r.role != Leader || at < 0 || !r.isActive(voters[at].Node()) {
		return false
	}
	r.leading.transferTarget = voters[at].Node()
	r.leading.transferDeadline = now.Add(r.cfg.MaxElectionTimeout)
	r.continueTransfer()
	return true
}

// mostUpToDateVoter returns the active voter whose log matches the leader's furthest.
func (r *Replica) mostUpToDateVoter() zinniasill.NodeID {
	var name zinniasill.NodeID
	var best Index
	for _, voter := range r.membership().Voters {
		f, ok := r.leading.followers[voter.Node()]
		if ok && r.isActive(voter.Node()) && f.match > best {
			name, best = voter.Name, f.match
		}
	}
	return name
}

// continueTransfer sends TimeoutNow to the transfer target once it has the whole log.
func (r *Replica) continueTransfer() {
	transferTarget, ok := r.leading.followers[r.leading.transferTarget]
	if !ok {
		return
	}
	if transferTarget.match == r.log.last() {
		r.send(r.leading.transferTarget, TimeoutNow{Term: r.hard.Term})
	}
}

func (r *Replica) onTimeoutNow(from zinniasill.Node, req TimeoutNow) {
	if req.Term == r.hard.Term && r.leader == from && r.membership().IsVoter(r.self) {
		r.campaign(true)
	}
}
