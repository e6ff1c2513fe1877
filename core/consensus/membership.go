package consensus

import (
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// Errors of membership changes.
var (
	ErrNotLeader     = eris.New("this replica is not the leader")
	ErrChangePending = eris.New("another membership change is not yet committed")
	ErrUnknownMember = eris.New("no member has this name")
	ErrKnownMember   = eris.New("a member with this name already exists")
	ErrLastVoter     = eris.New("the last voter cannot be removed")
	ErrInvalidMember = eris.New("the name or address of the member is empty, too long or not valid UTF-8")
)

// Admit allows a replica with a new name to join. The replica becomes a voter
// automatically once it has sent a JoinRequest and caught up with the log. The instance of
// member is not used.
func (r *Replica) Admit(now time.Time, member Member) error {
	r.advance(now)
	if !member.valid() {
		return ErrInvalidMember
	}
	if err := r.checkChange(); err != nil {
		return err
	}
	if r.membership().HasName(member.Name) {
		return ErrKnownMember
	}
	next := r.sizedMembership().withLearner(Member{Name: member.Name, Address: member.Address})
	next.Size++
	r.changeMembership(next)
	return nil
}

// sizedMembership returns the membership in effect with its size, which logs of earlier
// versions do not have.
func (r *Replica) sizedMembership() Membership {
	current := r.membership()
	if current.Size == 0 {
		current.Size = len(current.Voters)
	}
	return current
}

// Remove removes all instances of a name from the membership. The cluster is meant to have
// one replica fewer from then on, unless it had a surplus.
func (r *Replica) Remove(now time.Time, name zinniasill.NodeID) error {
	r.advance(now)
	if err := r.checkChange(); err != nil {
		return err
	}
	current := r.sizedMembership()
	if !current.HasName(name) {
		return ErrUnknownMember
	}
	next := current.withoutVoter(name)
	if len(next.Voters) == 0 {
		return ErrLastVoter
	}
	next.Learners = without(next.Learners, name)
	next.Size = min(next.Size, len(next.Voters)+len(next.Learners))
	r.changeMembership(next)
	return nil
}

// checkChange returns an error if no membership change may start now. Consecutive changes
// of a single voter have overlapping quorums only if the previous change is committed and
// the leader has committed an entry of its term.
func (r *Replica) checkChange() error {
	switch {
	case !r.acceptsProposals():
		return ErrNotLeader
	case r.membershipIndex() > r.commit || r.commit < r.leading.firstIndex:
		return ErrChangePending
	default:
		return nil
	}
}

// changeMembership appends an entry with the next membership, which takes effect at once.
func (r *Replica) changeMembership(next Membership) {
	r.add(Entry{
		Index: r.log.last() + 1, Term: r.hard.Term, Kind: KindMembership, Membership: &next,
	})
	r.syncFollowers()
	r.leading.sendAll = true
}

// onJoinRequest makes a replica a learner if its name was admitted, or if it replaces a
// member that lost its disk. In an open cluster it also accepts new names.
func (r *Replica) onJoinRequest(from zinniasill.Node, cluster zinniasill.ClusterID, req JoinRequest) {
	otherCluster := cluster != "" && cluster != r.hard.Cluster
	if otherCluster || !r.validJoinSender(from, req) {
		return
	}
	if r.role != Leader {
		r.forwardJoin(req)
		return
	}
	from = req.Member.Node()
	current := r.sizedMembership()
	if current.IsVoter(from) || current.IsLearner(from) {
		r.send(from, JoinReply{Cluster: r.hard.Cluster})
		return
	}
	if !current.HasName(from.ID) && !r.cfg.Open {
		r.send(from, JoinReply{Cluster: r.hard.Cluster, Refusal: RefusalUnknownName})
		return
	}
	if at := indexName(current.Voters, from.ID); at >= 0 && r.isAlive(current.Voters[at].Node()) {
		r.send(from, JoinReply{Cluster: r.hard.Cluster, Refusal: RefusalInstanceAlive})
		return
	}
	if r.checkChange() != nil {
		return
	}
	next := current.withLearner(req.Member)
	if req.FirstStart && !current.HasName(from.ID) {
		next.Size++
	}
	r.changeMembership(next)
}

// validJoinSender reports whether a request was sent by the replica that wants to join, or
// was forwarded by a member of an open cluster.
func (r *Replica) validJoinSender(from zinniasill.Node, req JoinRequest) bool {
	if !req.Member.valid() {
		return false
	}
	if req.Forwarded {
		return r.cfg.Open && r.membership().HasName(from.ID)
	}
	return req.Member.Node() == from
}

// forwardJoin forwards a request to the leader in an open cluster. This lets a replica
// join that does not list the leader in its settings or is not listed there.
func (r *Replica) forwardJoin(req JoinRequest) {
	if r.cfg.Open && !req.Forwarded && r.hard.Cluster != "" && r.leader.ID != "" {
		req.Forwarded = true
		r.send(r.leader, req)
	}
}

// isAlive reports whether a member is this replica or active. It is valid at the leader.
func (r *Replica) isAlive(node zinniasill.Node) bool {
	return node == r.self || r.isActive(node)
}

func (r *Replica) onJoinReply(from zinniasill.Node, reply JoinReply) {
	listed := r.cfg.Open || indexName(r.cfg.Peers, from.ID) >= 0
	otherCluster := r.hard.Cluster != "" && r.hard.Cluster != reply.Cluster
	if !listed || otherCluster || reply.Cluster == "" {
		return
	}
	r.setObstacle(string(reply.Refusal))
	if reply.Refusal == "" && r.hard.Cluster == "" {
		r.joinCluster(reply.Cluster)
	}
}

// sendJoinRequest sends a JoinRequest to all listed peers and to the members that are known
// from the log, since the listed ones may all have been replaced.
func (r *Replica) sendJoinRequest() {
	request := JoinRequest{Member: r.cfg.Self, FirstStart: r.cfg.FirstStart && r.hard.Cluster == ""}
	for _, peer := range r.cfg.Peers {
		if peer.Name != r.self.ID {
			r.send(zinniasill.Node{ID: peer.Name}, request)
		}
	}
	for _, member := range r.membership().peers(r.self) {
		if indexName(r.cfg.Peers, member.Name) < 0 {
			r.send(member.Node(), request)
		}
	}
}

// requestReturn sends a JoinRequest from a voter without a leader. If it was removed while it
// was taken for gone, the others do not send to it and do not vote for it.
func (r *Replica) requestReturn() {
	if r.cfg.Open && r.leader.ID == "" {
		r.sendJoinRequest()
	}
}

// repairMembership starts the next membership change that is due. Each change waits until
// the previous one is committed.
func (r *Replica) repairMembership() {
	if r.checkChange() != nil || r.promoteLearner() {
		return
	}
	r.removeSurplus()
}

// promoteLearner promotes a learner that has caught up. If it replaces a voter that lost its
// disk, the old instance is removed first. It reports whether it has changed the membership.
func (r *Replica) promoteLearner() bool {
	current := r.membership()
	for _, learner := range current.Learners {
		f, ok := r.leading.followers[learner.Node()]
		if !ok || f.probing || f.match < r.commit || !r.isActive(learner.Node()) {
			continue
		}
		at := indexName(current.Voters, learner.Name)
		if at < 0 {
			r.changeMembership(current.withVoter(learner))
			return true
		}
		next := current.withoutVoter(learner.Name)
		if !r.isAlive(current.Voters[at].Node()) && r.quorumAlive(next) {
			r.changeMembership(next)
			return true
		}
	}
	return false
}

// removeSurplus removes the voter that has been silent for the longest time if there are more
// voters than the cluster is meant to have. Without a surplus, a voter that is down stays:
// each entry would be on fewer disks.
func (r *Replica) removeSurplus() {
	current := r.membership()
	if current.surplus() == 0 {
		return
	}
	var gone zinniasill.NodeID
	oldest := r.now.Add(-r.cfg.RemovalTimeout)
	for _, voter := range current.Voters {
		f, ok := r.leading.followers[voter.Node()]
		if ok && f.lastReceived.Before(oldest) {
			gone, oldest = voter.Name, f.lastReceived
		}
	}
	if next := current.withoutVoter(gone); gone != "" && r.quorumAlive(next) {
		r.changeMembership(next)
	}
}

// quorumAlive reports whether a quorum of the voters in m is alive, so that the change to
// m can be committed.
func (r *Replica) quorumAlive(m Membership) bool {
	alive := 0
	for _, voter := range m.Voters {
		if r.isAlive(voter.Node()) {
			alive++
		}
	}
	return len(m.Voters) > 0 && alive >= r.quorum(len(m.Voters))
}
