package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniasill"
)

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

// openCluster returns an open cluster of five voters: three that formed it, and two more that
// started with them.
func openCluster(t *testing.T, seed uint64) *testCluster {
	c := newTestCluster(t, seed, 3, true)
	c.open = true
	for _, name := range c.names {
		c.start(name)
	}
	c.waitLeader()
	for _, name := range []zinniasill.NodeID{"d", "e"} {
		c.add(name, true)
		c.waitVoter(name)
	}
	return c
}

// add starts a process with a new name and an empty disk.
func (c *testCluster) add(name zinniasill.NodeID, firstStart bool) {
	c.lastInstance++
	c.procs[name] = &testProcess{member: Member{Name: name, Instance: c.lastInstance}, firstStart: firstStart}
	c.start(name)
}

// replace adds a process and stops another one for good.
func (c *testCluster) replace(former, successor zinniasill.NodeID, planned bool) {
	if planned {
		c.add(successor, false)
		c.run(time.Second)
	}
	c.procs[former].down = true
	if !planned {
		c.run(time.Second)
		c.add(successor, false)
	}
}

// TestReplacedMembers guards against replicas that are gone for good and remain voters: after
// some replacements the group had no majority once one more disk was lost.
func TestReplacedMembers(t *testing.T) {
	tests := map[string]struct {
		replacements [][2]zinniasill.NodeID
		planned      bool
	}{
		"one planned":           {[][2]zinniasill.NodeID{{"a", "f"}}, true},
		"one unplanned":         {[][2]zinniasill.NodeID{{"a", "f"}}, false},
		"three planned":         {[][2]zinniasill.NodeID{{"a", "f"}, {"b", "g"}, {"c", "h"}}, true},
		"three unplanned":       {[][2]zinniasill.NodeID{{"a", "f"}, {"b", "g"}, {"c", "h"}}, false},
		"successor is replaced": {[][2]zinniasill.NodeID{{"a", "f"}, {"f", "g"}, {"g", "h"}}, true},
	}
	// settle is the time between a replacement and the next loss.
	const settle = 4 * time.Second
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := openCluster(t, 21)
			c.names = []zinniasill.NodeID{"a", "b", "c", "d", "e", "f", "g", "h"}[:5+len(test.replacements)]
			for _, pair := range test.replacements {
				c.replace(pair[0], pair[1], test.planned)
				c.run(settle)
			}
			if voters := c.waitLeader().replica.membership().Voters; len(voters) != 5 {
				t.Errorf("%d voters after %d replacements, want 5: %v", len(voters), len(test.replacements), voters)
			}
			// The power of all others fails for a moment as well.
			for _, process := range c.allNames() {
				if !c.procs[process].down {
					c.start(process)
				}
			}
			c.loseDisk("e")
			c.commit(c.procs["d"], 3)
			c.waitVoter("e")
		})
	}
}

// TestRemovedMemberReturns guards against a replica that was taken for gone, because another
// one had joined, and that can never vote again although it is back.
func TestRemovedMemberReturns(t *testing.T) {
	c := openCluster(t, 22)
	leader := c.waitLeader().member.Name
	cut := zinniasill.NodeID("a")
	if leader == cut {
		cut = "b"
	}
	c.add("f", false)
	for _, other := range c.allNames() {
		c.setBlocked(cut, other, true)
		c.setBlocked(other, cut, true)
	}
	c.names = append(c.names, "d", "e", "f")
	c.runUntil("the removal of "+string(cut), 10*time.Second, func() bool {
		current := c.leader()
		return current != nil && !current.replica.membership().HasName(cut)
	})
	c.commit(c.procs["f"], 3)
	clear(c.blocked)
	c.waitVoter(cut)
	c.commit(c.procs[cut], 3)
}

