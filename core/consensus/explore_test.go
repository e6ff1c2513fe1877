package consensus

import (
	"fmt"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/internal/explore"
)

// Next implements explore.State.
func (s *simulation) Next() []explore.Step {
	steps := append(s.deliveries(), s.messageLosses()...)
	for i, r := range s.replicas {
		steps = append(steps, s.localActions(i, r)...)
		steps = append(steps, s.crashActions(i, r)...)
	}
	return steps
}

// deliveries lists the deliveries of the first message, or of a later one while reordering
// is allowed, once or twice, with and without a crash of the receiver before its writes.
func (s *simulation) deliveries() []explore.Step {
	var steps []explore.Step
	for position, m := range s.network {
		if position > 0 && s.remaining.reorders == 0 {
			break
		}
		i := int(m.env.To.ID[0] - 'a')
		deliver := func(crash, duplicate bool) {
			to := s.with(i, crash, func(next *simulation, r *Replica) {
				if !duplicate {
					next.network = slices.Delete(next.network, position, position+1)
				}
				next.remaining.reorders -= count(position > 0 && s.remaining.reorders > 0)
				next.remaining.duplicates -= count(duplicate)
				next.remaining.crashes -= count(crash)
				r.Receive(modelTime, m.env)
			})
			if to != nil {
				name := fmt.Sprintf("deliver %s (crash %v, duplicate %v)", m.key, crash, duplicate)
				steps = append(steps, explore.Step{Name: name, To: to})
			}
		}
		deliver(false, false)
		if s.remaining.duplicates > 0 {
			deliver(false, true)
		}
		if s.remaining.crashes > 0 {
			deliver(true, false)
		}
	}
	return steps
}

// messageLosses lists losses of a message and blocked links.
func (s *simulation) messageLosses() []explore.Step {
	if len(s.network) == 0 || s.remaining.reorders == anyOrder {
		return nil
	}
	var steps []explore.Step
	first := s.network[0]
	if s.remaining.drops > 0 {
		next := *s
		next.remaining.drops--
		next.network = slices.Clone(s.network[1:])
		steps = append(steps, explore.Step{Name: "lose " + first.key, To: &next})
	}
	if s.remaining.blocks > 0 {
		next := *s
		next.remaining.blocks--
		next.blocked += link(first.env)
		next.network = slices.DeleteFunc(slices.Clone(s.network), func(m modelMessage) bool {
			return link(m.env) == link(first.env)
		})
		steps = append(steps, explore.Step{Name: "block " + link(first.env), To: &next})
	}
	return steps
}

// count returns 1 if b is true, else 0.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// localActions lists the actions of a replica that no message causes.
func (s *simulation) localActions(i int, r *Replica) []explore.Step {
	var steps []explore.Step
	add := func(possible bool, name string, do func(next *simulation, r *Replica)) {
		if possible {
			steps = append(steps, explore.Step{Name: fmt.Sprintf("%s at %v", name, r.self), To: s.with(i, false, do)})
		}
	}
	leads := r.role == Leader
	// The replicas are equivalent before the first election, so it is sufficient that
	// the same one always starts it.
	mayCampaign := !leads && s.remaining.elections > 0 && r.membership().IsVoter(r.self) && (i == 0 || s.electionStarted())
	add(mayCampaign, "election", func(next *simulation, r *Replica) {
		next.remaining.elections--
		if next.remaining.preVote {
			r.startPreVote()
		} else {
			r.campaign(false)
		}
	})
	add(leads && s.remaining.stepDowns > 0, "step down", func(next *simulation, r *Replica) {
		next.remaining.stepDowns--
		r.becomeFollower(r.hard.Term, zinniasill.Node{})
	})
	add(leads && s.remaining.proposals > 0, "propose", func(next *simulation, r *Replica) {
		r.Propose(modelTime, ProposalID(next.remaining.proposals), fmt.Appendf(nil, "p%d", next.remaining.proposals))
		next.remaining.proposals--
	})
	add(leads && s.remaining.resends > 0, "resend", func(next *simulation, r *Replica) {
		next.remaining.resends--
		r.leading.sendAll = true
		for _, f := range r.leading.followers {
			f.probedAt = time.Time{}
		}
		r.repairMembership()
	})
	add(r.leader != zinniasill.Node{} && s.remaining.reads > 0, "read", func(next *simulation, r *Replica) {
		id := ReadID(next.remaining.reads)
		next.remaining.reads--
		for index := range next.committed {
			next.minReadIndex[id] = max(next.minReadIndex[id], index)
		}
		r.ReadIndex(modelTime, id)
		if next.faults.unconfirmedReads && r.role == Leader && r.commit >= r.leading.firstIndex {
			r.out.reads = append(r.out.reads, ReadResult{ID: id, OK: true, Index: r.commit})
		}
	})
	nonVoter := !r.membership().IsVoter(r.self)
	add(nonVoter && s.remaining.resends > 0, "join", func(next *simulation, r *Replica) {
		next.remaining.resends--
		r.sendJoinRequest()
	})
	return steps
}

// electionStarted reports whether any election has started.
func (s *simulation) electionStarted() bool {
	return slices.ContainsFunc(s.replicas[:], func(r *Replica) bool { return r.hard.Term > 1 || r.role != Follower })
}

// crashActions lists crashes with and without loss of the disk.
func (s *simulation) crashActions(i int, r *Replica) []explore.Step {
	var steps []explore.Step
	if s.remaining.crashes > 0 {
		steps = append(steps, explore.Step{
			Name: fmt.Sprintf("crash of %v", r.self),
			To: s.with(i, false, func(next *simulation, r *Replica) {
				next.remaining.crashes--
				next.start(i, r.cfg.Self)
			}),
		})
	}
	if s.remaining.diskLosses > 0 {
		steps = append(steps, explore.Step{
			Name: fmt.Sprintf("loss of the disk of %v", r.self),
			To:   s.with(i, false, func(next *simulation, r *Replica) { next.loseDisk(i, r) }),
		})
	}
	return steps
}

// loseDisk restarts replica i with an empty disk and a new instance.
func (s *simulation) loseDisk(i int, r *Replica) {
	s.remaining.diskLosses--
	s.disks[i] = memDisk{}
	self := r.cfg.Self
	if s.faults.reuseInstance {
		s.disks[i].Hard.Cluster = r.hard.Cluster
	} else {
		s.nextInstance++
		self.Instance = s.nextInstance
	}
	s.start(i, self)
}

// afterElection returns the state after replica 0 was elected and its first entry was
// committed at all replicas.
func afterElection(s *simulation) *simulation {
	s = s.with(0, false, func(_ *simulation, r *Replica) { r.campaign(false) })
	for len(s.network) > 0 {
		s = s.deliveries()[0].To.(*simulation)
	}
	return s
}

// afterDiskLoss returns the state after an election and the loss of the disk of replica 1.
func afterDiskLoss(s *simulation) *simulation {
	s.remaining.diskLosses++
	s = afterElection(s)
	return s.with(1, false, func(next *simulation, r *Replica) { next.loseDisk(1, r) })
}

// afterFormation returns the state after the formation of the cluster.
func afterFormation(s *simulation) *simulation { return s }
