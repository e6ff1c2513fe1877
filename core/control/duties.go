package control

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Defaults of DutyConfig.
const (
	// DefaultDeadAfter is the time without a renewal after which an incarnation is
	// declared dead.
	DefaultDeadAfter = 3 * time.Second
	// DefaultEpochGap is the least time between two epochs while few are retained.
	DefaultEpochGap = 500 * time.Millisecond
	// DefaultEpochPeriod is the time after which an epoch ends without a change of
	// the agents.
	DefaultEpochPeriod = 5 * time.Minute
	// DefaultRetention is the time for which an epoch is kept after its end.
	DefaultRetention = 10 * time.Minute
	// DefaultReplaceAfter is the time without a renewal after which an incarnation may
	// be replaced by another one of the same node. It keeps two processes with the
	// same id from replacing each other, and late renewals of an earlier incarnation
	// from replacing the current one.
	DefaultReplaceAfter = time.Second
)

const (
	// dutyPeriod is the time between two passes over all nodes.
	dutyPeriod = 100 * time.Millisecond
	// proposeAgain is the time after which a proposal that had no effect is
	// proposed again. A commit takes a few synced writes.
	proposeAgain = 200 * time.Millisecond
	// maxTickGap is the gap between two ticks from which the time without
	// renewals is counted anew: a process that was stopped has missed them itself.
	maxTickGap = time.Second
)

// The retained epochs cost every node memory and every claim a look-up in each of
// them. A rolling restart with an epoch every 500 ms would leave 1,200. From
// fastEpochs on, the gap between epochs grows so that about maxEpochs remain. An
// ordinary day, with 370 restarts, needs about 6 in each retention window.
const (
	fastEpochs = 16
	maxEpochs  = 64
)

// DutyConfig holds the times of the leader's duties. Zero values stand for the
// defaults.
type DutyConfig struct {
	DeadAfter   time.Duration
	EpochGap    time.Duration
	EpochPeriod time.Duration
	Retention   time.Duration
	// ReplaceAfter may be short where no two processes can have the same name.
	ReplaceAfter time.Duration
}

func (c DutyConfig) withDefaults() DutyConfig {
	set := func(value *time.Duration, standard time.Duration) {
		if *value == 0 {
			*value = standard
		}
	}
	set(&c.DeadAfter, DefaultDeadAfter)
	set(&c.EpochGap, DefaultEpochGap)
	set(&c.EpochPeriod, DefaultEpochPeriod)
	set(&c.Retention, DefaultRetention)
	set(&c.ReplaceAfter, DefaultReplaceAfter)
	return c
}

// track is what the leader remembers of one incarnation.
type track struct {
	entry    catalog.NodeEntry
	renewed  time.Time
	proposed time.Time
}

// Duties proposes the commands that follow from renewals and from the passing of
// time. Only the leader runs them. What they remember is lost with the leader;
// the next one counts all times from the moment it became leader.
type Duties struct {
	cfg     DutyConfig
	machine *Machine
	leading bool
	ticked  time.Time
	passed  time.Time
	tracks  map[zinniasill.Node]*track

	// epoch is the current epoch and began the time when this leader first saw it.
	epoch    zinniasill.Epoch
	began    time.Time
	proposed time.Time
	// ended holds the times when this leader first saw that an epoch had ended.
	ended     map[zinniasill.Epoch]time.Time
	dropped   time.Time
	proposals []Command
}

// NewDuties returns the duties of a replica that does not lead.
func NewDuties(cfg DutyConfig, machine *Machine) *Duties {
	return &Duties{cfg: cfg.withDefaults(), machine: machine}
}

// Lead starts or stops the duties.
func (d *Duties) Lead(now time.Time, leading bool) {
	if leading == d.leading {
		return
	}
	cfg, machine := d.cfg, d.machine
	*d = Duties{cfg: cfg, machine: machine, leading: leading, ticked: now}
	if leading {
		d.tracks = map[zinniasill.Node]*track{}
		d.ended = map[zinniasill.Epoch]time.Time{}
	}
}

// Proposals returns and clears the commands to propose.
func (d *Duties) Proposals() []Command {
	out := d.proposals
	d.proposals = nil
	return out
}

func (d *Duties) propose(command Command) {
	d.proposals = append(d.proposals, command)
}

// Renewed records a renewal.
func (d *Duties) Renewed(now time.Time, entry catalog.NodeEntry) {
	if !d.leading || d.machine.Dead(entry.Node) {
		return
	}
	t, ok := d.tracks[entry.Node]
	if !ok {
		t = &track{}
		d.tracks[entry.Node] = t
	}
	if !t.entry.Equal(entry) {
		// The last proposal was for another entry.
		t.proposed = time.Time{}
	}
	t.entry = entry
	t.renewed = now
	d.follow(now, t)
}

