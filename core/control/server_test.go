package control

import (
	"errors"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

const cluster = zinniasill.ClusterID("c1")

// epochStart is where the clocks of the tests begin.
var epochStart = time.Unix(1_000_000, 0).UTC()

// bench runs one server with a log that commits at once, in virtual time.
type bench struct {
	t      *testing.T
	now    time.Time
	server *Server
	index  uint64
	// log holds the committed commands of the duties and the operators.
	log []Command
	// hold keeps proposals from being committed.
	hold    bool
	replies []message.RenewReply
}

func newBench(t *testing.T) *bench {
	self := zinniasill.Node{ID: "control-0", Incarnation: 1}
	b := &bench{t: t, now: epochStart, server: NewServer(ServerConfig{Self: self, Cluster: cluster, Machine: New()})}
	b.server.SetLeader(b.now, self)
	return b
}

// step carries out the server's outputs.
func (b *bench) step() {
	for _, data := range b.server.Proposals() {
		if b.hold {
			continue
		}
		command, err := Decode(data)
		if err != nil {
			b.t.Fatal(err)
		}
		b.log = append(b.log, command)
		b.index++
		b.server.Apply(b.index, data)
	}
	for _, id := range b.server.Reads(b.now) {
		b.server.ReadConfirmed(id, b.index)
	}
	for _, env := range b.server.Outbox() {
		if reply, ok := env.Body.(message.RenewReply); ok {
			b.replies = append(b.replies, reply)
		}
	}
}

// run lets time pass in ticks of 50 ms, with renewals of the entries every 500 ms.
func (b *bench) run(d time.Duration, entries ...catalog.NodeEntry) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		if b.now.Sub(epochStart)%(500*time.Millisecond) == 0 {
			for _, entry := range entries {
				b.renew(entry)
			}
		}
		b.server.Tick(b.now)
		b.step()
	}
}

func (b *bench) renew(entry catalog.NodeEntry) {
	b.server.Receive(b.now, message.Envelope{
		Version: message.Version, Cluster: cluster, From: entry.Node, Body: message.Renew{Sequence: 1, Entry: entry},
	})
	b.step()
}

func (b *bench) count(match func(Command) bool) int {
	count := 0
	for _, command := range b.log {
		if match(command) {
			count++
		}
	}
	return count
}

func isDead(c Command) bool  { return c.Dead != nil }
func isEpoch(c Command) bool { return c.Epoch != nil }

// TestDeadNode guards against an incarnation that is declared dead too early, not
// at all, or registered again afterwards.
func TestDeadNode(t *testing.T) {
	b := newBench(t)
	entry := testEntry(agentNode("a", 1), catalog.RoleAgent)
	b.run(time.Second, entry)
	// The last renewal was 500 ms ago.
	b.run(2450 * time.Millisecond)
	if b.count(isDead) != 0 {
		t.Fatal("declared dead before 3 s without a renewal")
	}
	b.run(200 * time.Millisecond)
	if b.count(isDead) != 1 {
		t.Fatal("not declared dead after 3 s without a renewal")
	}
	b.replies = nil
	b.run(time.Second, entry)
	if len(b.replies) == 0 || !b.replies[0].Dead || b.replies[0].Length != 0 {
		t.Errorf("replies %+v, want dead without a lease", b.replies)
	}
	if b.server.machine.Catalog().Alive(entry.Node) {
		t.Error("a dead incarnation is registered again")
	}
}

// TestNewLeaderStartsCounting guards against nodes that are declared dead for
// renewals that a new leader, or one that was stopped, could not have seen.
func TestNewLeaderStartsCounting(t *testing.T) {
	tests := map[string]func(b *bench){
		"new leader": func(b *bench) {
			b.server.SetLeader(b.now, zinniasill.Node{ID: "control-1", Incarnation: 1})
			b.run(10 * time.Second)
			b.server.SetLeader(b.now, b.server.cfg.Self)
		},
		"stopped process": func(b *bench) { b.now = b.now.Add(10 * time.Second) },
	}
	for name, interrupt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			entry := testEntry(agentNode("a", 1), catalog.RoleAgent)
			b.run(time.Second, entry)
			interrupt(b)
			b.run(2900 * time.Millisecond)
			if b.count(isDead) != 0 {
				t.Error("declared dead within 3 s")
			}
			b.run(500 * time.Millisecond)
			if b.count(isDead) != 1 {
				t.Error("not declared dead after 3 s")
			}
		})
	}
}

