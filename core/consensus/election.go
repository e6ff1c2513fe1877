package consensus

import (
	"time"

	"zinniasill"
)

// startPreVote asks whether an election could succeed, without raising the term.
func (r *Replica) startPreVote() {
	r.becomeFollower(r.hard.Term, zinniasill.Node{})
	r.role = PreCandidate
	r.out.statusDirty = true
	r.votes = map[zinniasill.Node]bool{r.self: true}
	if r.hasVotes() {
		r.campaign(false)
		return
	}
	r.sendVoters(PreVote{Term: r.hard.Term + 1, LastIndex: r.log.last(), LastTerm: r.log.lastTerm()})
}

// campaign stands for election in the next term.
func (r *Replica) campaign(transfer bool) {
	r.becomeFollower(r.hard.Term+1, zinniasill.Node{})
	r.role = Candidate
	r.hard.Vote = r.self
	r.out.hardDirty = true
	r.out.statusDirty = true
	r.votes = map[zinniasill.Node]bool{r.self: true}
	r.resetDeadline()
	if r.hasVotes() {
		r.becomeLeader()
		return
	}
	r.sendVoters(Vote{
		Term: r.hard.Term, LastIndex: r.log.last(), LastTerm: r.log.lastTerm(), Transfer: transfer,
	})
}

func (r *Replica) sendVoters(body any) {
	for _, voter := range r.membership().Voters {
		if voter.Node() != r.self {
			r.send(voter.Node(), body)
		}
	}
}

// hasVotes reports whether a quorum of the voters in force has voted for this
// replica.
func (r *Replica) hasVotes() bool {
	voters := r.membership().Voters
	granted := 0
	for _, voter := range voters {
		if r.votes[voter.Node()] {
			granted++
		}
	}
	return granted >= r.quorum(len(voters))
}

// leaderAlive reports whether the leader was heard so recently that no election
// is due. It keeps a replica that cannot hear the leader from replacing it.
func (r *Replica) leaderAlive() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != zinniasill.Node{} && r.now.Sub(r.heard) < r.cfg.MinElectionTimeout
}

// upToDate reports whether a log with the given end has every entry that this
// replica may have acknowledged.
func (r *Replica) upToDate(lastTerm Term, last Index) bool {
	ownTerm := r.log.lastTerm()
	return lastTerm > ownTerm || lastTerm == ownTerm && last >= r.log.last()
}

func (r *Replica) onPreVote(from zinniasill.Node, req PreVote) {
	granted := req.Term > r.hard.Term && !r.leaderAlive() && r.upToDate(req.LastTerm, req.LastIndex)
	term := r.hard.Term
	if granted {
		term = req.Term
		r.makeWay(from)
	}
	r.send(from, PreVoteReply{Term: term, Granted: granted})
}

// makeWay lets a replica that may be elected go first. It answers a restart of all
// replicas, which would otherwise stand for election together and split the votes. Of
// two that ask at the same time, the one with the lower id goes on.
func (r *Replica) makeWay(other zinniasill.Node) {
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
	if r.hasVotes() {
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
	free := r.hard.Vote == zinniasill.Node{} || r.hard.Vote == from
	granted := req.Term == r.hard.Term && free && r.role != Leader && r.upToDate(req.LastTerm, req.LastIndex)
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
	if r.hasVotes() {
		r.becomeLeader()
	}
}

// becomeLeader starts to lead the current term with an empty entry, because
// entries of earlier terms are committed only together with one of this term.
func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.self
	r.votes = nil
	r.out.statusDirty = true
	r.leading = leadership{
		first:     r.log.last() + 1,
		followers: map[zinniasill.Node]*follower{},
	}
	r.add(Entry{Index: r.log.last() + 1, Term: r.hard.Term, Kind: KindEmpty})
	r.syncFollowers()
	r.leading.sendDue = true
}

// Transfer hands the leadership to the voter called name, or to the one that has
// most of the log if name is empty. Proposals are refused
// until it has taken over, or until the longest election timeout has passed. It
// returns false when this replica does not lead or name is no other voter that
// answers.
func (r *Replica) Transfer(now time.Time, name zinniasill.NodeID) bool {
	r.advance(now)
	voters := r.membership().Voters
	if name == "" {
		name = r.successor()
	}
	at := indexName(voters, name)
	if r.role != Leader || at < 0 || !r.isActive(voters[at].Node()) {
		return false
	}
	r.leading.target = voters[at].Node()
	r.leading.transferEnd = now.Add(r.cfg.MaxElectionTimeout)
	r.continueTransfer()
	return true
}

// successor returns the voter that answers and has most of the log.
func (r *Replica) successor() zinniasill.NodeID {
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

// continueTransfer asks the target to stand for election once it has the whole
// log.
func (r *Replica) continueTransfer() {
	target, ok := r.leading.followers[r.leading.target]
	if !ok {
		return
	}
	if target.match == r.log.last() {
		r.send(r.leading.target, TimeoutNow{Term: r.hard.Term})
	}
}

func (r *Replica) onTimeoutNow(from zinniasill.Node, req TimeoutNow) {
	if req.Term == r.hard.Term && r.leader == from && r.membership().IsVoter(r.self) {
		r.campaign(true)
	}
}
