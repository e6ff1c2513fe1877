package control

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Defaults of DutyConfig.
const (
	// DefaultDeadTimeout is the time without a renewal after which an incarnation is
	// declared dead.
	DefaultDeadTimeout = 3 * time.Second
	// DefaultMinEpochInterval is the least time between two epochs while few are retained.
	DefaultMinEpochInterval = 500 * time.Millisecond
	// DefaultMaxEpochInterval is the time after which an epoch ends without a change of
	// the agents.
	DefaultMaxEpochInterval = 5 * time.Minute
	// DefaultRetentionWindow is the time for which an epoch is kept after its end.
	DefaultRetentionWindow = 10 * time.Minute
	// DefaultReplaceTimeout is the time without a renewal after which an incarnation may
	// be replaced by another one of the same node. It keeps two processes with the
	// same id from replacing each other, and late renewals of an earlier incarnation
	// from replacing the current one.
	DefaultReplaceTimeout = time.Second
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

// LeaderTasksConfig holds the times of the leader's duties. Zero values stand for the
// defaults.
type LeaderTasksConfig struct {
	DeadTimeout   time.Duration
	MinEpochInterval    time.Duration
	MaxEpochInterval time.Duration
	RetentionWindow   time.Duration
	// ReplaceTimeout may be short where no two processes can have the same name.
	ReplaceTimeout time.Duration
}

func (c LeaderTasksConfig) withDefaults() LeaderTasksConfig {
	set := func(value *time.Duration, standard time.Duration) {
		if *value == 0 {
			*value = standard
		}
	}
	set(&c.DeadTimeout, DefaultDeadTimeout)
	set(&c.MinEpochInterval, DefaultMinEpochInterval)
	set(&c.MaxEpochInterval, DefaultMaxEpochInterval)
	set(&c.RetentionWindow, DefaultRetentionWindow)
	set(&c.ReplaceTimeout, DefaultReplaceTimeout)
	return c
}

// track is what the leader remembers of one incarnation.
type track struct {
	entry    catalog.NodeEntry
	renewed  time.Time
	proposed time.Time
}

// LeaderTasks proposes the commands that follow from renewals and from the passing of
// time. Only the leader runs them. What they remember is lost with the leader;
// the next one counts all times from the moment it became leader.
type LeaderTasks struct {
	cfg     LeaderTasksConfig
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

// NewLeaderTasks returns the duties of a replica that does not lead.
func NewLeaderTasks(cfg LeaderTasksConfig, machine *Machine) *LeaderTasks {
	return &LeaderTasks{cfg: cfg.withDefaults(), machine: machine}
}

// SetLeading starts or stops the duties.
func (d *LeaderTasks) SetLeading(now time.Time, leading bool) {
	if leading == d.leading {
		return
	}
	cfg, machine := d.cfg, d.machine
	*d = LeaderTasks{cfg: cfg, machine: machine, leading: leading, ticked: now}
	if leading {
		d.tracks = map[zinniasill.Node]*track{}
		d.ended = map[zinniasill.Epoch]time.Time{}
	}
}

// Proposals returns and clears the commands to propose.
func (d *LeaderTasks) Proposals() []Command {
	out := d.proposals
	d.proposals = nil
	return out
}

func (d *LeaderTasks) propose(command Command) {
	d.proposals = append(d.proposals, command)
}

// RecordRenewal records a renewal.
func (d *LeaderTasks) RecordRenewal(now time.Time, entry catalog.NodeEntry) {
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
func (d *LeaderTasks) Tick(now time.Time) {
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
func (d *LeaderTasks) restart(now time.Time) {
	for _, t := range d.tracks {
		t.renewed = now
	}
}

func (d *LeaderTasks) watchNodes(now time.Time) {
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
		silent := now.Sub(t.renewed) >= d.cfg.DeadTimeout
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
func (d *LeaderTasks) follow(now time.Time, t *track) {
	entry := t.entry
	host := entry.Host
	entry.Host = zinniasill.Node{}
	listed, ok := d.machine.catalog.Nodes[entry.Node.ID]
	if ok && listed.Node != entry.Node {
		if other, ok := d.tracks[listed.Node]; !ok || now.Sub(other.renewed) < d.cfg.ReplaceTimeout {
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
func (d *LeaderTasks) proposeFor(now time.Time, t *track, command Command) {
	if !t.proposed.IsZero() && now.Sub(t.proposed) < proposeAgain {
		return
	}
	t.proposed = now
	d.propose(command)
}

func (d *LeaderTasks) watchEpochs(now time.Time) {
	current := d.machine.catalog
	number := current.CurrentEpoch()
	if d.began.IsZero() || number != d.epoch {
		d.epoch = number
		d.began = now
	}
	d.proposeEpoch(now, current)
	d.proposeDrop(now, current)
}

func (d *LeaderTasks) proposeEpoch(now time.Time, current *catalog.Catalog) {
	if !d.proposed.IsZero() && now.Sub(d.proposed) < d.epochGap(len(current.Epochs)) {
		return
	}
	members := d.machine.eligible()
	if len(members) == 0 {
		return
	}
	due := now.Sub(d.began) >= d.cfg.MaxEpochInterval
	changed := len(current.Epochs) == 0 ||
		!slices.Equal(members, current.Epochs[len(current.Epochs)-1].Members)
	if !due && !changed {
		return
	}
	d.proposed = now
	d.propose(Command{Epoch: &NewEpoch{Number: current.CurrentEpoch() + 1}})
}

// epochGap returns the least time between two epochs when some are retained.
func (d *LeaderTasks) epochGap(retained int) time.Duration {
	if retained < fastEpochs {
		return d.cfg.MinEpochInterval
	}
	return max(d.cfg.MinEpochInterval, d.cfg.RetentionWindow/(maxEpochs-fastEpochs))
}

func (d *LeaderTasks) proposeDrop(now time.Time, current *catalog.Catalog) {
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
		if now.Sub(at) > d.cfg.RetentionWindow {
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
