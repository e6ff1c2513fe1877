package consensus

import (
	"fmt"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/internal/explore"
)

// Next implements explore.State.
func (w *world) Next() []explore.Step {
	steps := append(w.deliveries(), w.lost()...)
	for i, r := range w.replicas {
		steps = append(steps, w.local(i, r)...)
		steps = append(steps, w.failures(i, r)...)
	}
	return steps
}

// deliveries delivers the first message, or a later one while reordering is left,
// once or twice, with and without a crash of the receiver before it has written.
func (w *world) deliveries() []explore.Step {
	var steps []explore.Step
	for at, m := range w.network {
		if at > 0 && w.left.reorders == 0 {
			break
		}
		i := int(m.env.To.ID[0] - 'a')
		deliver := func(crash, again bool) {
			to := w.with(i, crash, func(next *world, r *Replica) {
				if !again {
					next.network = slices.Delete(next.network, at, at+1)
				}
				next.left.reorders -= count(at > 0 && w.left.reorders > 0)
				next.left.repeats -= count(again)
				next.left.crashes -= count(crash)
				r.Receive(modelTime, m.env)
			})
			if to != nil {
				name := fmt.Sprintf("deliver %s (crash %v, again %v)", m.key, crash, again)
				steps = append(steps, explore.Step{Name: name, To: to})
			}
		}
		deliver(false, false)
		if w.left.repeats > 0 {
			deliver(false, true)
		}
		if w.left.crashes > 0 {
			deliver(true, false)
		}
	}
	return steps
}

// lost lists the ways in which messages are lost.
func (w *world) lost() []explore.Step {
	if len(w.network) == 0 || w.left.reorders == anyOrder {
		return nil
	}
	var steps []explore.Step
	first := w.network[0]
	if w.left.drops > 0 {
		next := *w
		next.left.drops--
		next.network = slices.Clone(w.network[1:])
		steps = append(steps, explore.Step{Name: "lose " + first.key, To: &next})
	}
	if w.left.cuts > 0 {
		next := *w
		next.left.cuts--
		next.cut += link(first.env)
		next.network = slices.DeleteFunc(slices.Clone(w.network), func(m modelMessage) bool {
			return link(m.env) == link(first.env)
		})
		steps = append(steps, explore.Step{Name: "cut " + link(first.env), To: &next})
	}
	return steps
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// local lists what a replica does without a message.
func (w *world) local(i int, r *Replica) []explore.Step {
	var steps []explore.Step
	add := func(possible bool, name string, do func(next *world, r *Replica)) {
		if possible {
			steps = append(steps, explore.Step{Name: fmt.Sprintf("%s at %v", name, r.self), To: w.with(i, false, do)})
		}
	}
	leads := r.role == Leader
	// The replicas are alike before the first election, so that it is enough to let
	// one of them stand first.
	mayStand := !leads && w.left.elections > 0 && r.membership().IsVoter(r.self) && (i == 0 || w.stood())
	add(mayStand, "election", func(next *world, r *Replica) {
		next.left.elections--
		if next.left.preVote {
			r.startPreVote()
		} else {
			r.campaign(false)
		}
	})
	add(leads && w.left.stepDowns > 0, "step down", func(next *world, r *Replica) {
		next.left.stepDowns--
		r.becomeFollower(r.hard.Term, zinniasill.Node{})
	})
	add(leads && w.left.proposals > 0, "propose", func(next *world, r *Replica) {
		r.Propose(modelTime, ProposalID(next.left.proposals), fmt.Appendf(nil, "p%d", next.left.proposals))
		next.left.proposals--
	})
	add(leads && w.left.resends > 0, "resend", func(next *world, r *Replica) {
		next.left.resends--
		r.leading.sendDue = true
		for _, f := range r.leading.followers {
			f.probedAt = time.Time{}
		}
		r.repairMembership()
	})
	add(r.leader != zinniasill.Node{} && w.left.reads > 0, "read", func(next *world, r *Replica) {
		id := ReadID(next.left.reads)
		next.left.reads--
		for index := range next.committed {
			next.floors[id] = max(next.floors[id], index)
		}
		r.ReadIndex(modelTime, id)
		if next.faults.blindReads && r.role == Leader && r.commit >= r.leading.first {
			r.out.reads = append(r.out.reads, ReadResult{ID: id, OK: true, Index: r.commit})
		}
	})
	outside := !r.membership().IsVoter(r.self)
	add(outside && w.left.resends > 0, "join", func(next *world, r *Replica) {
		next.left.resends--
		r.sendJoinRequest()
	})
	return steps
}

// stood reports whether an election has begun.
func (w *world) stood() bool {
	return slices.ContainsFunc(w.replicas[:], func(r *Replica) bool { return r.hard.Term > 1 || r.role != Follower })
}

// failures lists crashes with and without loss of the disk.
func (w *world) failures(i int, r *Replica) []explore.Step {
	var steps []explore.Step
	if w.left.crashes > 0 {
		steps = append(steps, explore.Step{
			Name: fmt.Sprintf("crash of %v", r.self),
			To: w.with(i, false, func(next *world, r *Replica) {
				next.left.crashes--
				next.start(i, r.cfg.Self)
			}),
		})
	}
	if w.left.losses > 0 {
		steps = append(steps, explore.Step{
			Name: fmt.Sprintf("loss of the disk of %v", r.self),
			To:   w.with(i, false, func(next *world, r *Replica) { next.loseDisk(i, r) }),
		})
	}
	return steps
}

func (w *world) loseDisk(i int, r *Replica) {
	w.left.losses--
	w.disks[i] = memDisk{}
	self := r.cfg.Self
	if w.faults.keepsIdentity {
		w.disks[i].Hard.Cluster = r.hard.Cluster
	} else {
		w.next++
		self.Instance = w.next
	}
	w.start(i, self)
}

// elect returns the world after replica 0 was elected and its first entry was
// committed everywhere, without a fault.
func elect(w *world) *world {
	w = w.with(0, false, func(_ *world, r *Replica) { r.campaign(false) })
	for len(w.network) > 0 {
		w = w.deliveries()[0].To.(*world)
	}
	return w
}

// afterLoss returns the world after an election and the loss of the disk of
// replica 1.
func afterLoss(w *world) *world {
	w.left.losses++
	w = elect(w)
	return w.with(1, false, func(next *world, r *Replica) { next.loseDisk(1, r) })
}

func formed(w *world) *world { return w }
