package consensus

import (
	"fmt"

	"zinniasill"
)

// formation is the state of a replica that is configured to form a new cluster.
//
// A replica agrees to form a cluster once it knows the instance of every listed
// member. It makes the id of that cluster durable before it announces the agreement, and
// forms the cluster when all other members have agreed to the same id. It never agrees
// to a second id, so that the loss of some disks during or after the formation cannot
// lead to a second cluster.
type formation struct {
	// known are the listed members whose instances are known, including this replica.
	known []Member
	// agreed has the other members that agreed to the same cluster id.
	agreed map[zinniasill.NodeID]bool
	// clusterExists is set when a listed member belongs to a cluster. The replica then
	// sends join requests instead.
	clusterExists bool
	// obstacle is returned as Status.Obstacle.
	obstacle string
}

func (f *formation) init(cfg Config) {
	f.known = []Member{cfg.Self}
	f.agreed = map[zinniasill.NodeID]bool{}
}

// addMember records a member, and replaces an earlier instance of the same name.
func (f *formation) addMember(member Member) {
	f.known = append(without(f.known, member.Name), member)
}

func (r *Replica) setObstacle(obstacle string) {
	if r.forming.obstacle != obstacle {
		r.forming.obstacle = obstacle
		r.out.statusDirty = true
	}
}

// sendHello sends a Hello to all other listed members.
func (r *Replica) sendHello() {
	r.agree()
	for _, peer := range r.cfg.Peers {
		if peer.Name != r.self.ID {
			r.send(zinniasill.Node{ID: peer.Name}, r.hello(false))
		}
	}
}

func (r *Replica) hello(reply bool) Hello {
	return Hello{
		Member:  r.cfg.Self,
		Cluster: r.hard.Cluster,
		Forming: r.isForming(),
		Agreed:  r.hard.Agreed,
		Reply:   reply,
	}
}

// isForming reports whether this replica takes part in forming a new cluster.
func (r *Replica) isForming() bool {
	return r.hard.Cluster == "" && r.cfg.NewCluster && !r.forming.clusterExists
}

func (r *Replica) onHello(from zinniasill.Node, hello Hello) {
	if hello.Member.Node() != from || !hello.Member.valid() || indexName(r.cfg.Peers, from.ID) < 0 {
		return
	}
	if r.isForming() {
		r.updateFormation(hello)
	}
	if !hello.Reply {
		r.send(from, r.hello(true))
	}
}

// updateFormation updates the formation with the Hello of another member.
func (r *Replica) updateFormation(hello Hello) {
	name := hello.Member.Name
	switch {
	case hello.Cluster != "" && hello.Cluster == r.hard.Agreed:
		r.completeFormation()
		return
	case hello.Cluster != "":
		r.forming.clusterExists = true
		r.setObstacle(fmt.Sprintf("member %q belongs to cluster %s", name, hello.Cluster))
		return
	case !hello.Forming:
		r.setObstacle(fmt.Sprintf("member %q was not told to form a new cluster", name))
		return
	default:
		r.forming.addMember(hello.Member)
		r.forming.agreed[name] = hello.Agreed != "" && hello.Agreed == r.hard.Agreed
	}
	r.agree()
	if hello.Agreed != "" && r.hard.Agreed != "" && hello.Agreed != r.hard.Agreed {
		r.setObstacle(fmt.Sprintf("member %q agreed to form a cluster of other members or instances", name))
	}
}

// agree agrees to form a cluster once all members are known, and forms it once all others
// have agreed.
func (r *Replica) agree() {
	if len(r.forming.known) < len(r.cfg.Peers) {
		return
	}
	id := clusterID(r.forming.known)
	if r.hard.Agreed == "" {
		r.hard.Agreed = id
		r.out.hardDirty = true
		r.deadline = r.now
	}
	if r.hard.Agreed != id {
		r.setObstacle("a member changed its instance or address after the members agreed to form a cluster")
		return
	}
	for _, peer := range r.cfg.Peers {
		if peer.Name != r.self.ID && !r.forming.agreed[peer.Name] {
			return
		}
	}
	r.form()
}

// completeFormation completes the formation after another member has done so, which
// proves that all members agreed. A replica that does not know all members, since it
// restarted, joins the cluster and receives the first entry from the leader.
func (r *Replica) completeFormation() {
	if clusterID(r.forming.known) == r.hard.Agreed {
		r.form()
		return
	}
	r.joinCluster(r.hard.Agreed)
}

// joinCluster assigns this replica, which has no log, to a cluster.
func (r *Replica) joinCluster(cluster zinniasill.ClusterID) {
	r.hard.Cluster = cluster
	r.out.hardDirty = true
	r.out.statusDirty = true
}

// form appends the first entry of the log, which is identical at all members.
func (r *Replica) form() {
	voters := append([]Member(nil), r.forming.known...)
	sortMembers(voters)
	r.hard.Cluster = r.hard.Agreed
	r.setTerm(1)
	r.add(Entry{Index: 1, Term: 1, Kind: KindMembership, Membership: &Membership{Voters: voters, Size: len(voters)}})
	r.setObstacle("")
	r.out.statusDirty = true
	r.resetDeadline()
}