// Tick runs the duties that are due.
func (d *Duties) Tick(now time.Time) {
	if !d.leading {
		return
	}
	gap := now.Sub(d.ticked)
	d.ticked = now
	if gap >= maxTickGap {
		d.restart(now)
	}
	if now.Sub(d.passed) < dutyPeriod {
		return
	}
	d.passed = now
	d.watchNodes(now)
	d.watchEpochs(now)
}

// restart counts the time without renewals from now.
func (d *Duties) restart(now time.Time) {
	for _, t := range d.tracks {
		t.renewed = now
	}
}

func (d *Duties) watchNodes(now time.Time) {
	current := d.machine.catalog
	for _, listed := range current.Nodes {
		if _, ok := d.tracks[listed.Node]; !ok {
			d.tracks[listed.Node] = &track{entry: listed, renewed: now}
		}
	}
	nodes := make([]zinniasill.Node, 0, len(d.tracks))
	for node := range d.tracks {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, zinniasill.Node.Compare)
	for _, node := range nodes {
		t := d.tracks[node]
		silent := now.Sub(t.renewed) >= d.cfg.DeadAfter
		switch {
		case d.machine.Dead(node), silent && !current.Alive(node):
			delete(d.tracks, node)
		case silent:
			d.proposeFor(now, t, Command{Dead: &DeclareDead{Node: node}})
		default:
			d.follow(now, t)
		}
	}
}

// follow proposes what a renewal asks for and the catalog does not have yet.
func (d *Duties) follow(now time.Time, t *track) {
	entry := t.entry
	host := entry.Host
	entry.Host = zinniasill.Node{}
	listed, ok := d.machine.catalog.Nodes[entry.Node.ID]
	if ok && listed.Node != entry.Node {
		if other, ok := d.tracks[listed.Node]; !ok || now.Sub(other.renewed) < d.cfg.ReplaceAfter {
			return
		}
	}
	switch {
	case !ok || !listed.Equal(entry):
		d.proposeFor(now, t, Command{Register: &RegisterNode{Entry: entry}})
	case host != zinniasill.Node{}:
		d.proposeFor(now, t, Command{Handover: &Handover{Node: entry.Node, Host: host}})
	}
}

// proposeFor proposes a command for a node, unless one was proposed just before.
func (d *Duties) proposeFor(now time.Time, t *track, command Command) {
	if !t.proposed.IsZero() && now.Sub(t.proposed) < proposeAgain {
		return
	}
	t.proposed = now
	d.propose(command)
}

func (d *Duties) watchEpochs(now time.Time) {
	current := d.machine.catalog
	number := current.CurrentEpoch()
	if d.began.IsZero() || number != d.epoch {
		d.epoch = number
		d.began = now
	}
	d.proposeEpoch(now, current)
	d.proposeDrop(now, current)
}

func (d *Duties) proposeEpoch(now time.Time, current *catalog.Catalog) {
	if !d.proposed.IsZero() && now.Sub(d.proposed) < d.epochGap(len(current.Epochs)) {
		return
	}
	members := d.machine.eligible()
	if len(members) == 0 {
		return
	}
	due := now.Sub(d.began) >= d.cfg.EpochPeriod
	changed := len(current.Epochs) == 0 ||
		!slices.Equal(members, current.Epochs[len(current.Epochs)-1].Members)
	if !due && !changed {
		return
	}
	d.proposed = now
	d.propose(Command{Epoch: &NewEpoch{Number: current.CurrentEpoch() + 1}})
}

// epochGap returns the least time between two epochs when some are retained.
func (d *Duties) epochGap(retained int) time.Duration {
	if retained < fastEpochs {
		return d.cfg.EpochGap
	}
	return max(d.cfg.EpochGap, d.cfg.Retention/(maxEpochs-fastEpochs))
}

func (d *Duties) proposeDrop(now time.Time, current *catalog.Catalog) {
	var upTo zinniasill.Epoch
	listed := map[zinniasill.Epoch]time.Time{}
	for _, epoch := range current.Epochs {
		if epoch.Number == current.CurrentEpoch() {
			continue
		}
		at, ok := d.ended[epoch.Number]
		if !ok {
			at = now
		}
		listed[epoch.Number] = at
		if now.Sub(at) > d.cfg.Retention {
			upTo = epoch.Number
		}
	}
	d.ended = listed
	if upTo == 0 || (!d.dropped.IsZero() && now.Sub(d.dropped) < proposeAgain) {
		return
	}
	d.dropped = now
	d.propose(Command{Drop: &DropEpochs{UpTo: upTo}})
}
