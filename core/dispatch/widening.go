package dispatch

import (
	"log/slog"
	"time"

	"zinniasill"
	"zinniasill/core/subset"
)

// minFreePercent is the share of their capacity that agents must have free when they are
// added. At full load endpoints have a part of their capacity free for moments, between the
// end of a task and the next start.
const minFreePercent = 25

// widen adds agents to the set of this entry, or drops them, by the present load.
func (d *Dispatcher) widen(now time.Time) {
	if d.cfg.FixedSubset || !d.widening.Update(now, len(d.spare), d.reliefFree) {
		return
	}
	d.useExtra(now)
	d.record("agents-widened", slog.Int("added", d.widening.Size()), slog.Int("spare", len(d.spare)),
		slog.Int("unplaced", len(d.unplaced)))
}

// setSpare replaces the agents that may be added.
func (d *Dispatcher) setSpare(members subset.Membership, chosen map[zinniasill.NodeID]bool) {
	self := subset.Member{ID: d.cfg.Self.ID, Domain: d.cfg.Domain}
	d.spare = d.spare[:0]
	listed := make(map[zinniasill.NodeID]subset.Member, len(members.Agents))
	for _, member := range members.Agents {
		listed[member.ID] = member
	}
	for _, id := range members.Spare(self, chosen) {
		d.spare = append(d.spare, listed[id])
	}
}

// useExtra puts the added agents in use, and the other spare ones out of use.
func (d *Dispatcher) useExtra(now time.Time) {
	for i, member := range d.spare {
		added := i < d.widening.Size()
		a := d.agents[member.ID]
		switch {
		case a == nil && added:
			d.addAgent(now, member)
			a = d.agents[member.ID]
			a.listed = true
		case a == nil:
			continue
		}
		if added && !a.inUse {
			a.inUseSince = now
			a.joining = true
		}
		a.inUse = added
	}
}

// reliefFree reports whether the spare agents at the positions [from, to) had
// free capacity when they were added.
func (d *Dispatcher) reliefFree(from, to int) bool {
	free, capacity := int64(0), int64(0)
	for _, member := range d.spare[from:to] {
		if a := d.agents[member.ID]; a != nil && !a.joining {
			free += a.freeWhenAdded
			capacity += a.load.Capacity.MilliCPU
		}
	}
	return free > 0 && free*100 >= capacity*minFreePercent
}
