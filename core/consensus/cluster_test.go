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

// tickInterval is the time between two ticks of the test cluster.
const tickInterval = 10 * time.Millisecond

// memDisk is a data folder in memory.
type memDisk struct {
	Recovered
}

// save performs the writes of a Ready.
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

// testProcess is a process with one replica and its applied state.
type testProcess struct {
	member     Member
	newCluster bool
	firstStart bool
	replica    *Replica
	disk       memDisk
	// state is a hash over all applied entries, and applied the index of the last one.
	state   [sha256.Size]byte
	applied Index
	results map[ProposalID]ProposalResult
	reads   map[ReadID]ReadResult
	down    bool
}

// testMessage is a message in flight that arrives at a time.
type testMessage struct {
	at  time.Time
	env message.Envelope
}

// testCluster runs replicas on a simulated network that loses, duplicates, delays and
// reorders messages.
type testCluster struct {
	t               testing.TB
	rand            *rand.Rand
	now             time.Time
	names           []zinniasill.NodeID
	procs           map[zinniasill.NodeID]*testProcess
	network         []testMessage
	blocked         map[[2]zinniasill.NodeID]bool
	lossRate        float64
	duplicateRate   float64
	maxDelay        time.Duration
	lastInstance    zinniasill.Incarnation
	open            bool
	compactInterval Index

	leaders       map[Term]zinniasill.Node
	appliedStates map[Index][sha256.Size]byte
	committed     Index
	lastProposal  ProposalID
	writtenAt     map[string][]Index
	minReadIndex  map[ReadID]Index
	cluster       zinniasill.ClusterID
}

// newTestCluster returns a cluster with size started processes.
func newTestCluster(t testing.TB, seed uint64, size int, newCluster bool) *testCluster {
	c := &testCluster{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		procs: map[zinniasill.NodeID]*testProcess{}, blocked: map[[2]zinniasill.NodeID]bool{},
		maxDelay: 2 * tickInterval, compactInterval: 50,
		leaders: map[Term]zinniasill.Node{}, appliedStates: map[Index][sha256.Size]byte{},
		writtenAt: map[string][]Index{}, minReadIndex: map[ReadID]Index{},
	}
	for i := range size {
		c.names = append(c.names, zinniasill.NodeID(rune('a'+i)))
	}
	for _, name := range c.names {
		c.lastInstance++
		c.procs[name] = &testProcess{member: Member{Name: name, Instance: c.lastInstance}, newCluster: newCluster}
		c.start(name)
	}
	return c
}

// start starts a process with the content of its disk.
func (c *testCluster) start(name zinniasill.NodeID) {
	p := c.procs[name]
	var peers []Member
	for _, peer := range c.names {
		peers = append(peers, Member{Name: peer})
	}
	if !slices.Contains(c.names, name) {
		peers = append(peers, Member{Name: name})
	}
	recovered := p.disk.Recovered
	recovered.Entries = slices.Clone(recovered.Entries)
	replica, err := New(Config{
		Self: p.member, Peers: peers, NewCluster: p.newCluster,
		Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 2)), TrailingEntries: 20, MaxBatchEntries: 16,
		Open: c.open, FirstStart: p.firstStart,
	}, recovered)
	if err != nil {
		c.t.Fatal(err)
	}
	p.replica = replica
	p.down = false
	p.state = [sha256.Size]byte{}
	p.applied = 0
	p.results = map[ProposalID]ProposalResult{}
	p.reads = map[ReadID]ReadResult{}
}

// loseDisk restarts a process with an empty disk and a new instance.
func (c *testCluster) loseDisk(name zinniasill.NodeID) {
	c.lastInstance++
	p := c.procs[name]
	p.member.Instance = c.lastInstance
	p.disk = memDisk{}
	c.start(name)
}

// run runs the cluster for d.
func (c *testCluster) run(d time.Duration) {
	c.runUntil("", d, nil)
}

