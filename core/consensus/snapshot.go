package consensus

import "zinniasill"

// Compact makes data, the applied state at index, the snapshot, and drops the
// entries that are no longer needed. It returns false when index was not handed
// out as committed or the snapshot is not newer than the present one.
func (r *Replica) Compact(index Index, data []byte) bool {
	term, ok := r.log.term(index)
	if !ok || index > r.applied || r.out.install != nil || index <= r.snapshotIndex() {
		return false
	}
	r.snapshot = &Snapshot{Index: index, Term: term, Membership: r.membershipAt(index), Data: data}
	r.out.snapshotDirty = true
	keep := Index(r.cfg.TrailingEntries)
	if index > r.log.baseIndex+keep {
		r.log.compact(index - keep)
	}
	return true
}

func (r *Replica) snapshotIndex() Index {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Index
}

// membershipAt returns the membership at index and forgets earlier ones.
func (r *Replica) membershipAt(index Index) Membership {
	for len(r.memberships) > 1 && r.memberships[1].index <= index {
		r.memberships = r.memberships[1:]
	}
	if len(r.memberships) == 0 || r.memberships[0].index > index {
		return Membership{}
	}
	return r.memberships[0].membership
}

func (r *Replica) onInstallSnapshot(from zinniasill.Node, req InstallSnapshot) {
	if req.Term < r.hard.Term {
		r.send(from, AppendReply{Term: r.hard.Term, Match: r.commit})
		return
	}
	r.followLeader(req.Term, from)
	if req.Snapshot.Index > r.commit {
		r.install(req.Snapshot)
	}
	r.send(from, AppendReply{Term: r.hard.Term, OK: true, Round: req.Round, Match: req.Snapshot.Index})
}

// install replaces the log by a snapshot. Entries after it are kept when the log
// agrees with the snapshot at its index.
func (r *Replica) install(snapshot Snapshot) {
	var kept []Entry
	if term, ok := r.log.term(snapshot.Index); ok && term == snapshot.Term {
		kept = r.log.slice(snapshot.Index+1, r.log.last())
	}
	stable := r.log.stable
	r.log.reset(snapshot.Index, snapshot.Term)
	r.memberships = []membershipAt{{snapshot.Index, snapshot.Membership}}
	for _, entry := range kept {
		r.add(entry)
	}
	r.log.stable = max(r.log.stable, min(stable, r.log.last()))
	if len(kept) == 0 {
		r.out.truncate = true
	}
	r.snapshot = &snapshot
	r.commit = snapshot.Index
	r.out.install = &snapshot
	r.out.snapshotDirty = true
	r.out.statusDirty = true
}
