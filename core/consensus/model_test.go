package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/internal/explore"
)

// modelSize is the number of replicas in the model.
const modelSize = 3

// modelTime is constant, because events of the model replace timeouts.
var modelTime = time.Unix(1000, 0)

// anyOrder as the bound on reorders allows messages to arrive in any order or never.
const anyOrder = -1

// bounds limits how often each kind of event occurs on one path. Messages arrive in the
// order in which they were sent, except for the given numbers of messages that are
// dropped, reordered or duplicated. A block drops all messages from one replica to another
// from then on.
type bounds struct {
	drops, reorders, blocks, duplicates             int
	elections, stepDowns, proposals, resends, reads int
	crashes, diskLosses                             int
	// preVote starts elections with a pre-vote. Without it the model is more
	// permissive, because any replica may start an election at any time.
	preVote bool
}

// faults are deliberate faults that the model check must find.
type faults struct {
	loseVote         bool // the vote is not restored after a crash
	skipWrites       bool // entries are acknowledged and counted but not durable
	smallQuorum      bool // a leader commits with one replica fewer than a quorum
	reuseInstance    bool // a replica that lost its disk reuses its instance
	unconfirmedReads bool // a leader answers reads without a heartbeat round
}

// modelMessage is a message in flight with a key that identifies its content.
type modelMessage struct {
	key string
	env message.Envelope
}

// commitment is a committed entry.
type commitment struct {
	entry string
	// term is the lowest term in which a replica returned the entry as committed.
	term Term
}

// simulation is one state of the model: replicas, disks, messages in flight and history.
type simulation struct {
	remaining    bounds
	faults       faults
	replicas     [modelSize]*Replica
	keys         [modelSize]string
	disks        [modelSize]memDisk
	network      []modelMessage // in the order of sending, without duplicates
	blocked      string         // the one-way links that are blocked, as "from>to" ids
	nextInstance zinniasill.Incarnation

	leaders      map[Term]zinniasill.Node
	committed    map[Index]commitment
	minReadIndex map[ReadID]Index
	violation    error
	// goal, if set, is the goal of the model. reached counts the states in which it
	// holds, and is shared by all states. A model that never reaches its goal fails.
	goal    func(s *simulation) bool
	reached *int
}

func modelMember(i int, instance zinniasill.Incarnation) Member {
	return Member{Name: zinniasill.NodeID(rune('a' + i)), Instance: instance}
}

// newSimulation returns the state of replicas that have formed a cluster.
func newSimulation(remaining bounds, f faults) *simulation {
	s := &simulation{
		remaining: remaining, faults: f, nextInstance: modelSize,
		leaders: map[Term]zinniasill.Node{}, committed: map[Index]commitment{}, minReadIndex: map[ReadID]Index{},
	}
	var voters []Member
	for i := range modelSize {
		voters = append(voters, modelMember(i, zinniasill.Incarnation(i+1)))
	}
	for i, voter := range voters {
		s.disks[i].Hard = HardState{Cluster: "x", Term: 1}
		s.disks[i].Entries = []Entry{{Index: 1, Term: 1, Kind: KindMembership, Membership: &Membership{Voters: voters}}}
		s.start(i, voter)
	}
	return s
}

// start starts replica i with the content of its disk.
func (s *simulation) start(i int, self Member) {
	var peers []Member
	for j := range modelSize {
		peers = append(peers, modelMember(j, 0))
	}
	recovered := s.disks[i].Recovered
	recovered.Entries = slices.Clone(recovered.Entries)
	if s.faults.loseVote {
		recovered.Hard.Vote = zinniasill.Node{}
	}
	replica, err := New(Config{
		Self: self, Peers: peers, Rand: rand.New(rand.NewPCG(0, 0)),
		MinElectionTimeout: time.Second, MaxElectionTimeout: time.Second,
	}, recovered)
	if err != nil {
		panic(err)
	}
	replica.now = modelTime
	s.replicas[i] = replica
	s.drain(i, false)
}

// with returns a copy of the state after calling do with replica i. If crash is set, the
// replica crashes before the writes that do caused, and with returns nil if there were
// none.
func (s *simulation) with(i int, crash bool, do func(next *simulation, r *Replica)) *simulation {
	next := *s
	next.network = slices.Clone(s.network)
	next.leaders = maps.Clone(s.leaders)
	next.committed = maps.Clone(s.committed)
	next.minReadIndex = maps.Clone(s.minReadIndex)
	r := cloneReplica(s.replicas[i])
	next.replicas[i] = r
	next.setQuorum(r)
	do(&next, r)
	if crashed := next.drain(i, crash); crash && !crashed {
		return nil
	}
	next.prune()
	return &next
}

