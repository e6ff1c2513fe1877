package consensus

import (
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// Errors of membership changes.
var (
	ErrNotLeader     = eris.New("this replica does not lead")
	ErrChangePending = eris.New("another membership change is not yet committed")
	ErrUnknownMember = eris.New("no member has this name")
	ErrKnownMember   = eris.New("a member of this name exists")
	ErrLastVoter     = eris.New("the last voter cannot be removed")
)

// Admit lets a replica with a new name join. It becomes a voter by itself once
// it has asked to join and has caught up. The instance of member is not used.
func (r *Replica) Admit(now time.Time, member Member) error {
	r.advance(now)
	if err := r.checkChange(); err != nil {
		return err
	}
	if r.membership().HasName(member.Name) {
		return ErrKnownMember
	}
	r.changeMembership(r.membership().withLearner(Member{Name: member.Name, Address: member.Address}))
	return nil
}

// Remove removes all instances of a name from the membership.
func (r *Replica) Remove(now time.Time, name zinniasill.NodeID) error {
	r.advance(now)
	if err := r.checkChange(); err != nil {
		return err
	}
	current := r.membership()
	if !current.HasName(name) {
		return ErrUnknownMember
	}
	next := current.withoutVoter(name)
	if len(next.Voters) == 0 {
		return ErrLastVoter
	}
	next.Learners = without(next.Learners, name)
	r.changeMembership(next)
	return nil
}

// checkChange returns an error while no membership change may begin. Changes
// that add or remove one voter keep any two quorums overlapping only if the one
// before is committed, and if the leader has committed an entry of its term.
func (r *Replica) checkChange() error {
	switch {
	case !r.acceptsProposals():
		return ErrNotLeader
	case r.membershipIndex() > r.commit || r.commit < r.leading.first:
		return ErrChangePending
	default:
		return nil
	}
}

func (r *Replica) changeMembership(next Membership) {
	r.add(Entry{
		Index: r.log.last() + 1, Term: r.hard.Term, Kind: KindMembership, Membership: &next,
	})
	r.syncFollowers()
	r.leading.sendDue = true
}

// onJoinRequest makes a replica a learner if it takes the place of a member that has
// lost its disk, or of an admitted name; in an open group also under a new name.
func (r *Replica) onJoinRequest(from zinniasill.Node, cluster zinniasill.ClusterID, req JoinRequest) {
	foreign := cluster != "" && cluster != r.hard.Cluster
	if foreign || !r.mayAsk(from, req) {
		return
	}
	if r.role != Leader {
		r.forwardJoin(req)
		return
	}
	from = req.Member.Node()
	current := r.membership()
	if current.IsVoter(from) || current.IsLearner(from) {
		r.send(from, JoinReply{Cluster: r.hard.Cluster})
		return
	}
	if !current.HasName(from.ID) && !r.cfg.Open {
		r.send(from, JoinReply{Cluster: r.hard.Cluster, Refusal: RefusalUnknownName})
		return
	}
	if at := indexName(current.Voters, from.ID); at >= 0 && r.answers(current.Voters[at].Node()) {
		r.send(from, JoinReply{Cluster: r.hard.Cluster, Refusal: RefusalInstanceAlive})
		return
	}
	if r.checkChange() == nil {
		r.changeMembership(current.withLearner(req.Member))
	}
}

// mayAsk reports whether a request comes from the replica that it is for, or was passed
// on by a member.
func (r *Replica) mayAsk(from zinniasill.Node, req JoinRequest) bool {
	if req.Forwarded {
		return r.cfg.Open && r.membership().HasName(from.ID)
	}
	return req.Member.Node() == from
}

// forwardJoin passes a request on to the leader. A replica that is not listed in the
// leader's settings, or does not list the leader, reaches it in this way.
func (r *Replica) forwardJoin(req JoinRequest) {
	if r.cfg.Open && !req.Forwarded && r.hard.Cluster != "" && r.leader.ID != "" {
		req.Forwarded = true
		r.send(r.leader, req)
	}
}

func (r *Replica) answers(node zinniasill.Node) bool {
	return node == r.self || r.isActive(node)
}

func (r *Replica) onJoinReply(from zinniasill.Node, reply JoinReply) {
	listed := r.cfg.Open || indexName(r.cfg.Peers, from.ID) >= 0
	foreign := r.hard.Cluster != "" && r.hard.Cluster != reply.Cluster
	if !listed || foreign || reply.Cluster == "" {
		return
	}
	r.setObstacle(string(reply.Refusal))
	if reply.Refusal == "" && r.hard.Cluster == "" {
		r.joinCluster(reply.Cluster)
	}
}

func (r *Replica) sendJoinRequest() {
	for _, peer := range r.cfg.Peers {
		if peer.Name != r.self.ID {
			r.send(zinniasill.Node{ID: peer.Name}, JoinRequest{Member: r.cfg.Self})
		}
	}
}

// repairMembership takes the next step in replacing a voter that has lost its
// disk: it removes the old instance once the new one has caught up as a learner,
// then makes the new one a voter. Each step waits until the last is committed.
func (r *Replica) repairMembership() {
	if r.checkChange() != nil {
		return
	}
	current := r.membership()
	for _, learner := range current.Learners {
		f, ok := r.leading.followers[learner.Node()]
		if !ok || f.probing || f.match < r.commit || !r.isActive(learner.Node()) {
			continue
		}
		at := indexName(current.Voters, learner.Name)
		if at < 0 {
			r.changeMembership(current.withVoter(learner))
			return
		}
		next := current.withoutVoter(learner.Name)
		if !r.answers(current.Voters[at].Node()) && r.quorumAnswers(next) {
			r.changeMembership(next)
			return
		}
	}
}

// quorumAnswers reports whether a quorum of a membership was heard recently, so
// that it can commit the change that leads to it.
func (r *Replica) quorumAnswers(m Membership) bool {
	answering := 0
	for _, voter := range m.Voters {
		if r.answers(voter.Node()) {
			answering++
		}
	}
	return len(m.Voters) > 0 && answering >= r.quorum(len(m.Voters))
}
