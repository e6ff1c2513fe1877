package consensus

import (
	"slices"
	"strings"
	"testing"
	"time"

	"zinniasill"
)

// TestRandomFaults guards against entries that are lost, changed or applied out
// of order, second leaders, stale reads and wrong results of proposals, under
// loss, repetition, reordering, crashes and lost disks.
func TestRandomFaults(t *testing.T) {
	for seed := uint64(20261204); seed < 20261204+20; seed++ {
		s := newSim(t, seed, 3, true)
		s.waitLeader()
		s.loss, s.repeat, s.delay = 0.1, 0.1, 5*simStep
		type made struct {
			p  *simProcess
			id ProposalID
		}
		var proposals []made
		var down zinniasill.NodeID
		replaced := 0
		for round := range 300 {
			s.run(time.Duration(s.rand.IntN(10)) * simStep)
			p := s.procs[s.names[s.rand.IntN(3)]]
			switch action := s.rand.IntN(20); {
			case action < 8 && !p.down:
				proposals = append(proposals, made{p, s.propose(p)})
			case action < 12 && !p.down:
				s.readFloor[ReadID(round)] = s.committed
				p.replica.ReadIndex(s.now, ReadID(round))
			case action == 12 && down == "":
				down = p.member.Name
				p.down = true
			case action == 13 && down != "":
				s.start(down)
				down = ""
			case action == 14 && !p.down:
				p.replica.Transfer(s.now, s.names[s.rand.IntN(3)])
			case action == 15 && down == "" && s.isWhole():
				s.loseDisk(p.member.Name)
				replaced++
			}
		}
		if down != "" {
			s.start(down)
		}
		s.loss, s.repeat = 0, 0
		s.commit(s.waitLeader(), 1)
		s.waitEqual()
		accepted := 0
		for _, m := range proposals {
			result := m.p.results[m.id]
			written := s.payloads["p"+itoa(m.id)]
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
			seed, accepted, len(proposals), len(s.leaders), replaced)
	}
}

func itoa(id ProposalID) string {
	var digits []byte
	for ; id > 0; id /= 10 {
		digits = append(digits, byte('0'+id%10))
	}
	slices.Reverse(digits)
	return string(digits)
}

// TestReplaceLostDisks guards against a lost disk that is not replaced, or whose
// replacement loses entries, also when the next disk is lost right after.
func TestReplaceLostDisks(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		s := newSim(t, seed, 3, true)
		s.loss, s.repeat = 0.05, 0.05
		s.waitLeader()
		for round := range 3 {
			s.commit(s.waitLeader(), 40)
			for _, name := range s.names {
				before := s.procs[name].member.Node()
				s.loseDisk(name)
				s.waitVoter(name)
				if s.leader() != nil && s.leader().replica.membership().IsVoter(before) {
					t.Fatalf("seed %d round %d: the old instance %s is still a voter", seed, round, before)
				}
			}
		}
		s.loss = 0
		s.commit(s.waitLeader(), 1)
		s.waitEqual()
		if len(s.payloads) < 121 {
			t.Fatalf("seed %d: %d of 121 proposals are left", seed, len(s.payloads))
		}
	}
}

// TestLongOneWayCut guards against a leader that nobody can replace because its
// heartbeats still arrive, and against a cut-off replica that disturbs others.
func TestLongOneWayCut(t *testing.T) {
	tests := map[string]struct {
		toLeader, fromLeader bool
		wantNewLeader        bool
	}{
		"leader hears nobody":   {toLeader: true, wantNewLeader: true},
		"nobody hears leader":   {fromLeader: true, wantNewLeader: true},
		"leader fully cut off":  {toLeader: true, fromLeader: true, wantNewLeader: true},
		"follower hears nobody": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 7, 3, true)
			old := s.waitLeader()
			for _, other := range s.names {
				s.setCut(other, old.member.Name, test.toLeader)
				s.setCut(old.member.Name, other, test.fromLeader)
			}
			deaf := s.names[0]
			if !test.wantNewLeader {
				if deaf == old.member.Name {
					deaf = s.names[1]
				}
				for _, other := range s.names {
					s.setCut(other, deaf, true)
				}
			}
			s.run(2 * time.Minute)
			current := s.waitLeader()
			if changed := current != old; changed != test.wantNewLeader {
				t.Fatalf("leader changed: %v", changed)
			}
			s.commit(current, 5)
			term := current.replica.hard.Term
			clear(s.cut)
			s.waitEqual()
			if got := s.waitLeader().replica.hard.Term; got != term {
				t.Fatalf("the replica that returned raised the term from %d to %d", term, got)
			}
		})
	}
}

