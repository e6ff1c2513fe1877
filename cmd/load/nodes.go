package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/internal/localcluster"
	"zinniasill/io/operator"
)

// changeRates are the numbers of changes a second whose cost is measured.
var changeRates = []float64{1, 5, 20}

// settleTime lets the registrations of new stand-ins pass before a step. The gap
// between epochs is up to 12.5 s, so one may still fall into the step.
const settleTime = 3 * time.Second

// controlCluster has no real agents; its load comes from stand-ins.
func controlCluster(o options) localcluster.Config {
	return localcluster.Config{Binary: o.binary, Controls: o.replicas, Entries: 1, Domains: 3}
}

// withFleet runs a measurement with stand-ins on a new cluster.
func withFleet(ctx context.Context, o options, run func(*localcluster.Cluster, *fleet) error) error {
	return withCluster(ctx, controlCluster(o), func(cluster *localcluster.Cluster) error {
		replicas, err := membersOf(ctx, cluster)
		if err != nil {
			return err
		}
		f := &fleet{replicas: replicas}
		defer f.close()
		return run(cluster, f)
	})
}

// nodeColumns describe a step with stand-ins.
var nodeColumns = []string{
	"agents", "changes-per-second", "restarts-per-second", "seconds",
	"node-sent-bytes-per-second", "node-received-bytes-per-second", "node-received-max",
	"without-lease", "epochs", "in-force-p50-ms", "in-force-max-ms",
}

// nodeStep is one measured stretch with stand-ins.
type nodeStep struct {
	changes, restarts float64
	length            time.Duration
}

// nodeTables are the results of steps, by step, role and control replica.
type nodeTables struct {
	results, roles, replicas *table
}

func newNodeTables() nodeTables {
	prefix := []string{"agents", "changes-per-second", "restarts-per-second"}
	return nodeTables{
		results:  newTable(nodeColumns...),
		roles:    newTable(slices.Concat(prefix, roleColumns)...),
		replicas: newTable(slices.Concat(prefix, processColumns)...),
	}
}

// finish writes the rows, also those before a failure.
func (t nodeTables) finish(o options, failure error, name string) error {
	return errors.Join(failure, t.results.write(o, name), t.roles.write(o, name+"-roles"),
		t.replicas.write(o, name+"-replicas"))
}

// measureNodes measures the cost of control by the number of nodes and changes.
func measureNodes(ctx context.Context, o options) error {
	tables := newNodeTables()
	err := withFleet(ctx, o, func(cluster *localcluster.Cluster, f *fleet) error {
		for _, n := range o.sizes {
			if err := f.grow(ctx, n); err != nil {
				return errors.Join(err, f.measure(context.WithoutCancel(ctx), cluster, nodeStep{length: o.step}, tables))
			}
			time.Sleep(settleTime)
			for _, rate := range append([]float64{0}, changeRates...) {
				if err := f.measure(ctx, cluster, nodeStep{changes: rate, length: o.step}, tables); err != nil {
					return err
				}
			}
		}
		return nil
	})
	return tables.finish(o, err, "nodes")
}

// measureRolling measures a rolling restart of one node a second.
func measureRolling(ctx context.Context, o options) error {
	tables := newNodeTables()
	err := withFleet(ctx, o, func(cluster *localcluster.Cluster, f *fleet) error {
		for _, n := range o.sizes {
			if err := f.grow(ctx, n); err != nil {
				return err
			}
			time.Sleep(settleTime)
			if err := f.measure(ctx, cluster, nodeStep{restarts: 1, length: 4 * o.step}, tables); err != nil {
				return err
			}
		}
		return nil
	})
	return tables.finish(o, err, "rolling")
}

// measure measures one step. Stand-ins that were restarted are left out of the
// bytes for each node.
func (f *fleet) measure(ctx context.Context, cluster *localcluster.Cluster, s nodeStep, tables nodeTables) error {
	before, err := takeSample(ctx, cluster)
	if err != nil {
		return err
	}
	sent, received := f.traffic()
	restarted, waits, err := f.disturb(ctx, cluster, s)
	if err != nil {
		return err
	}
	after, err := takeSample(ctx, cluster)
	if err != nil {
		return err
	}
	sentAfter, receivedAfter := f.traffic()
	seconds := after.at.Sub(before.at).Seconds()
	var up, down, most float64
	kept := 0.0
	for i := range f.nodes {
		if i >= len(f.nodes)-restarted {
			continue
		}
		kept++
		up += (sentAfter[i] - sent[i]) / seconds
		down += (receivedAfter[i] - received[i]) / seconds
		most = max(most, (receivedAfter[i]-received[i])/seconds)
	}
	slices.Sort(waits)
	half, last := 0.0, 0.0
	if len(waits) > 0 {
		half, last = milliseconds(waits[len(waits)/2]), milliseconds(waits[len(waits)-1])
	}
	epochs := len(f.nodes[0].keeper.Catalog().Epochs)
	tables.results.add(len(f.nodes), s.changes, s.restarts, seconds, up/kept, down/kept, most, f.withoutLease(), epochs, half, last)
	tables.roles.addRoles(before, after, len(f.nodes), s.changes, s.restarts)
	for _, p := range cluster.Controls {
		tables.replicas.addProcess(before, after, p.Name, len(f.nodes), s.changes, s.restarts)
	}
	return nil
}

