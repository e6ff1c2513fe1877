package control

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Defaults of LeaderTasksConfig.
const (
	// DefaultDeadTimeout is the time without a renewal after which an incarnation is
	// declared dead.
	DefaultDeadTimeout = 3 * time.Second
	// DefaultMinEpochInterval is the minimum time between two epochs while fewer than
	// epochThrottleThreshold are retained.
	DefaultMinEpochInterval = 500 * time.Millisecond
	// DefaultMaxEpochInterval is the time after which a new epoch starts even if the
	// agents have not changed.
	DefaultMaxEpochInterval = 5 * time.Minute
	// DefaultRetentionWindow is the time for which an epoch is retained after its end.
	DefaultRetentionWindow = 10 * time.Minute
	// DefaultReplaceTimeout is the time without a renewal after which an incarnation may
	// be replaced by another one of the same node. It prevents two processes with the
	// same id from replacing each other, and late renewals of an earlier incarnation
	// from replacing the current one.
	DefaultReplaceTimeout = time.Second
)

const (
	// taskInterval is the time between two passes over all nodes and epochs.
	taskInterval = 100 * time.Millisecond
	// proposalRetryInterval is the time after which a command that has had no effect
	// is proposed again. A commit takes a few synced writes.
	proposalRetryInterval = 200 * time.Millisecond
	// maxTickGap is the time between two ticks from which the renewal times of all
	// nodes are reset: a process that was suspended has itself missed the renewals.
	maxTickGap = time.Second
)

// Each retained epoch costs memory on every node and a look-up in every claim. A
// rolling restart with an epoch every 500 ms would leave 1,200 in the retention window.
// Once epochThrottleThreshold epochs are retained, the interval between epochs grows so
// that about maxRetainedEpochs remain. An ordinary day, with 370 restarts, needs about 6
// in each retention window.
const (
	epochThrottleThreshold = 16
	maxRetainedEpochs      = 64
)

// LeaderTasksConfig holds the timeouts and intervals of the leader's background tasks.
// Zero values mean the defaults.
type LeaderTasksConfig struct {
	DeadTimeout      time.Duration
	MinEpochInterval time.Duration
	MaxEpochInterval time.Duration
	RetentionWindow  time.Duration
	// ReplaceTimeout may be short where no two running processes can have the
	// same node id. If it is shorter than DefaultReplaceTimeout, an incarnation that has
	// renewed at this leader is replaced that early only by one that knows of it.
	ReplaceTimeout time.Duration
}

func (c LeaderTasksConfig) withDefaults() LeaderTasksConfig {
	set := func(value *time.Duration, def time.Duration) {
		if *value == 0 {
			*value = def
		}
	}
	set(&c.DeadTimeout, DefaultDeadTimeout)
	set(&c.MinEpochInterval, DefaultMinEpochInterval)
	set(&c.MaxEpochInterval, DefaultMaxEpochInterval)
	set(&c.RetentionWindow, DefaultRetentionWindow)
	set(&c.ReplaceTimeout, DefaultReplaceTimeout)
	return c
}

// LeaderTasks are the leader's background tasks. They propose the commands that
// renewals and timeouts require: to register nodes, to declare incarnations dead, to
// list handovers, and to start and drop epochs. Their state is lost when the leader
// changes; the next leader measures all times from its election.
type LeaderTasks struct {
	cfg      LeaderTasksConfig
	machine  *Machine
	leading  bool
	lastTick time.Time
	lastPass time.Time
	tracked  map[zinniasill.Node]*trackedNode

	// epoch is the current epoch, which this leader first observed at epochSince.
	epoch           zinniasill.Epoch
	epochSince      time.Time
	epochProposedAt time.Time
	// endedAt holds the time at which this leader first observed that an epoch had
	// ended.
	endedAt        map[zinniasill.Epoch]time.Time
	dropProposedAt time.Time
	proposals      []Command
}