// TestCatchUp guards against a replica that stays behind after it missed hundreds
// of entries, whether the leader still has them or only a snapshot.
func TestCatchUp(t *testing.T) {
	for name, compact := range map[string]Index{"entries": 1000, "snapshot": 50} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 3, true)
			s.compact = compact
			leader := s.waitLeader()
			behind := s.names[0]
			if behind == leader.member.Name {
				behind = s.names[1]
			}
			s.waitEqual()
			s.procs[behind].down = true
			s.commit(leader, 300)
			s.start(behind)
			s.waitEqual()
			installed := s.procs[behind].disk.Snapshot != nil && s.procs[behind].disk.Snapshot.Index > 100
			if installed != (name == "snapshot") {
				t.Fatalf("snapshot installed: %v", installed)
			}
			s.start(behind)
			s.waitEqual()
		})
	}
}

// TestFormation guards against a second cluster after disks were lost, and
// against clusters that were not asked for.
func TestFormation(t *testing.T) {
	tests := map[string]struct {
		asked    bool
		prepare  func(s *sim)
		formed   bool
		obstacle string
	}{
		"all empty": {asked: true, formed: true},
		"not asked": {},
		"one not asked": {
			asked: true, obstacle: "was not told to form",
			prepare: func(s *sim) {
				s.procs["c"].newCluster = false
				s.start("c")
			},
		},
		"one missing": {asked: true, prepare: func(s *sim) { s.procs["c"].down = true }},
		"two of three lost after the formation": {
			asked: true, obstacle: "belongs to cluster",
			prepare: func(s *sim) {
				s.waitLeader()
				s.loseDisk("a")
				s.loseDisk("b")
			},
		},
		"two lost while the third had only agreed": {
			asked: true, obstacle: "other members or instances",
			prepare: func(s *sim) {
				s.until("c agreed", time.Minute, func() bool { return s.procs["c"].disk.Hard.Agreed != "" })
				s.start("c")
				s.loseDisk("a")
				s.loseDisk("b")
			},
		},
		"all lost and not asked again": {
			asked: true,
			prepare: func(s *sim) {
				s.waitLeader()
				for _, name := range s.names {
					s.procs[name].newCluster = false
					s.loseDisk(name)
				}
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 5, 3, test.asked)
			if test.prepare != nil {
				test.prepare(s)
			}
			s.network = nil
			s.run(30 * time.Second)
			if formed := s.leader() != nil; formed != test.formed {
				t.Fatalf("formed: %v", formed)
			}
			var obstacles []string
			for _, p := range s.procs {
				obstacles = append(obstacles, p.replica.Status().Obstacle)
			}
			if !strings.Contains(strings.Join(obstacles, "\n"), test.obstacle) {
				t.Fatalf("obstacles %q, want %q", obstacles, test.obstacle)
			}
		})
	}
}

// TestMembershipByOperator guards against names that join without being admitted,
// removed names that return, and a leader that cannot be removed.
func TestMembershipByOperator(t *testing.T) {
	s := newSim(t, 11, 3, true)
	s.waitLeader()
	s.procs["d"] = &simProcess{member: Member{Name: "d", Instance: 99}}
	s.start("d")
	s.run(5 * time.Second)
	if got := s.procs["d"].replica.Status(); got.Cluster != "" || got.Obstacle != string(RefusalUnknownName) {
		t.Fatalf("a replica that was not admitted: %+v", got)
	}
	// Listed peers answer each other; d was not listed at a, b and c.
	if err := s.waitLeader().replica.Admit(s.now, Member{Name: "d"}); err != nil {
		t.Fatal(err)
	}
	s.waitVoter("d")
	leader := s.waitLeader()
	s.commit(s.procs["d"], 3)
	if err := leader.replica.Remove(s.now, leader.member.Name); err != nil {
		t.Fatal(err)
	}
	s.until("another leader", 10*time.Second, func() bool {
		now := s.leader()
		return now != nil && now != leader && !now.replica.membership().HasName(leader.member.Name)
	})
	s.loseDisk(leader.member.Name)
	s.run(10 * time.Second)
	if s.waitLeader().replica.membership().HasName(leader.member.Name) {
		t.Fatal("a removed name joined again")
	}
}

