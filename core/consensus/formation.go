package consensus

import (
	"fmt"

	"zinniasill"
)

// formation is the state of a replica that is to form a new cluster.
//
// A replica agrees to form a cluster once it knows the instance of every listed
// member, and writes the id of that cluster to its disk before it says so. It
// forms the cluster when all others have agreed to the same id. A replica that
// agreed never agrees to another id, so that the loss of some disks during or
// after the formation cannot lead to a second cluster.
type formation struct {
	known  []Member
	agreed map[zinniasill.NodeID]bool
	// clusterSeen is set when a listed member belongs to a cluster. The replica
	// then asks to join.
	clusterSeen bool
	obstacle    string
}

func (f *formation) init(cfg Config) {
	f.known = []Member{cfg.Self}
	f.agreed = map[zinniasill.NodeID]bool{}
}

// learn records the instance of a member.
func (f *formation) learn(member Member) {
	f.known = append(without(f.known, member.Name), member)
}

func (r *Replica) setObstacle(obstacle string) {
	if r.forming.obstacle != obstacle {
		r.forming.obstacle = obstacle
		r.out.statusDirty = true
	}
}

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

func (r *Replica) isForming() bool {
	return r.hard.Cluster == "" && r.cfg.NewCluster && !r.forming.clusterSeen
}

func (r *Replica) onHello(from zinniasill.Node, hello Hello) {
	if hello.Member.Node() != from || indexName(r.cfg.Peers, from.ID) < 0 {
		return
	}
	if r.isForming() {
		r.considerHello(hello)
	}
	if !hello.Reply {
		r.send(from, r.hello(true))
	}
}

// considerHello uses what another member reports for the formation.
func (r *Replica) considerHello(hello Hello) {
	name := hello.Member.Name
	switch {
	case hello.Cluster != "" && hello.Cluster == r.hard.Agreed:
		r.followFormation()
		return
	case hello.Cluster != "":
		r.forming.clusterSeen = true
		r.setObstacle(fmt.Sprintf("member %q belongs to cluster %s", name, hello.Cluster))
		return
	case !hello.Forming:
		r.setObstacle(fmt.Sprintf("member %q was not told to form a new cluster", name))
		return
	default:
		r.forming.learn(hello.Member)
		r.forming.agreed[name] = hello.Agreed != "" && hello.Agreed == r.hard.Agreed
	}
	r.agree()
	if hello.Agreed != "" && r.hard.Agreed != "" && hello.Agreed != r.hard.Agreed {
		r.setObstacle(fmt.Sprintf("member %q agreed to form a cluster of other members or instances", name))
	}
}

// agree agrees to form the cluster of the known members, and forms it when all
// others have agreed.
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
		r.setObstacle("a member changed its instance or address after the cluster was agreed")
		return
	}
	for _, peer := range r.cfg.Peers {
		if peer.Name != r.self.ID && !r.forming.agreed[peer.Name] {
			return
		}
	}
	r.form()
}

// followFormation completes the formation after another member has done so, which
// proves that all had agreed. A replica that no longer knows all members gets the
// first entry from the leader.
func (r *Replica) followFormation() {
	if clusterID(r.forming.known) == r.hard.Agreed {
		r.form()
		return
	}
	r.joinCluster(r.hard.Agreed)
}

// joinCluster makes this replica, which has no log, belong to a cluster.
func (r *Replica) joinCluster(cluster zinniasill.ClusterID) {
	r.hard.Cluster = cluster
	r.out.hardDirty = true
	r.out.statusDirty = true
}

// form writes the first entry of the log, which is the same at all members.
func (r *Replica) form() {
	voters := append([]Member(nil), r.forming.known...)
	sortMembers(voters)
	r.hard.Cluster = r.hard.Agreed
	r.setTerm(1)
	r.add(Entry{Index: 1, Term: 1, Kind: KindMembership, Membership: &Membership{Voters: voters}})
	r.setObstacle("")
	r.out.statusDirty = true
	r.resetDeadline()
}