// cloneReplica returns a deep copy of a replica, except for data that is never modified.
func cloneReplica(r *Replica) *Replica {
	clone := *r
	clone.log.entries = slices.Clone(r.log.entries)
	clone.memberships = slices.Clone(r.memberships)
	clone.votes = maps.Clone(r.votes)
	clone.proposals = slices.Clone(r.proposals)
	clone.reads = slices.Clone(r.reads)
	clone.forming.known = slices.Clone(r.forming.known)
	clone.leading.followers = nil
	if r.leading.followers != nil {
		clone.leading.followers = map[zinniasill.Node]*follower{}
	}
	for node, f := range r.leading.followers {
		copied := *f
		clone.leading.followers[node] = &copied
	}
	return &clone
}

// setQuorum injects the fault smallQuorum.
func (s *simulation) setQuorum(r *Replica) {
	if s.faults.smallQuorum && r.role == Leader {
		r.quorum = func(voters int) int { return voters / 2 }
	}
}

// drain processes the output of replica i as the owner of a replica does. It reports
// whether the replica crashed before its writes.
func (s *simulation) drain(i int, crash bool) (crashed bool) {
	r := s.replicas[i]
	s.setQuorum(r)
	for ready := r.Ready(); !ready.Empty(); ready = r.Ready() {
		s.send(r.Outbox())
		if crash && ready.Writes() {
			s.start(i, r.cfg.Self)
			return true
		}
		if s.faults.skipWrites {
			ready.Entries = nil
		}
		s.disks[i].save(ready)
		r.Persisted()
		s.observe(r, ready)
		s.setQuorum(r)
	}
	s.send(r.Outbox())
	s.observeRole(r)
	r.lastReceived = time.Time{}
	for node, f := range r.leading.followers {
		f.lastReceived = time.Time{}
		if s.isRunning(node) {
			f.lastReceived = modelTime
		}
	}
	s.keys[i] = replicaKey(r)
	return false
}

// prune removes messages that can no longer have an effect at their receiver. This is
// equivalent to losing them.
func (s *simulation) prune() {
	s.network = slices.DeleteFunc(s.network, func(m modelMessage) bool {
		r := s.replicas[int(m.env.To.ID[0]-'a')]
		return m.env.To.Incarnation != 0 && m.env.To != r.self || r.isObsolete(m.env)
	})
}

// isObsolete reports whether a reply has no effect now or later: the term never
// decreases, a replica is a candidate at most once in a term, and the progress of a
// follower only increases.
func (r *Replica) isObsolete(env message.Envelope) bool {
	switch body := env.Body.(type) {
	case VoteReply:
		pending := r.role == Candidate && body.Term == r.hard.Term && body.Granted && !r.votes[env.From]
		return body.Term <= r.hard.Term && !pending
	case AppendReply:
		f := r.leading.followers[env.From]
		if body.Term != r.hard.Term || r.role != Leader || f == nil {
			return body.Term <= r.hard.Term
		}
		return body.OK && !f.probing && body.Match <= f.match && body.Round <= f.round
	default:
		return false
	}
}

// isRunning reports whether a replica with this name and instance is running.
func (s *simulation) isRunning(node zinniasill.Node) bool {
	return slices.ContainsFunc(s.replicas[:], func(r *Replica) bool { return r != nil && r.self == node })
}

// send checks the votes in messages and puts the messages on the network.
func (s *simulation) send(envs []message.Envelope) {
	for _, env := range envs {
		m := modelMessage{key: fmt.Sprintf("%v>%v %T%+v", env.From, env.To, env.Body, env.Body), env: env}
		if body, ok := env.Body.(Append); ok {
			m.key = fmt.Sprintf("%v>%v A%d %d %d %d %d %s", env.From, env.To, body.Term, body.PrevIndex,
				body.PrevTerm, body.Commit, body.Round, entriesKey(body.Entries))
		}
		if body, ok := env.Body.(VoteReply); ok && body.Granted {
			s.observeVote(env.From, env.To, body.Term)
		}
		s.enqueue(m)
	}
}

// enqueue puts a message on the network unless an equal one is in flight or the link is
// blocked. If messages arrive in any order, the network is sorted to reduce the number of
// states.
func (s *simulation) enqueue(m modelMessage) {
	present := slices.ContainsFunc(s.network, func(other modelMessage) bool { return other.key == m.key })
	if present || strings.Contains(s.blocked, link(m.env)) {
		return
	}
	position := len(s.network)
	if s.remaining.reorders == anyOrder {
		position, _ = slices.BinarySearchFunc(s.network, m.key, func(m modelMessage, key string) int {
			return strings.Compare(m.key, key)
		})
	}
	s.network = slices.Insert(s.network, position, m)
}