// runUntil runs the cluster until done returns true. It fails the test after d.
func (c *testCluster) runUntil(what string, d time.Duration, done func() bool) {
	c.t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		if done != nil && done() {
			return
		}
		c.tick()
	}
	if done != nil {
		for _, name := range c.names {
			c.t.Logf("%s down=%v %+v", name, c.procs[name].down, c.procs[name].replica.Status())
		}
		c.t.Fatalf("after %v, still waiting for: %s", d, what)
	}
}

// tick delivers the messages that are due and ticks all running replicas.
func (c *testCluster) tick() {
	c.now = c.now.Add(tickInterval)
	var pending []testMessage
	messages := c.network
	c.network = nil
	for _, m := range messages {
		p := c.procs[m.env.To.ID]
		switch {
		case m.at.After(c.now):
			pending = append(pending, m)
		case p != nil && !p.down:
			p.replica.Receive(c.now, m.env)
		}
	}
	c.network = append(c.network, pending...)
	for _, name := range c.allNames() {
		p := c.procs[name]
		if !p.down {
			p.replica.Tick(c.now)
			c.drain(p)
		}
	}
}

func (c *testCluster) allNames() []zinniasill.NodeID {
	var names []zinniasill.NodeID
	for name := range c.procs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// drain processes the output of a replica.
func (c *testCluster) drain(p *testProcess) {
	for ready := p.replica.Ready(); !ready.Empty(); ready = p.replica.Ready() {
		c.send(p.replica.Outbox())
		p.disk.save(ready)
		p.replica.Persisted()
		c.apply(p, ready)
	}
	c.send(p.replica.Outbox())
	c.checkStatus(p)
}

// send puts messages on the network, with random loss, duplication and delay.
func (c *testCluster) send(envs []message.Envelope) {
	for _, env := range envs {
		copies := 1
		if c.rand.Float64() < c.duplicateRate {
			copies = 2
		}
		for range copies {
			lost := c.blocked[[2]zinniasill.NodeID{env.From.ID, env.To.ID}] || c.rand.Float64() < c.lossRate
			if !lost {
				at := c.now.Add(time.Duration(c.rand.Int64N(int64(c.maxDelay) + 1)))
				c.network = append(c.network, testMessage{at, env})
			}
		}
	}
}

// apply applies what a Ready returned, and checks its order and its reads.
func (c *testCluster) apply(p *testProcess, ready Ready) {
	if ready.Restore != nil {
		p.state = [sha256.Size]byte(ready.Restore.Data)
		p.applied = ready.Restore.Index
		c.checkApplied(p)
	}
	for _, entry := range ready.Committed {
		if entry.Index != p.applied+1 {
			c.t.Fatalf("%s applied entry %d after %d", p.member.Node(), entry.Index, p.applied)
		}
		p.state = sha256.Sum256(fmt.Appendf(p.state[:], "%d %d %s", entry.Term, entry.Kind, entry.Data))
		p.applied = entry.Index
		if entry.Kind == KindData {
			c.writtenAt[string(entry.Data)] = append(c.writtenAt[string(entry.Data)], entry.Index)
		}
		c.checkApplied(p)
	}
	for _, result := range ready.Proposals {
		p.results[result.ID] = result
	}
	for _, result := range ready.Reads {
		p.reads[result.ID] = result
		if result.OK && (result.Index < c.minReadIndex[result.ID] || p.applied < result.Index) {
			c.t.Fatalf("%s read %d at index %d, applied %d, but %d was committed before",
				p.member.Node(), result.ID, result.Index, p.applied, c.minReadIndex[result.ID])
		}
	}
	if p.applied > c.compactInterval && p.applied%c.compactInterval == 0 {
		p.replica.Compact(p.applied, slices.Clone(p.state[:]))
	}
}

// checkApplied checks that a replica has applied the same entries as the others.
func (c *testCluster) checkApplied(p *testProcess) {
	if state, ok := c.appliedStates[p.applied]; ok && state != p.state {
		c.t.Fatalf("%s applied a different entry %d than others", p.member.Node(), p.applied)
	}
	c.appliedStates[p.applied] = p.state
	c.committed = max(c.committed, p.applied)
}

// checkStatus checks that there is one leader per term and one cluster.
func (c *testCluster) checkStatus(p *testProcess) {
	status := p.replica.Status()
	if status.Fault != nil {
		c.t.Fatal(status.Fault)
	}
	if status.Role == Leader {
		if other, ok := c.leaders[status.Term]; ok && other != p.member.Node() {
			c.t.Fatalf("term %d has leaders %s and %s", status.Term, other, p.member.Node())
		}
		c.leaders[status.Term] = p.member.Node()
	}
	if status.Cluster != "" && c.cluster != "" && status.Cluster != c.cluster {
		c.t.Fatalf("%s belongs to a second cluster %s, the first is %s", p.member.Node(), status.Cluster, c.cluster)
	}
	if status.Cluster != "" {
		c.cluster = status.Cluster
	}
}

// leader returns the leader of the highest term, or nil.
func (c *testCluster) leader() *testProcess {
	var leader *testProcess
	for _, name := range c.names {
		p := c.procs[name]
		if !p.down && p.replica.role == Leader && (leader == nil || p.replica.hard.Term > leader.replica.hard.Term) {
			leader = p
		}
	}
	return leader
}

// propose makes a proposal at p and returns its id.
func (c *testCluster) propose(p *testProcess) ProposalID {
	c.lastProposal++
	p.replica.Propose(c.now, c.lastProposal, fmt.Appendf(nil, "p%d", c.lastProposal))
	return c.lastProposal
}

// commit makes count proposals at p and waits until they are accepted. It retries those
// that are not.
func (c *testCluster) commit(p *testProcess, count int) {
	c.t.Helper()
	for range count {
		id := c.propose(p)
		c.runUntil("an accepted proposal", 20*time.Second, func() bool {
			result, ok := p.results[id]
			if ok && result.Outcome != Accepted {
				id = c.propose(p)
			}
			return ok && result.Outcome == Accepted
		})
	}
}

// waitLeader waits until a leader has committed an entry of its term, and returns it.
func (c *testCluster) waitLeader() *testProcess {
	c.t.Helper()
	c.runUntil("a leader that has committed an entry of its term", 20*time.Second, func() bool {
		p := c.leader()
		return p != nil && p.replica.commit >= p.replica.leading.firstIndex
	})
	return c.leader()
}

// waitVoter waits until the current instance of name is a voter at all replicas.
func (c *testCluster) waitVoter(name zinniasill.NodeID) {
	c.t.Helper()
	c.runUntil("voter "+string(name), 20*time.Second, func() bool {
		for _, p := range c.procs {
			m := p.replica.membership()
			if !p.down && (!m.IsVoter(c.procs[name].member.Node()) || len(m.Learners) > 0) {
				return false
			}
		}
		return true
	})
}

// allVoters reports whether the current instances of all replicas are voters at the leader,
// so that another disk may be lost.
func (c *testCluster) allVoters() bool {
	leader := c.leader()
	if leader == nil || leader.replica.membershipIndex() > leader.replica.commit {
		return false
	}
	for _, p := range c.procs {
		if !leader.replica.membership().IsVoter(p.member.Node()) {
			return false
		}
	}
	return true
}

// waitAllApplied waits until all replicas have applied all committed entries.
func (c *testCluster) waitAllApplied() {
	c.t.Helper()
	c.runUntil("all replicas to apply all committed entries", 20*time.Second, func() bool {
		for _, p := range c.procs {
			if p.applied != c.committed {
				return false
			}
		}
		return true
	})
}

// setBlocked blocks or restores the link from one process to another.
func (c *testCluster) setBlocked(from, to zinniasill.NodeID, blocked bool) {
	c.blocked[[2]zinniasill.NodeID{from, to}] = blocked
}
