package consensus

import (
	"slices"
	"testing"
	"time"

	"zinniasill"
)

// TestRandomFaults guards against entries that are lost, changed or applied out of order,
// two leaders in a term, stale reads and wrong results of proposals, with lost, duplicated
// and reordered messages, crashes and lost disks.
func TestRandomFaults(t *testing.T) {
	for seed := uint64(20261204); seed < 20261204+20; seed++ {
		c := newTestCluster(t, seed, 3, true)
		c.waitLeader()
		c.lossRate, c.duplicateRate, c.maxDelay = 0.1, 0.1, 5*tickInterval
		type pending struct {
			p  *testProcess
			id ProposalID
		}
		var proposals []pending
		var down zinniasill.NodeID
		replaced := 0
		for round := range 300 {
			c.run(time.Duration(c.rand.IntN(10)) * tickInterval)
			p := c.procs[c.names[c.rand.IntN(3)]]
			switch action := c.rand.IntN(20); {
			case action < 8 && !p.down:
				proposals = append(proposals, pending{p, c.propose(p)})
			case action < 12 && !p.down:
				c.minReadIndex[ReadID(round)] = c.committed
				p.replica.ReadIndex(c.now, ReadID(round))
			case action == 12 && down == "":
				down = p.member.Name
				p.down = true
			case action == 13 && down != "":
				c.start(down)
				down = ""
			case action == 14 && !p.down:
				p.replica.Transfer(c.now, c.names[c.rand.IntN(3)])
			case action == 15 && down == "" && c.allVoters():
				c.loseDisk(p.member.Name)
				replaced++
			}
		}
		if down != "" {
			c.start(down)
		}
		c.lossRate, c.duplicateRate = 0, 0
		c.commit(c.waitLeader(), 1)
		c.waitAllApplied()
		accepted := 0
		for _, m := range proposals {
			result := m.p.results[m.id]
			written := c.writtenAt["p"+itoa(m.id)]
			wrong := result.Outcome == Accepted && !slices.Contains(written, result.Index) ||
				result.Outcome == NotLeader && len(written) > 0
			if wrong {
				t.Fatalf("seed %d: proposal %d has result %+v, written at %d", seed, m.id, result, written)
			}
			if result.Outcome == Accepted {
				accepted++
			}
		}
		t.Logf("seed %d: %d of %d proposals accepted, %d leaders, %d disks lost",
			seed, accepted, len(proposals), len(c.leaders), replaced)
	}
}

// itoa returns the decimal representation of id.
func itoa(id ProposalID) string {
	var digits []byte
	for ; id > 0; id /= 10 {
		digits = append(digits, byte('0'+id%10))
	}
	slices.Reverse(digits)
	return string(digits)
}

// TestReplaceLostDisks guards against a replica with a lost disk that is not replaced or
// whose replacement loses entries, also if the next disk is lost immediately afterwards.
func TestReplaceLostDisks(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := newTestCluster(t, seed, 3, true)
		c.lossRate, c.duplicateRate = 0.05, 0.05
		c.waitLeader()
		for round := range 3 {
			c.commit(c.waitLeader(), 40)
			for _, name := range c.names {
				before := c.procs[name].member.Node()
				c.loseDisk(name)
				c.waitVoter(name)
				if c.leader() != nil && c.leader().replica.membership().IsVoter(before) {
					t.Fatalf("seed %d round %d: the old instance %s is still a voter", seed, round, before)
				}
			}
		}
		c.lossRate = 0
		c.commit(c.waitLeader(), 1)
		c.waitAllApplied()
		if len(c.writtenAt) < 121 {
			t.Fatalf("seed %d: %d of 121 proposals were applied", seed, len(c.writtenAt))
		}
	}
}

// TestOneWayPartition guards against a leader that receives nothing but cannot be replaced
// because its heartbeats still arrive, and against a partitioned replica that disrupts
// the others when the links are restored.
func TestOneWayPartition(t *testing.T) {
	tests := map[string]struct {
		toLeader, fromLeader bool
		wantNewLeader        bool
	}{
		"leader receives nothing":   {toLeader: true, wantNewLeader: true},
		"leader cannot send":        {fromLeader: true, wantNewLeader: true},
		"leader is isolated":        {toLeader: true, fromLeader: true, wantNewLeader: true},
		"follower receives nothing": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 7, 3, true)
			old := c.waitLeader()
			for _, other := range c.names {
				c.setBlocked(other, old.member.Name, test.toLeader)
				c.setBlocked(old.member.Name, other, test.fromLeader)
			}
			follower := c.names[0]
			if !test.wantNewLeader {
				if follower == old.member.Name {
					follower = c.names[1]
				}
				for _, other := range c.names {
					c.setBlocked(other, follower, true)
				}
			}
			c.run(2 * time.Minute)
			current := c.waitLeader()
			if changed := current != old; changed != test.wantNewLeader {
				t.Fatalf("leader changed: %v", changed)
			}
			c.commit(current, 5)
			term := current.replica.hard.Term
			clear(c.blocked)
			c.waitAllApplied()
			if got := c.waitLeader().replica.hard.Term; got != term {
				t.Fatalf("a partitioned replica increased the term from %d to %d", term, got)
			}
		})
	}
}