// TestReplacementsUnderFaults guards against lost or diverging entries, and against a group
// that is stuck, while replicas are replaced, cut off, restarted and lose their disks. The
// cluster itself checks the applied entries and that each term has one leader.
func TestReplacementsUnderFaults(t *testing.T) {
	const histories, rounds = 30, 12
	for seed := range uint64(histories) {
		c := openCluster(t, 100+seed)
		c.names = append(c.names, "d", "e")
		c.lossRate, c.duplicateRate = 0.02, 0.02
		running := slices.Clone(c.names)
		for round := range rounds {
			at := c.rand.IntN(len(running))
			victim := running[at]
			switch c.rand.IntN(4) {
			case 0, 1:
				successor := zinniasill.NodeID(fmt.Sprintf("n%d", round))
				c.replace(victim, successor, c.rand.IntN(2) == 0)
				c.names = append(c.names, successor)
				running[at] = successor
			case 2:
				for _, other := range running {
					c.setBlocked(victim, other, true)
					c.setBlocked(other, victim, true)
				}
				c.run(time.Duration(c.rand.IntN(4)) * time.Second)
				clear(c.blocked)
			case 3:
				c.loseDisk(victim)
			}
			c.run(time.Duration(c.rand.IntN(1000)) * time.Millisecond)
			c.commit(c.procs[running[c.rand.IntN(len(running))]], 2)
			// Each fault is over before the next one: all that run are voters again.
			c.runUntil("the voters to be those that run", 20*time.Second, func() bool {
				leader := c.leader()
				return leader != nil && !slices.ContainsFunc(running, func(name zinniasill.NodeID) bool {
					return !leader.replica.membership().IsVoter(c.procs[name].member.Node())
				}) && len(leader.replica.membership().Voters) == len(running)
			})
		}
	}
}

// TestNoRemovalWithoutSuccessor guards against the removal of voters that are down for a
// while: the disks that hold each entry would become fewer.
func TestNoRemovalWithoutSuccessor(t *testing.T) {
	c := openCluster(t, 23)
	c.names = append(c.names, "d", "e")
	c.procs["d"].down = true
	c.procs["e"].down = true
	c.run(time.Minute)
	if voters := c.waitLeader().replica.membership().Voters; len(voters) != 5 {
		t.Errorf("voters %v, want all five", voters)
	}
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

// TestOddMember guards against a replica whose name or address all others store and cannot
// read again, or cannot send.
func TestOddMember(t *testing.T) {
	tests := map[string]struct {
		member Member
		joins  bool
	}{
		"valid":                     {Member{Name: "x", Address: "10.0.0.9:1"}, true},
		"port out of range":         {Member{Name: "x", Address: "10.0.0.9:99999"}, true},
		"name that is not UTF-8":    {Member{Name: "x\xff", Address: "10.0.0.9:1"}, false},
		"name that is too long":     {Member{Name: zinniasill.NodeID(make([]byte, 1<<20)), Address: "10.0.0.9:1"}, false},
		"no name":                   {Member{Address: "10.0.0.9:1"}, false},
		"address that is not UTF-8": {Member{Name: "x", Address: "\xff"}, false},
		"address that is too long":  {Member{Name: "x", Address: string(make([]byte, 1<<20))}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for via, join := range map[string]func(leader *Replica, now time.Time){
				"request": func(leader *Replica, _ time.Time) {
					leader.onJoinRequest(tt.member.Node(), "", JoinRequest{Member: tt.member})
				},
				"operator": func(leader *Replica, now time.Time) { _ = leader.Admit(now, tt.member) },
			} {
				c := newTestCluster(t, 14, 3, true)
				c.open = true
				for _, started := range c.names {
					c.start(started)
				}
				leader := c.waitLeader()
				tt.member.Instance = 77
				join(leader.replica, c.now)
				if got := leader.replica.membership().HasName(tt.member.Name); got != tt.joins {
					t.Errorf("%s: is a member: %t, want %t", via, got, tt.joins)
				}
			}
		})
	}
}