// TestOpenGroup guards against a replica that cannot join because only some replicas
// are listed in its settings: through a follower, under a leader that is not listed,
// and with an empty disk after it was a member.
func TestOpenGroup(t *testing.T) {
	s := newSim(t, 12, 3, true)
	s.open = true
	for _, name := range s.names {
		s.start(name)
	}
	s.waitLeader()
	for i, name := range []zinniasill.NodeID{"d", "e"} {
		s.procs[name] = &simProcess{member: Member{Name: name, Instance: zinniasill.Incarnation(98 + i)}}
		s.start(name)
		s.waitVoter(name)
	}
	if !s.waitLeader().replica.Transfer(s.now, "d") && s.waitLeader().member.Name != "d" {
		t.Fatal("the leadership was not transferred")
	}
	s.until("the new replica to lead", 10*time.Second, func() bool {
		return s.procs["d"].replica.Status().Role == Leader
	})
	s.loseDisk("a")
	s.waitVoter("a")
	s.commit(s.procs["d"], 3)
}

// TestSameNameTwice guards against two processes with one name that replace each
// other without end.
func TestSameNameTwice(t *testing.T) {
	s := newSim(t, 13, 3, true)
	leader := s.waitLeader()
	voter := zinniasill.Node{ID: "a", Incarnation: 1}
	if leader.member.Name == "a" {
		voter = zinniasill.Node{ID: "b", Incarnation: 2}
	}
	double := Member{Name: voter.ID, Instance: 50}
	leader.replica.onJoinRequest(double.Node(), "", JoinRequest{Member: double})
	m := leader.replica.membership()
	if !m.IsVoter(voter) || m.IsLearner(double.Node()) {
		t.Fatalf("the living instance is being replaced: %+v", m)
	}
}

// TestElectionAfterRestartOfAll guards against split votes after all replicas have
// started at the same moment: four of five once stood for election within 5 ms, and the
// next election came half a second later.
func TestElectionAfterRestartOfAll(t *testing.T) {
	var sum, longest time.Duration
	const rounds = 200
	for seed := range uint64(rounds) {
		s := newSim(t, 100+seed, 5, true)
		s.waitLeader()
		s.run(time.Second)
		began := s.now
		s.network = nil // What was on its way is lost with the power.
		for _, name := range s.names {
			s.start(name)
		}
		s.waitLeader()
		took := s.now.Sub(began)
		sum += took
		longest = max(longest, took)
	}
	// An election takes two round trips, of 40 ms each here, after the first deadline.
	if mean := sum / rounds; mean > 300*time.Millisecond || longest > 500*time.Millisecond {
		t.Errorf("a leader after %v on average, %v at most", mean, longest)
	}
}

// TestTransfer guards against a planned stop that has to wait for an election.
func TestTransfer(t *testing.T) {
	s := newSim(t, 17, 3, true)
	leader := s.waitLeader()
	s.waitEqual()
	target := s.names[0]
	if target == leader.member.Name {
		target = s.names[1]
	}
	if !leader.replica.Transfer(s.now, target) {
		t.Fatal("transfer was refused")
	}
	s.until("transfer", 20*simStep, func() bool { return s.leader() != nil && s.leader().member.Name == target })
}

// TestSingle guards against a cluster of one that cannot form, commit or read.
func TestSingle(t *testing.T) {
	s := newSim(t, 19, 1, true)
	p := s.waitLeader()
	s.commit(p, 3)
	s.start("a")
	s.waitLeader()
	p.replica.ReadIndex(s.now, 1)
	s.until("read", time.Second, func() bool { return p.reads[1].OK })
	if p.applied < 5 {
		t.Fatalf("read at %d, before all entries were applied", p.applied)
	}
}

// TestConfig guards against settings that cannot work.
func TestConfig(t *testing.T) {
	self := Member{Name: "a", Instance: 1}
	tests := map[string]Config{
		"no instance":          {Self: Member{Name: "a"}, Peers: []Member{self}},
		"not listed":           {Self: self, Peers: []Member{{Name: "b"}}},
		"no randomness":        {Self: self, Peers: []Member{self}},
		"listed twice":         {Self: self, Peers: []Member{self, self}},
		"heartbeat too long":   {Self: self, Peers: []Member{self}, HeartbeatInterval: time.Second},
		"election range empty": {Self: self, Peers: []Member{self}, MinElectionTimeout: 2, MaxElectionTimeout: 1},
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := New(cfg, Recovered{}); err == nil {
				t.Fatal("accepted")
			}
		})
	}
}