// TestCatchUp guards against a replica that missed hundreds of entries and cannot catch
// up, whether the leader still has the entries or only a snapshot.
func TestCatchUp(t *testing.T) {
	for name, compactInterval := range map[string]Index{"entries": 1000, "snapshot": 50} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 3, 3, true)
			c.compactInterval = compactInterval
			leader := c.waitLeader()
			behind := c.names[0]
			if behind == leader.member.Name {
				behind = c.names[1]
			}
			c.waitAllApplied()
			c.procs[behind].down = true
			c.commit(leader, 300)
			c.start(behind)
			c.waitAllApplied()
			installed := c.procs[behind].disk.Snapshot != nil && c.procs[behind].disk.Snapshot.Index > 100
			if installed != (name == "snapshot") {
				t.Fatalf("snapshot installed: %v", installed)
			}
			c.start(behind)
			c.waitAllApplied()
		})
	}
}

// TestElectionAfterFullRestart guards against split votes after all replicas were started
// at the same time. Four of five replicas became candidates within 5 ms, and the next
// election started half a second later.
func TestElectionAfterFullRestart(t *testing.T) {
	var sum, longest time.Duration
	const rounds = 200
	for seed := range uint64(rounds) {
		c := newTestCluster(t, 100+seed, 5, true)
		c.waitLeader()
		c.run(time.Second)
		restarted := c.now
		c.network = nil // Messages in flight are lost.
		for _, name := range c.names {
			c.start(name)
		}
		c.waitLeader()
		took := c.now.Sub(restarted)
		sum += took
		longest = max(longest, took)
	}
	// An election takes two round trips, of 40 ms each here, after the first deadline.
	if mean := sum / rounds; mean > 300*time.Millisecond || longest > 500*time.Millisecond {
		t.Errorf("leader elected after %v on average, %v at most", mean, longest)
	}
}

// TestTransfer guards against a planned shutdown of the leader that causes a wait for an
// election timeout.
func TestTransfer(t *testing.T) {
	c := newTestCluster(t, 17, 3, true)
	leader := c.waitLeader()
	c.waitAllApplied()
	target := c.names[0]
	if target == leader.member.Name {
		target = c.names[1]
	}
	if !leader.replica.Transfer(c.now, target) {
		t.Fatal("transfer was refused")
	}
	c.runUntil("transfer", 20*tickInterval, func() bool { return c.leader() != nil && c.leader().member.Name == target })
}

// TestSingleReplica guards against a cluster of one replica that cannot form, commit or
// read.
func TestSingleReplica(t *testing.T) {
	c := newTestCluster(t, 19, 1, true)
	p := c.waitLeader()
	c.commit(p, 3)
	c.start("a")
	c.waitLeader()
	p.replica.ReadIndex(c.now, 1)
	c.runUntil("read", time.Second, func() bool { return p.reads[1].OK })
	if p.applied < 5 {
		t.Fatalf("read at %d, before all entries were applied", p.applied)
	}
}

// TestConfig guards against invalid configurations that are accepted.
func TestConfig(t *testing.T) {
	self := Member{Name: "a", Instance: 1}
	tests := map[string]Config{
		"no instance":           {Self: Member{Name: "a"}, Peers: []Member{self}},
		"not listed":            {Self: self, Peers: []Member{{Name: "b"}}},
		"no randomness":         {Self: self, Peers: []Member{self}},
		"listed twice":          {Self: self, Peers: []Member{self, self}},
		"heartbeat too long":    {Self: self, Peers: []Member{self}, HeartbeatInterval: time.Second},
		"maximum below minimum": {Self: self, Peers: []Member{self}, MinElectionTimeout: 2, MaxElectionTimeout: 1},
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := New(cfg, Recovered{}); err == nil {
				t.Fatal("the configuration was accepted")
			}
		})
	}
}
