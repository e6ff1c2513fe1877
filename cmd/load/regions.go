package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
)

// The layout of design.md, section 1.4: 5 failure domains and 7 control replicas,
// of which the larger region has 3 and 4.
const (
	regionDomains  = 5
	largerDomains  = 3
	regionControls = 7
	largerControls = 4
	regionEntries  = 5
	regionAgents   = 10
)

// The stretches of the measurement beside the cut.
const (
	regionSettle = 3 * time.Second
	regionBefore = 10 * time.Second
	regionAfter  = 30 * time.Second
	// placeTimeout bounds the attempts to get a leader in the asked region.
	placeTimeout = 30 * time.Second
	// freezeTime is longer than an election and shorter than a lease.
	freezeTime = 1500 * time.Millisecond
)

// profileOnce is a second profile, whose work must not be repeated.
const profileOnce = "load-once"

// regionOptions are the flags of regions.
type regionOptions struct {
	delay, cut time.Duration
	leader     string
}

// region is a set of failure domains that lose their links together.
type region int

const (
	larger region = iota
	smaller
)

var regions = []region{larger, smaller}

// String returns the name of the region in the tables.
func (r region) String() string {
	return [...]string{"larger", "smaller"}[r]
}

// regionOf returns the region of a process by its name, such as agent-7.
func regionOf(name string) region {
	role, number, _ := strings.Cut(name, "-")
	i, err := strconv.Atoi(number)
	if err != nil {
		return larger
	}
	i--
	if role == "control" && i >= largerControls || role != "control" && i%regionDomains >= largerDomains {
		return smaller
	}
	return larger
}

// regionRun is one measurement of regions that lose each other.
type regionRun struct {
	options options
	network *localcluster.Network
	cluster *localcluster.Cluster
	witness *localcluster.HistoryChecker
	callers *regionCallers
	leaders *leaderWatch
	// changes are sent during the cut, one for each region.
	changes []*changeProbe

	samples []sample
	// began, cut, healed and ended limit the phases.
	began, cut, healed, ended time.Time
	loadBefore                string
	// epochs is the number of retained epochs at the cut. A key needs a majority of
	// its group in each of them.
	epochs int
}

// measureRegions measures what callers and control see while two regions lose each
// other silently, and after the links are restored.
func measureRegions(ctx context.Context, o options) error {
	run := &regionRun{options: o, witness: localcluster.NewHistoryChecker(), loadBefore: loadAverage()}
	run.network = &localcluster.Network{Delay: func(from, to string) time.Duration {
		if from != "" && to != "" && regionOf(from) != regionOf(to) {
			return o.regions.delay
		}
		return 0
	}}
	defer run.network.Close()
	cfg := localcluster.Config{
		Binary: o.binary, Controls: regionControls, Entries: regionEntries, Agents: regionAgents,
		Domains: regionDomains, Proxy: run.network.Proxy,
	}
	return withCluster(ctx, cfg, func(cluster *localcluster.Cluster) error {
		if err := run.network.Err(); err != nil {
			return eris.Wrap(err, "stand proxies between the regions")
		}
		run.cluster = cluster
		if err := cluster.PutProfile(ctx, profileOnce, catalog.RepeatNever); err != nil {
			return err
		}
		if err := run.placeLeader(ctx); err != nil {
			return err
		}
		if err := run.drive(ctx); err != nil {
			return err
		}
		return run.report()
	})
}

// placeLeader freezes replicas of the other region until one of the asked region
// leads. The smaller region needs one of the larger for a majority, so that the
// first election there may be lost.
func (r *regionRun) placeLeader(ctx context.Context) error {
	want := larger
	if r.options.regions.leader == smaller.String() {
		want = smaller
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	for {
		var leader *localcluster.Process
		err := localcluster.Poll(ctx, "a control leader", func() bool {
			leader = leaderOf(ctx, r.cluster)
			return leader != nil
		})
		if err != nil || regionOf(leader.Name) == want {
			return err
		}
		frozen := r.rivals(leader)
		for _, p := range frozen {
			p.Signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		for _, p := range frozen {
			p.Signal(syscall.SIGCONT)
		}
		time.Sleep(regionSettle)
	}
}

// rivals returns three replicas of the leader's region with the leader among them,
// which the other four can do without.
func (r *regionRun) rivals(leader *localcluster.Process) []*localcluster.Process {
	list := []*localcluster.Process{leader}
	for _, p := range r.cluster.Controls {
		if p != leader && regionOf(p.Name) == regionOf(leader.Name) && len(list) < regionControls-largerControls {
			list = append(list, p)
		}
	}
	return list
}

// drive keeps the load up before, during and after the cut.
func (r *regionRun) drive(ctx context.Context) error {
	r.leaders = watchLeaders(ctx, r.cluster)
	defer r.leaders.stop()
	r.callers = newRegionCallers(r.cluster, r.witness, r.options.seed)
	r.callers.start(ctx)
	defer r.callers.stop()
	if err := r.wait(ctx, regionSettle); err != nil {
		return err
	}
	status, err := r.cluster.Operator().Status(ctx)
	if err != nil {
		return eris.Wrap(err, "read the epoch")
	}
	// None of them is older than the retention window.
	r.epochs = int(status.Epoch)
	r.began = time.Now()
	if err := r.phase(ctx, regionBefore); err != nil {
		return err
	}
	r.cutRegions()
	r.cut = time.Now()
	logrus.Info("the regions have lost each other")
	for _, in := range regions {
		r.changes = append(r.changes, probeChanges(ctx, r.cluster, in))
	}
	err = r.phase(ctx, r.options.regions.cut)
	for _, probe := range r.changes {
		probe.stop()
	}
	if err != nil {
		return err
	}
	r.network.RestoreAll()
	r.healed = time.Now()
	logrus.Info("the regions are connected again")
	if err := r.phase(ctx, regionAfter); err != nil {
		return err
	}
	r.ended = time.Now()
	return nil
}

// phase waits for the length of a phase and takes samples at its ends.
func (r *regionRun) phase(ctx context.Context, length time.Duration) error {
	before, err := takeSample(ctx, r.cluster)
	if err != nil {
		return err
	}
	err = r.wait(ctx, length)
	after, failed := takeSample(ctx, r.cluster)
	r.samples = append(r.samples, before, after)
	return errors.Join(err, failed)
}

func (r *regionRun) wait(ctx context.Context, length time.Duration) error {
	if !pause(ctx, length) {
		return eris.Wrap(ctx.Err(), "measure regions")
	}
	return nil
}

// cutRegions drops everything between the processes of different regions.
func (r *regionRun) cutRegions() {
	for _, p := range r.cluster.All() {
		for _, other := range r.cluster.All() {
			if regionOf(p.Name) != regionOf(other.Name) {
				r.network.Block(p.Name, other.Name)
			}
		}
	}
}

// loadAverage returns the load averages of the machine.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// newRand returns a source of jitter that depends on the seed and a number.
func newRand(seed uint64, i int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(i)))
}
