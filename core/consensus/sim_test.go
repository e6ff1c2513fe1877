package consensus

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// simStep is the time between two steps of the simulation.
const simStep = 10 * time.Millisecond

// memDisk is a data folder in memory.
type memDisk struct {
	Recovered
}

func (d *memDisk) save(ready Ready) {
	if ready.Hard != nil {
		d.Hard = *ready.Hard
	}
	if ready.Snapshot != nil {
		after := ready.Snapshot.Index
		d.Snapshot = ready.Snapshot
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e Entry) bool {
			return e.Index <= after || ready.Truncate
		})
	}
	if len(ready.Entries) > 0 {
		first := ready.Entries[0].Index
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e Entry) bool { return e.Index >= first })
		d.Entries = append(d.Entries, ready.Entries...)
	}
}

type simProcess struct {
	member     Member
	newCluster bool
	replica    *Replica
	disk       memDisk
	// state is a hash over all applied entries, applied the index of the last.
	state   [sha256.Size]byte
	applied Index
	results map[ProposalID]ProposalResult
	reads   map[ReadID]ReadResult
	down    bool
}

type simMessage struct {
	at  time.Time
	env message.Envelope
}

// sim runs replicas on a network that loses, repeats, delays and reorders.
type sim struct {
	t        testing.TB
	rand     *rand.Rand
	now      time.Time
	names    []zinniasill.NodeID
	procs    map[zinniasill.NodeID]*simProcess
	network  []simMessage
	cut      map[[2]zinniasill.NodeID]bool
	loss     float64
	repeat   float64
	delay    time.Duration
	instance zinniasill.Incarnation
	open     bool
	compact  Index

	leaders   map[Term]zinniasill.Node
	states    map[Index][sha256.Size]byte
	committed Index
	proposed  ProposalID
	payloads  map[string][]Index
	readFloor map[ReadID]Index
	cluster   zinniasill.ClusterID
}

func newSim(t testing.TB, seed uint64, size int, newCluster bool) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		procs: map[zinniasill.NodeID]*simProcess{}, cut: map[[2]zinniasill.NodeID]bool{},
		delay: 2 * simStep, compact: 50,
		leaders: map[Term]zinniasill.Node{}, states: map[Index][sha256.Size]byte{},
		payloads: map[string][]Index{}, readFloor: map[ReadID]Index{},
	}
	for i := range size {
		s.names = append(s.names, zinniasill.NodeID(rune('a'+i)))
	}
	for _, name := range s.names {
		s.instance++
		s.procs[name] = &simProcess{member: Member{Name: name, Instance: s.instance}, newCluster: newCluster}
		s.start(name)
	}
	return s
}

// start starts a process with what its disk holds.
func (s *sim) start(name zinniasill.NodeID) {
	p := s.procs[name]
	var peers []Member
	for _, peer := range s.names {
		peers = append(peers, Member{Name: peer})
	}
	if !slices.Contains(s.names, name) {
		peers = append(peers, Member{Name: name})
	}
	recovered := p.disk.Recovered
	recovered.Entries = slices.Clone(recovered.Entries)
	replica, err := New(Config{
		Self: p.member, Peers: peers, NewCluster: p.newCluster,
		Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)), TrailingEntries: 20, MaxBatchEntries: 16,
		Open: s.open,
	}, recovered)
	if err != nil {
		s.t.Fatal(err)
	}
	p.replica = replica
	p.down = false
	p.state = [sha256.Size]byte{}
	p.applied = 0
	p.results = map[ProposalID]ProposalResult{}
	p.reads = map[ReadID]ReadResult{}
}

// loseDisk restarts a process with an empty folder, which has a new instance.
func (s *sim) loseDisk(name zinniasill.NodeID) {
	s.instance++
	p := s.procs[name]
	p.member.Instance = s.instance
	p.disk = memDisk{}
	s.start(name)
}

func (s *sim) run(d time.Duration) {
	s.until("", d, nil)
}

// until runs the simulation until done returns true. It fails after d.
func (s *sim) until(what string, d time.Duration, done func() bool) {
	s.t.Helper()
	for end := s.now.Add(d); s.now.Before(end); {
		if done != nil && done() {
			return
		}
		s.step()
	}
	if done != nil {
		for _, name := range s.names {
			s.t.Logf("%s down=%v %+v", name, s.procs[name].down, s.procs[name].replica.Status())
		}
		s.t.Fatalf("not reached in %v: %s", d, what)
	}
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	var later []simMessage
	due := s.network
	s.network = nil
	for _, m := range due {
		p := s.procs[m.env.To.ID]
		switch {
		case m.at.After(s.now):
			later = append(later, m)
		case p != nil && !p.down:
			p.replica.Receive(s.now, m.env)
		}
	}
	s.network = append(s.network, later...)
	for _, name := range s.allNames() {
		p := s.procs[name]
		if !p.down {
			p.replica.Tick(s.now)
			s.drain(p)
		}
	}
}

func (s *sim) allNames() []zinniasill.NodeID {
	var names []zinniasill.NodeID
	for name := range s.procs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *sim) drain(p *simProcess) {
	for ready := p.replica.Ready(); !ready.Empty(); ready = p.replica.Ready() {
		s.send(p.replica.Outbox())
		p.disk.save(ready)
		p.replica.Persisted()
		s.apply(p, ready)
	}
	s.send(p.replica.Outbox())
	s.check(p)
}

