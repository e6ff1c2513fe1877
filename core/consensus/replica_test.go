package consensus

import (
	"slices"
	"strings"
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

// TestFormation guards against a second cluster after the loss of disks, and against a
// cluster that not all replicas are configured to form.
func TestFormation(t *testing.T) {
	tests := map[string]struct {
		configured bool
		prepare    func(c *testCluster)
		formed     bool
		obstacle   string
	}{
		"all empty":      {configured: true, formed: true},
		"not configured": {},
		"one not configured": {
			configured: true, obstacle: "was not told to form",
			prepare: func(c *testCluster) {
				c.procs["c"].newCluster = false
				c.start("c")
			},
		},
		"one down": {configured: true, prepare: func(c *testCluster) { c.procs["c"].down = true }},
		"two of three lost after the formation": {
			configured: true, obstacle: "belongs to cluster",
			prepare: func(c *testCluster) {
				c.waitLeader()
				c.loseDisk("a")
				c.loseDisk("b")
			},
		},
		"two of three lost after the third agreed": {
			configured: true, obstacle: "other members or instances",
			prepare: func(c *testCluster) {
				c.runUntil("the agreement of c", time.Minute, func() bool { return c.procs["c"].disk.Hard.Agreed != "" })
				c.start("c")
				c.loseDisk("a")
				c.loseDisk("b")
			},
		},
		"all lost and not configured": {
			configured: true,
			prepare: func(c *testCluster) {
				c.waitLeader()
				for _, name := range c.names {
					c.procs[name].newCluster = false
					c.loseDisk(name)
				}
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 5, 3, test.configured)
			if test.prepare != nil {
				test.prepare(c)
			}
			c.network = nil
			c.run(30 * time.Second)
			if formed := c.leader() != nil; formed != test.formed {
				t.Fatalf("cluster formed: %v", formed)
			}
			var obstacles []string
			for _, p := range c.procs {
				obstacles = append(obstacles, p.replica.Status().Obstacle)
			}
			if !strings.Contains(strings.Join(obstacles, "\n"), test.obstacle) {
				t.Fatalf("obstacles %q, want %q", obstacles, test.obstacle)
			}
		})
	}
}

// TestMembershipByOperator guards against replicas that join without being admitted,
// removed replicas that join again, and a leader that cannot be removed.
func TestMembershipByOperator(t *testing.T) {
	c := newTestCluster(t, 11, 3, true)
	c.waitLeader()
	c.procs["d"] = &testProcess{member: Member{Name: "d", Instance: 99}}
	c.start("d")
	c.run(5 * time.Second)
	if got := c.procs["d"].replica.Status(); got.Cluster != "" || got.Obstacle != string(RefusalUnknownName) {
		t.Fatalf("status of a replica that was not admitted: %+v", got)
	}
	// Replica d lists a, b and c, but they do not list it.
	if err := c.waitLeader().replica.Admit(c.now, Member{Name: "d"}); err != nil {
		t.Fatal(err)
	}
	c.waitVoter("d")
	leader := c.waitLeader()
	c.commit(c.procs["d"], 3)
	if err := leader.replica.Remove(c.now, leader.member.Name); err != nil {
		t.Fatal(err)
	}
	c.runUntil("another leader", 10*time.Second, func() bool {
		current := c.leader()
		return current != nil && current != leader && !current.replica.membership().HasName(leader.member.Name)
	})
	c.loseDisk(leader.member.Name)
	c.run(10 * time.Second)
	if c.waitLeader().replica.membership().HasName(leader.member.Name) {
		t.Fatal("a removed replica joined again")
	}
}

// TestOpenCluster guards against a replica that cannot join an open cluster because its
// settings list only some of the replicas: through a follower, with a leader that is not
// listed, and with an empty disk after it was a member.
func TestOpenCluster(t *testing.T) {
	c := newTestCluster(t, 12, 3, true)
	c.open = true
	for _, name := range c.names {
		c.start(name)
	}
	c.waitLeader()
	for i, name := range []zinniasill.NodeID{"d", "e"} {
		c.procs[name] = &testProcess{member: Member{Name: name, Instance: zinniasill.Incarnation(98 + i)}}
		c.start(name)
		c.waitVoter(name)
	}
	if !c.waitLeader().replica.Transfer(c.now, "d") && c.waitLeader().member.Name != "d" {
		t.Fatal("the leadership was not transferred")
	}
	c.runUntil("d to become the leader", 10*time.Second, func() bool {
		return c.procs["d"].replica.Status().Role == Leader
	})
	c.loseDisk("a")
	c.waitVoter("a")
	c.commit(c.procs["d"], 3)
}

// TestDuplicateName guards against two processes with the same name that replace each
// other endlessly.
func TestDuplicateName(t *testing.T) {
	c := newTestCluster(t, 13, 3, true)
	leader := c.waitLeader()
	voter := zinniasill.Node{ID: "a", Incarnation: 1}
	if leader.member.Name == "a" {
		voter = zinniasill.Node{ID: "b", Incarnation: 2}
	}
	duplicate := Member{Name: voter.ID, Instance: 50}
	leader.replica.onJoinRequest(duplicate.Node(), "", JoinRequest{Member: duplicate})
	m := leader.replica.membership()
	if !m.IsVoter(voter) || m.IsLearner(duplicate.Node()) {
		t.Fatalf("a running instance is being replaced: %+v", m)
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