// NewLeaderTasks returns the tasks of a replica that is not the leader.
func NewLeaderTasks(cfg LeaderTasksConfig, machine *Machine) *LeaderTasks {
	return &LeaderTasks{cfg: cfg.withDefaults(), machine: machine}
}

// SetLeading starts or stops the tasks.
func (l *LeaderTasks) SetLeading(now time.Time, leading bool) {
	if leading == l.leading {
		return
	}
	cfg, machine := l.cfg, l.machine
	*l = LeaderTasks{cfg: cfg, machine: machine, leading: leading, lastTick: now}
	if leading {
		l.tracked = map[zinniasill.Node]*trackedNode{}
		l.endedAt = map[zinniasill.Epoch]time.Time{}
	}
}

// Proposals returns and clears the commands to propose.
func (l *LeaderTasks) Proposals() []Command {
	out := l.proposals
	l.proposals = nil
	return out
}

func (l *LeaderTasks) propose(command Command) {
	l.proposals = append(l.proposals, command)
}

// Tick runs the tasks that are due.
func (l *LeaderTasks) Tick(now time.Time) {
	if !l.leading {
		return
	}
	gap := now.Sub(l.lastTick)
	l.lastTick = now
	if gap >= maxTickGap {
		l.resetRenewalTimes(now)
	}
	if now.Sub(l.lastPass) < taskInterval {
		return
	}
	l.lastPass = now
	l.checkNodes(now)
	l.checkEpochs(now)
}

func (l *LeaderTasks) checkEpochs(now time.Time) {
	current := l.machine.catalog
	number := current.CurrentEpoch()
	if l.epochSince.IsZero() || number != l.epoch {
		l.epoch = number
		l.epochSince = now
	}
	l.proposeEpoch(now, current)
	l.proposeEpochDrop(now, current)
}

// proposeEpoch proposes an epoch when the serving agents have changed or the current
// epoch has reached MaxEpochInterval.
func (l *LeaderTasks) proposeEpoch(now time.Time, current *catalog.Catalog) {
	if !l.epochProposedAt.IsZero() && now.Sub(l.epochProposedAt) < l.minEpochInterval(len(current.Epochs)) {
		return
	}
	members := l.machine.eligibleAgents()
	if len(members) == 0 {
		return
	}
	due := now.Sub(l.epochSince) >= l.cfg.MaxEpochInterval
	changed := len(current.Epochs) == 0 ||
		!slices.Equal(members, current.Epochs[len(current.Epochs)-1].Members)
	if !due && !changed {
		return
	}
	l.epochProposedAt = now
	l.propose(Command{Epoch: &NewEpoch{Number: current.CurrentEpoch() + 1}})
}

// minEpochInterval returns the minimum time between two epochs, given the number of
// retained ones.
func (l *LeaderTasks) minEpochInterval(retained int) time.Duration {
	if retained < epochThrottleThreshold {
		return l.cfg.MinEpochInterval
	}
	return max(l.cfg.MinEpochInterval, l.cfg.RetentionWindow/(maxRetainedEpochs-epochThrottleThreshold))
}

// proposeEpochDrop proposes to drop the epochs that ended before the retention window.
func (l *LeaderTasks) proposeEpochDrop(now time.Time, current *catalog.Catalog) {
	var upTo zinniasill.Epoch
	listed := map[zinniasill.Epoch]time.Time{}
	for _, epoch := range current.Epochs {
		if epoch.Number == current.CurrentEpoch() {
			continue
		}
		at, ok := l.endedAt[epoch.Number]
		if !ok {
			at = now
		}
		listed[epoch.Number] = at
		if now.Sub(at) > l.cfg.RetentionWindow {
			upTo = epoch.Number
		}
	}
	l.endedAt = listed
	if upTo == 0 || (!l.dropProposedAt.IsZero() && now.Sub(l.dropProposedAt) < proposalRetryInterval) {
		return
	}
	l.dropProposedAt = now
	l.propose(Command{Drop: &DropEpochs{UpTo: upTo}})
}