func (s *sim) send(envs []message.Envelope) {
	for _, env := range envs {
		copies := 1
		if s.rand.Float64() < s.repeat {
			copies = 2
		}
		for range copies {
			lost := s.cut[[2]zinniasill.NodeID{env.From.ID, env.To.ID}] || s.rand.Float64() < s.loss
			if !lost {
				at := s.now.Add(time.Duration(s.rand.Int64N(int64(s.delay) + 1)))
				s.network = append(s.network, simMessage{at, env})
			}
		}
	}
}

func (s *sim) apply(p *simProcess, ready Ready) {
	if ready.Restore != nil {
		p.state = [sha256.Size]byte(ready.Restore.Data)
		p.applied = ready.Restore.Index
		s.note(p)
	}
	for _, entry := range ready.Committed {
		if entry.Index != p.applied+1 {
			s.t.Fatalf("%s applied entry %d after %d", p.member.Node(), entry.Index, p.applied)
		}
		p.state = sha256.Sum256(fmt.Appendf(p.state[:], "%d %d %s", entry.Term, entry.Kind, entry.Data))
		p.applied = entry.Index
		if entry.Kind == KindData {
			s.payloads[string(entry.Data)] = append(s.payloads[string(entry.Data)], entry.Index)
		}
		s.note(p)
	}
	for _, result := range ready.Proposals {
		p.results[result.ID] = result
	}
	for _, result := range ready.Reads {
		p.reads[result.ID] = result
		if result.OK && (result.Index < s.readFloor[result.ID] || p.applied < result.Index) {
			s.t.Fatalf("%s read %d at index %d, applied %d, but %d was committed before",
				p.member.Node(), result.ID, result.Index, p.applied, s.readFloor[result.ID])
		}
	}
	if p.applied > s.compact && p.applied%s.compact == 0 {
		p.replica.Compact(p.applied, slices.Clone(p.state[:]))
	}
}

// note checks that all replicas apply the same entries.
func (s *sim) note(p *simProcess) {
	if state, ok := s.states[p.applied]; ok && state != p.state {
		s.t.Fatalf("%s applied another entry %d than others", p.member.Node(), p.applied)
	}
	s.states[p.applied] = p.state
	s.committed = max(s.committed, p.applied)
}

func (s *sim) check(p *simProcess) {
	status := p.replica.Status()
	if status.Fault != nil {
		s.t.Fatal(status.Fault)
	}
	if status.Role == Leader {
		if other, ok := s.leaders[status.Term]; ok && other != p.member.Node() {
			s.t.Fatalf("term %d has leaders %s and %s", status.Term, other, p.member.Node())
		}
		s.leaders[status.Term] = p.member.Node()
	}
	if status.Cluster != "" && s.cluster != "" && status.Cluster != s.cluster {
		s.t.Fatalf("%s belongs to a second cluster %s besides %s", p.member.Node(), status.Cluster, s.cluster)
	}
	if status.Cluster != "" {
		s.cluster = status.Cluster
	}
}

// leader returns the process that leads the highest term, or nil.
func (s *sim) leader() *simProcess {
	var leader *simProcess
	for _, name := range s.names {
		p := s.procs[name]
		if !p.down && p.replica.role == Leader && (leader == nil || p.replica.hard.Term > leader.replica.hard.Term) {
			leader = p
		}
	}
	return leader
}

// propose makes a proposal at p and returns its id.
func (s *sim) propose(p *simProcess) ProposalID {
	s.proposed++
	p.replica.Propose(s.now, s.proposed, fmt.Appendf(nil, "p%d", s.proposed))
	return s.proposed
}

// commit makes count proposals at p and waits until they are accepted. It makes
// refused ones again.
func (s *sim) commit(p *simProcess, count int) {
	s.t.Helper()
	for range count {
		id := s.propose(p)
		s.until("proposal accepted", 20*time.Second, func() bool {
			result, ok := p.results[id]
			if ok && result.Outcome != Accepted {
				id = s.propose(p)
			}
			return ok && result.Outcome == Accepted
		})
	}
}

func (s *sim) waitLeader() *simProcess {
	s.t.Helper()
	s.until("leader with a commit", 20*time.Second, func() bool {
		p := s.leader()
		return p != nil && p.replica.commit >= p.replica.leading.first
	})
	return s.leader()
}

// waitVoter waits until the present instance of name is a voter at all replicas.
func (s *sim) waitVoter(name zinniasill.NodeID) {
	s.t.Helper()
	s.until("voter "+string(name), 20*time.Second, func() bool {
		for _, p := range s.procs {
			m := p.replica.membership()
			if !p.down && (!m.IsVoter(s.procs[name].member.Node()) || len(m.Learners) > 0) {
				return false
			}
		}
		return true
	})
}

// isWhole reports whether the present instances of all replicas are the voters
// according to the leader, so that one more disk may be lost.
func (s *sim) isWhole() bool {
	leader := s.leader()
	if leader == nil || leader.replica.membershipIndex() > leader.replica.commit {
		return false
	}
	for _, p := range s.procs {
		if !leader.replica.membership().IsVoter(p.member.Node()) {
			return false
		}
	}
	return true
}

func (s *sim) waitEqual() {
	s.t.Helper()
	s.until("all applied", 20*time.Second, func() bool {
		for _, p := range s.procs {
			if p.applied != s.committed {
				return false
			}
		}
		return true
	})
}

// setCut cuts or restores the link from one process to another.
func (s *sim) setCut(from, to zinniasill.NodeID, cut bool) {
	s.cut[[2]zinniasill.NodeID{from, to}] = cut
}