// TestReplacement guards against two processes with one id that replace each
// other, and against a restarted node that is not registered.
func TestReplacement(t *testing.T) {
	b := newBench(t)
	first, second := testEntry(agentNode("a", 1), catalog.RoleAgent), testEntry(agentNode("a", 2), catalog.RoleAgent)
	b.run(5*time.Second, first, second)
	if !b.server.machine.Catalog().Alive(first.Node) {
		t.Fatal("a renewing incarnation was replaced")
	}
	b.run(2*time.Second, second)
	if !b.server.machine.Catalog().Alive(second.Node) || !b.server.machine.Dead(first.Node) {
		t.Error("the later incarnation has not replaced the earlier one")
	}
}

// TestRestartOfAll guards against a new leader that keeps restarted nodes waiting where
// their names show that their former processes are gone: after a loss of power of all
// machines, entries refused everything for a second.
func TestRestartOfAll(t *testing.T) {
	b := newBench(t)
	b.server = NewServer(ServerConfig{
		Self: b.server.cfg.Self, Cluster: cluster, Machine: New(),
		LeaderTasks: LeaderTasksConfig{ReplaceTimeout: 100 * time.Millisecond},
	})
	b.server.SetLeader(b.now, b.server.cfg.Self)
	first, second := testEntry(agentNode("a", 1), catalog.RoleAgent), testEntry(agentNode("a", 2), catalog.RoleAgent)
	b.run(time.Second, first)
	b.server.SetLeader(b.now, zinniasill.Node{})
	b.server.SetLeader(b.now, b.server.cfg.Self)
	b.renew(second)
	b.run(250 * time.Millisecond)
	if !b.server.machine.Catalog().Alive(second.Node) {
		t.Error("the restarted node is not listed 250 ms after a leader was elected")
	}
}

// TestEarlyCatalog guards against nodes that get the configuration only once they are
// registered, and against a lease for a node that nothing watches yet.
func TestEarlyCatalog(t *testing.T) {
	b := newBench(t)
	b.hold = true
	entry := testEntry(agentNode("a", 1), catalog.RoleEntry)
	b.renew(entry)
	b.step()
	if len(b.replies) != 1 || b.replies[0].Length != 0 {
		t.Fatalf("replies before the registration: %+v", b.replies)
	}
	b.step()
	if len(b.replies) != 1 {
		t.Errorf("%d early replies, want 1", len(b.replies))
	}
	b.hold = false
	b.run(500*time.Millisecond, entry)
	if last := b.replies[len(b.replies)-1]; last.Length == 0 {
		t.Errorf("no lease after the registration: %+v", last)
	}
}

// TestEpochDuties guards against epochs that follow each other too fast, that miss
// a change of the agents, and that are kept or dropped at the wrong time.
func TestEpochDuties(t *testing.T) {
	b := newBench(t)
	var entries []catalog.NodeEntry
	for i := range 10 {
		entry := testEntry(agentNode(string(rune('a'+i)), 1), catalog.RoleAgent)
		entries = append(entries, entry)
		b.run(100*time.Millisecond, entries...)
		b.renew(entry)
	}
	b.run(time.Second, entries...)
	if n := b.count(isEpoch); n < 2 || n > 4 {
		t.Errorf("%d epochs in 2 s, want at most one in 500 ms", n)
	}
	epochs := b.server.machine.Catalog().Epochs
	if got := len(epochs[len(epochs)-1].Members); got != 10 {
		t.Errorf("the last epoch has %d members, want 10", got)
	}
	before := b.server.machine.Catalog().CurrentEpoch()
	b.run(9*time.Minute, entries...)
	if got := b.server.machine.Catalog(); got.CurrentEpoch() != before+1 || got.Epochs[0].Number != 1 {
		t.Errorf("after 9 min: epochs %d to %d, want 1 to %d", got.Epochs[0].Number, got.CurrentEpoch(), before+1)
	}
	b.run(2*time.Minute, entries...)
	if got := b.server.machine.Catalog(); got.CurrentEpoch() != before+2 || got.Epochs[0].Number != before {
		t.Errorf("after 11 min: epochs %d to %d, want %d to %d", got.Epochs[0].Number, got.CurrentEpoch(), before, before+2)
	}
}

