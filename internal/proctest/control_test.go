package proctest_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/internal/localcluster"
	"zinniasill/io/operator"
)

// operatorOf returns a client that asks only the given replicas.
func (f *fixture) operatorOf(replicas ...*localcluster.Process) operator.Client {
	var c operator.Client
	for _, p := range replicas {
		c.Addresses = append(c.Addresses, p.HTTP)
	}
	return c
}

// leader waits for a control leader.
func (f *fixture) leader() *localcluster.Process {
	f.Helper()
	var leader *localcluster.Process
	f.await("a control leader", func() bool {
		members, err := f.Operator().Members(f.ctx)
		for _, member := range members {
			for _, p := range f.Controls {
				if err == nil && member.Leader && member.Name == p.Name {
					leader = p
				}
			}
		}
		return leader != nil
	})
	return leader
}

// others returns the control replicas but one.
func (f *fixture) others(not *localcluster.Process) []*localcluster.Process {
	var others []*localcluster.Process
	for _, p := range f.Controls {
		if p != not {
			others = append(others, p)
		}
	}
	return others
}

// putQuota changes a team's quota and sends the change again under its request id
// until its outcome is known.
func (f *fixture) putQuota(c operator.Client, team zinniasill.Team, quota int) zinniasill.Revision {
	f.Helper()
	var base zinniasill.Revision
	f.await("the team's revision", func() bool {
		current, err := c.Team(f.ctx, team)
		base = current.Revision
		var answered *operator.Error
		return err == nil || errors.As(err, &answered) && answered.Code == operator.CodeNotFound
	})
	return f.put(c, team, quota, localcluster.NewEdit(base))
}

func (f *fixture) put(c operator.Client, team zinniasill.Team, quota int, edit operator.Edit) zinniasill.Revision {
	f.Helper()
	revision, err := f.putUntilKnown(c, team, quota, edit)
	f.must(err)
	return revision
}

// putUntilKnown sends a change until a replica has answered what became of it.
func (f *fixture) putUntilKnown(c operator.Client, team zinniasill.Team, quota int, edit operator.Edit) (zinniasill.Revision, error) {
	var revision zinniasill.Revision
	var last error
	err := localcluster.Poll(f.ctx, "the outcome of a change", func() bool {
		revision, last = c.PutTeam(f.ctx, team, quota, edit)
		var answered *operator.Error
		return last == nil || errors.As(last, &answered) &&
			answered.Code != operator.CodeOutcomeUnknown && answered.Code != operator.CodeUnavailable
	})
	return revision, errors.Join(err, last)
}

// TestRacingOperators guards against two changes with one base revision that both
// win, a loser that isn't told the present revision, and a resent change that is
// applied twice, while the control leader is killed again and again.
func TestRacingOperators(t *testing.T) {
	f := start(t, 3)
	base := f.putQuota(f.Operator(), "raced", 100)
	for round := range 12 {
		if round%4 != 1 {
			base = f.race(base, round, func() {})
			continue
		}
		killed := f.leader()
		base = f.race(base, round, killed.Kill)
		f.must(killed.Start())
		f.must(f.AwaitReady(f.ctx, killed))
	}
}

// race has two operators change the quota from the same base while disturb runs, and
// returns the revision of the one that won.
func (f *fixture) race(base zinniasill.Revision, round int, disturb func()) zinniasill.Revision {
	f.Helper()
	var wait sync.WaitGroup
	edits := [2]operator.Edit{localcluster.NewEdit(base), localcluster.NewEdit(base)}
	var revisions [2]zinniasill.Revision
	var failed [2]error
	wait.Go(disturb)
	for i := range edits {
		wait.Go(func() {
			// The answer to the first attempt is lost.
			lost, cancel := context.WithCancel(f.ctx)
			go cancel()
			_, _ = f.Operator().PutTeam(lost, "raced", 1000+2*round+i, edits[i])
			revisions[i], failed[i] = f.putUntilKnown(f.Operator(), "raced", 1000+2*round+i, edits[i])
		})
	}
	wait.Wait()
	won := 0
	if failed[0] != nil {
		won = 1
	}
	var refused *operator.Error
	if failed[won] != nil || !errors.As(failed[1-won], &refused) ||
		refused.Code != operator.CodeConflict || refused.CurrentRevision != revisions[won] {
		f.Fatalf("round %d: revisions %v, errors %v", round, revisions, failed)
	}
	current, err := f.Operator().Team(f.ctx, "raced")
	f.must(err)
	if current.Quota != 1000+2*round+won || current.Revision != revisions[won] {
		f.Errorf("round %d: the winner set %d at %d, in force is %+v", round, 1000+2*round+won, revisions[won], current)
	}
	if again := f.put(f.Operator(), "raced", 1000+2*round+won, edits[won]); again != revisions[won] {
		f.Errorf("round %d: the resent change got revision %d, at first %d", round, again, revisions[won])
	}
	return revisions[won]
}