// link returns the one-way link of a message.
func link(env message.Envelope) string {
	return string(env.From.ID + ">" + env.To.ID + " ")
}

// entriesKey returns a key that identifies the content of entries.
func entriesKey(entries []Entry) string {
	var key []byte
	for _, e := range entries {
		key = fmt.Appendf(key, "%d.%d.%d.%s", e.Index, e.Term, e.Kind, e.Data)
		if e.Membership != nil {
			key = fmt.Appendf(key, "%v", *e.Membership)
		}
	}
	return string(key)
}

// replicaKey returns a key that identifies the state of a replica.
func replicaKey(r *Replica) string {
	key := fmt.Appendf(nil, "%v %v %v %v %d %d %s|", r.self, r.hard, r.role, r.leader, r.commit, r.log.stable,
		entriesKey(r.log.entries))
	for _, node := range slices.SortedFunc(maps.Keys(r.votes), compareNodes) {
		key = fmt.Appendf(key, "%v ", node)
	}
	for _, node := range slices.SortedFunc(maps.Keys(r.leading.followers), compareNodes) {
		f := r.leading.followers[node]
		key = fmt.Appendf(key, "%v %d %d %v %v %d ", node, f.match, f.next, f.probing, f.probedAt.IsZero(), f.round)
	}
	return string(fmt.Appendf(key, "%d %v %v", r.leading.round, r.reads, r.out.reads))
}

func compareNodes(a, b zinniasill.Node) int {
	return strings.Compare(a.String(), b.String())
}

// observe checks the committed entries and reads that a replica returned against the
// history.
func (s *simulation) observe(r *Replica, ready Ready) {
	for i := range ready.Committed {
		entry := ready.Committed[i]
		key := entriesKey([]Entry{entry})
		first, ok := s.committed[entry.Index]
		if ok && first.entry != key {
			s.violation = fmt.Errorf("%v committed %s, but %s was committed before", r.self, key, first.entry)
		}
		if !ok {
			first = commitment{entry: key, term: r.hard.Term}
		}
		first.term = min(first.term, r.hard.Term)
		s.committed[entry.Index] = first
	}
	for _, result := range ready.Reads {
		if result.OK && result.Index < s.minReadIndex[result.ID] {
			s.violation = fmt.Errorf("%v read at %d, but %d was committed before", r.self, result.Index, s.minReadIndex[result.ID])
		}
	}
}

// observeVote checks that a vote is sent by a running instance and is durable when it is
// sent.
func (s *simulation) observeVote(voter, candidate zinniasill.Node, term Term) {
	hard := s.disks[int(voter.ID[0]-'a')].Hard
	if !s.isRunning(voter) || hard.Term != term || hard.Vote != candidate {
		s.violation = fmt.Errorf("%v votes for %v in term %d, but its durable state is %+v", voter, candidate, term, hard)
	}
}

// observeRole checks that a leader is the only one in its term and has all entries that
// were committed in earlier terms.
func (s *simulation) observeRole(r *Replica) {
	if r.fault != nil {
		s.violation = r.fault
	}
	if r.role != Leader {
		return
	}
	if other, ok := s.leaders[r.hard.Term]; ok && other != r.self {
		s.violation = fmt.Errorf("term %d has leaders %v and %v", r.hard.Term, other, r.self)
	}
	s.leaders[r.hard.Term] = r.self
	for index, c := range s.committed {
		if c.term >= r.hard.Term {
			continue
		}
		if index > r.log.last() || entriesKey(r.log.slice(index, index)) != c.entry {
			s.violation = fmt.Errorf("leader %v of term %d lacks committed entry %s", r.self, r.hard.Term, c.entry)
		}
	}
}

// Check implements explore.State.
func (s *simulation) Check() error {
	if s.goal != nil && s.goal(s) {
		*s.reached++
	}
	return s.violation
}

// Key implements explore.State.
func (s *simulation) Key() []byte {
	key := fmt.Appendf(nil, "%s %v %v %v %v\n", s.blocked, s.remaining, s.leaders, s.committed, s.minReadIndex)
	for i := range s.replicas {
		key = append(append(key, s.keys[i]...), '\n')
	}
	for i := range s.network {
		key = append(append(key, s.network[i].key...), '\n')
	}
	return key
}

var _ explore.State = (*simulation)(nil)