// TestEpochsOfRollingRestart guards against a rolling restart that fills the
// retention window: each epoch costs every node memory and every claim a look-up.
func TestEpochsOfRollingRestart(t *testing.T) {
	b := newBench(t)
	entries := []catalog.NodeEntry{
		testEntry(agentNode("a", 1), catalog.RoleAgent),
		testEntry(agentNode("b", 1), catalog.RoleAgent),
	}
	most := 0
	for range 1500 {
		entries[0].State = catalog.Leaving
		b.run(500*time.Millisecond, entries...)
		entries[0].State = catalog.Serving
		b.run(500*time.Millisecond, entries...)
		most = max(most, len(b.server.machine.Catalog().Epochs))
	}
	if most < fastEpochs || most > maxEpochs+2 {
		t.Errorf("at most %d epochs were retained, want %d to %d", most, fastEpochs, maxEpochs+2)
	}
}

// TestReportedHandover guards against a planned stop whose records are not listed.
func TestReportedHandover(t *testing.T) {
	b := newBench(t)
	stopping, host := testEntry(agentNode("a", 1), catalog.RoleAgent), testEntry(agentNode("b", 1), catalog.RoleAgent)
	b.run(time.Second, stopping, host)
	stopping.State, stopping.Host = catalog.Leaving, host.Node
	b.run(time.Second, stopping, host)
	if got, ok := b.server.machine.Catalog().Host(stopping.Node); !ok || got != host.Node {
		t.Errorf("host %v %t, want %v", got, ok, host.Node)
	}
}

// TestFollowerTellsLeader guards against nodes that renew at a follower and are
// declared dead by the leader.
func TestFollowerTellsLeader(t *testing.T) {
	leader, follower := newBench(t), newBench(t)
	follower.server.SetLeader(epochStart, zinniasill.Node{ID: "control-1", Incarnation: 1})
	entry := testEntry(agentNode("a", 1), catalog.RoleAgent)
	follower.renew(entry)
	follower.server.Tick(epochStart)
	for _, env := range follower.server.Outbox() {
		leader.server.Receive(epochStart, env)
	}
	leader.step()
	if !leader.server.machine.Catalog().Alive(entry.Node) {
		t.Error("the leader has not registered the node")
	}
}

// TestSubmit guards against answers that are lost or given twice, and commands
// that are applied twice, when proposals get lost.
func TestSubmit(t *testing.T) {
	b := newBench(t)
	b.hold = true
	var results []Result
	var errs []error
	done := func(result Result, err error) { results, errs = append(results, result), append(errs, err) }
	command := Command{Request: "r", Team: &PutTeam{Name: "atlas", Quota: 3}}
	b.server.Submit(b.now, command, done)
	b.run(time.Second)
	b.hold = false
	b.run(time.Second)
	b.server.Submit(b.now, command, done)
	b.run(time.Second)
	if len(results) != 2 || results[0].Revision != 1 || results[1].Revision != 1 {
		t.Fatalf("results %+v (%v), want revision 1 twice", results, errs)
	}
	b.hold = true
	b.server.Submit(b.now, Command{Request: "s", Team: &PutTeam{Name: "atlas"}}, done)
	b.run(operatorTimeout + time.Second)
	if len(errs) != 3 || !errors.Is(errs[2], ErrTimeout) {
		t.Errorf("errors %v, want a timeout at the end", errs)
	}
}

// TestReadWithoutLeader guards against requests that go on waiting after a leader was
// elected, because a read index was asked for when none was known: after all processes
// had started again at once, nodes got their configuration a second late.
func TestReadWithoutLeader(t *testing.T) {
	b := newBench(t)
	answered := false
	b.server.Read(b.now, func(_ *catalog.Catalog, err error) { answered = err == nil })
	for _, id := range b.server.Reads(b.now) {
		b.server.ReadFailed(id)
	}
	if ids := b.server.Reads(b.now); len(ids) > 0 {
		t.Error("a read that failed was asked for again in the same step")
	}
	b.now = b.now.Add(10 * time.Millisecond)
	b.server.Tick(b.now)
	for _, id := range b.server.Reads(b.now) {
		b.server.ReadConfirmed(id, b.index)
	}
	if !answered {
		t.Error("the read was not asked for again with the next tick")
	}
}