// disturb makes changes and restarts for the length of a step. It returns the
// number of restarted stand-ins, from the last one on, and how long each change
// took from the request until all stand-ins had it.
func (f *fleet) disturb(ctx context.Context, cluster *localcluster.Cluster, s nodeStep) (int, []time.Duration, error) {
	end := time.Now().Add(s.length)
	period := s.length
	if rate := max(s.changes, s.restarts); rate > 0 {
		period = time.Duration(float64(time.Second) / rate)
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	restarted := 0
	var base zinniasill.Revision
	var waits []time.Duration
	for time.Now().Before(end) {
		asked := time.Now()
		switch {
		case s.restarts > 0 && restarted < len(f.nodes)/2:
			restarted++
			if err := f.restart(ctx, len(f.nodes)-restarted); err != nil {
				return 0, nil, err
			}
		case s.changes > 0:
			team := zinniasill.Team(fmt.Sprintf("team-%d-%d", len(f.nodes), asked.UnixNano()))
			revision, err := cluster.Operator().PutTeam(ctx, team, 100, localcluster.NewEdit(0))
			if err != nil {
				return 0, nil, eris.Wrap(err, "change a team")
			}
			base = revision
		}
		// Waiting for each change would slow down the rate of fast changes.
		if s.changes > 0 && s.changes <= 1 {
			if err := f.awaitRevision(ctx, base); err != nil {
				return 0, nil, err
			}
			waits = append(waits, time.Since(asked))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0, nil, eris.Wrap(ctx.Err(), "disturb the cluster")
		}
	}
	return restarted, waits, nil
}

func (f *fleet) awaitRevision(ctx context.Context, revision zinniasill.Revision) error {
	return localcluster.Poll(ctx, "a change to be in force", func() bool {
		for _, s := range f.nodes {
			if s.keeper.Catalog().Revision < revision {
				return false
			}
		}
		return true
	})
}

// recoveryLengths are the numbers of log entries that a replica recovers from.
// A snapshot is taken every 4,096 entries.
var recoveryLengths = []int{500, 1500, 3500}

// writers is the number of changes in flight while the log is filled.
const writers = 16

// measureRecovery measures the time from the start of a replica that was killed
// until it has applied everything that is committed.
func measureRecovery(ctx context.Context, o options) error {
	results := newTable("log-entries", "changes-per-second", "ready-ms", "caught-up-ms")
	err := withCluster(ctx, controlCluster(o), func(cluster *localcluster.Cluster) error {
		written := 0
		for _, length := range recoveryLengths {
			began := time.Now()
			if err := fillLog(ctx, cluster, written, length); err != nil {
				return err
			}
			rate := float64(length-written) / time.Since(began).Seconds()
			written = length
			if err := recoverReplica(ctx, cluster, written, rate, results); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return results.write(o, "recovery")
}

func fillLog(ctx context.Context, cluster *localcluster.Cluster, from, to int) error {
	failed := make(chan error, writers)
	for w := range writers {
		go func() {
			for i := from + w; i < to; i += writers {
				team := zinniasill.Team(fmt.Sprintf("team-%d", i))
				if _, err := cluster.Operator().PutTeam(ctx, team, 100, localcluster.NewEdit(0)); err != nil {
					failed <- eris.Wrapf(err, "write log entry %d", i)
					return
				}
			}
			failed <- nil
		}()
	}
	var first error
	for range writers {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func recoverReplica(ctx context.Context, cluster *localcluster.Cluster, written int, rate float64, results *table) error {
	victim := cluster.Controls[0]
	victim.Kill()
	began := time.Now()
	if err := victim.Start(); err != nil {
		return err
	}
	if err := cluster.AwaitReady(ctx, victim); err != nil {
		return err
	}
	ready := time.Since(began)
	// A replica answers a read only when it has applied all that is committed.
	alone := operator.Client{Addresses: []string{victim.HTTP}}
	err := localcluster.Poll(ctx, "the replica to catch up", func() bool {
		_, err := alone.Team(ctx, zinniasill.Team(fmt.Sprintf("team-%d", written-1)))
		return err == nil
	})
	if err != nil {
		return err
	}
	results.add(written, rate, milliseconds(ready), milliseconds(time.Since(began)))
	return nil
}