// awaitVoters waits until a replica is again one of three voters of which none is
// an instance that lost its disk.
func (f *fixture) awaitVoters(c operator.Client, lost map[string]bool) {
	f.Helper()
	f.await("three voters", func() bool {
		members, err := c.Members(f.ctx)
		voters := 0
		for _, member := range members {
			if member.Voter && !lost[member.Instance] {
				voters++
			}
		}
		return err == nil && voters == 3 && len(members) == 3
	})
}

// TestDisksLost guards against accepted changes that are lost or revert when a
// control replica loses its disk, and another one right after the repair.
func TestDisksLost(t *testing.T) {
	f := start(t, 3)
	l := f.startLoad(4, 50)
	lost := map[string]bool{}
	for i := range 2 {
		f.putQuota(f.Operator(), zinniasill.Team(fmt.Sprintf("before-%d", i)), 10+i)
		members, err := f.Operator().Members(f.ctx)
		f.must(err)
		replica := f.Controls[i]
		for _, member := range members {
			if member.Name == replica.Name {
				lost[member.Instance] = true
			}
		}
		replica.Kill()
		f.must(f.LoseDisk(i))
		f.must(replica.Start())
		f.putQuota(f.operatorOf(f.others(replica)...), zinniasill.Team(fmt.Sprintf("during-%d", i)), 20+i)
		f.awaitVoters(f.Operator(), lost)
	}
	for _, replica := range f.Controls {
		f.must(f.AwaitReady(f.ctx, replica))
		for i := range 2 {
			f.hasQuota(replica, fmt.Sprintf("before-%d", i), 10+i)
			f.hasQuota(replica, fmt.Sprintf("during-%d", i), 20+i)
		}
	}
	l.stop(noFailure)
}

func (f *fixture) hasQuota(replica *localcluster.Process, team string, quota int) {
	f.Helper()
	current, err := f.operatorOf(replica).Team(f.ctx, zinniasill.Team(team))
	if err != nil || current.Quota != quota {
		f.Errorf("%s has quota %d for %s, want %d (%v)", replica.Name, current.Quota, team, quota, err)
	}
}

// TestMissedChanges guards against processes that come back after hundreds of
// changes and work with an old configuration.
func TestMissedChanges(t *testing.T) {
	f := start(t, 3)
	down := []*localcluster.Process{f.Controls[2], f.Entries[1], f.Agents[2]}
	for _, p := range down {
		p.Kill()
	}
	const changes = 300
	var last zinniasill.Revision
	live := f.operatorOf(f.Controls[:2]...)
	for i := range changes {
		last = f.putQuota(live, localcluster.Team, 100+i)
	}
	// In force at the end: jobs of at most 4 tasks at one entry.
	last = max(last, f.putQuota(live, localcluster.Team, 8))
	for _, p := range down {
		f.must(p.Start())
	}
	f.must(f.AwaitReady(f.ctx, down...))
	// An entry that doesn't know yet that the killed agent was replaced may offer it a
	// task, which is then rightly in doubt.
	f.awaitEpoch()
	f.hasQuota(f.Controls[2], localcluster.Team, 8)
	for _, p := range down[1:] {
		f.await(p.Name+" to have the last change", func() bool { return p.Revision(f.ctx) >= last })
	}
	var refused *client.RefusalError
	err := f.submit(f.client(1), newJob("above-quota", 5, 10))
	if !errors.As(err, &refused) || refused.Code != zinniasill.ReasonQuota {
		t.Errorf("a job above the quota through the restarted entry: %v", err)
	}
	f.must(f.submit(f.client(1), newJob("within-quota", 4, 10)))
}
