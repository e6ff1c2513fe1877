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

// modelTime is constant: the steps of the model replace the passing of time.
var modelTime = time.Unix(1000, 0)

// anyOrder as the bound on reordering lets messages arrive in any order or never.
const anyOrder = -1

// bounds limits how often each kind of step occurs on one path. Messages arrive in
// the order in which they were sent, but for the stated numbers of messages that
// are lost, overtake others or are repeated. A cut stops all messages from one
// replica to another until the end.
type bounds struct {
	drops, reorders, cuts, repeats                  int
	elections, stepDowns, proposals, resends, reads int
	crashes, losses                                 int
	// preVote starts elections with a pre-vote instead of at once. Without it the
	// model is more permissive, because any replica may stand at any time.
	preVote bool
}

// faults are deliberate errors that the model check must find.
type faults struct {
	forgetVote    bool // the vote is not on disk after a crash
	skipWrites    bool // entries are acknowledged and counted but not on disk
	smallQuorum   bool // a leader counts one replica fewer for a commit
	keepsIdentity bool // a replica that lost its disk keeps its instance
	blindReads    bool // a leader answers reads without a quorum round
}

type modelMessage struct {
	key string
	env message.Envelope
}

type commitment struct {
	entry string
	// term is the lowest term in which the entry was seen as committed.
	term Term
}

// world is one state of the model: replicas, disks, messages and history.
type world struct {
	left     bounds
	faults   faults
	replicas [modelSize]*Replica
	keys     [modelSize]string
	disks    [modelSize]memDisk
	network  []modelMessage // in the order of sending, without equal ones
	cut      string         // the one-way links that are cut, as "from>to" ids
	next     zinniasill.Incarnation

	leaders   map[Term]zinniasill.Node
	committed map[Index]commitment
	floors    map[ReadID]Index
	broken    error
	// goal is counted in reached, which all states share, so that a model that never
	// gets to what it is about fails.
	goal    func(w *world) bool
	reached *int
}

func modelMember(i int, instance zinniasill.Incarnation) Member {
	return Member{Name: zinniasill.NodeID(rune('a' + i)), Instance: instance}
}

// newWorld returns three replicas that have formed a cluster.
func newWorld(left bounds, f faults) *world {
	w := &world{
		left: left, faults: f, next: modelSize,
		leaders: map[Term]zinniasill.Node{}, committed: map[Index]commitment{}, floors: map[ReadID]Index{},
	}
	var voters []Member
	for i := range modelSize {
		voters = append(voters, modelMember(i, zinniasill.Incarnation(i+1)))
	}
	for i, voter := range voters {
		w.disks[i].Hard = HardState{Cluster: "x", Term: 1}
		w.disks[i].Entries = []Entry{{Index: 1, Term: 1, Kind: KindMembership, Membership: &Membership{Voters: voters}}}
		w.start(i, voter)
	}
	return w
}

func (w *world) start(i int, self Member) {
	var peers []Member
	for j := range modelSize {
		peers = append(peers, modelMember(j, 0))
	}
	recovered := w.disks[i].Recovered
	recovered.Entries = slices.Clone(recovered.Entries)
	if w.faults.forgetVote {
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
	w.replicas[i] = replica
	w.finish(i, false)
}

// with returns a copy of the world after do was carried out at replica i. If
// crash is set, the replica crashes before the writes that do led to, and with
// returns nil if there were none.
func (w *world) with(i int, crash bool, do func(next *world, r *Replica)) *world {
	next := *w
	next.network = slices.Clone(w.network)
	next.leaders = maps.Clone(w.leaders)
	next.committed = maps.Clone(w.committed)
	next.floors = maps.Clone(w.floors)
	r := cloneReplica(w.replicas[i])
	next.replicas[i] = r
	next.setQuorum(r)
	do(&next, r)
	if crashed := next.finish(i, crash); crash && !crashed {
		return nil
	}
	next.prune()
	return &next
}

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

func (w *world) setQuorum(r *Replica) {
	if w.faults.smallQuorum && r.role == Leader {
		r.quorum = func(voters int) int { return voters / 2 }
	}
}

// finish carries out the outputs of replica i as the daemon's loop does. It
// reports whether the replica crashed before its writes.
func (w *world) finish(i int, crash bool) (crashed bool) {
	r := w.replicas[i]
	w.setQuorum(r)
	for ready := r.Ready(); !ready.Empty(); ready = r.Ready() {
		w.send(r.Outbox())
		if crash && ready.Writes() {
			w.start(i, r.cfg.Self)
			return true
		}
		if w.faults.skipWrites {
			ready.Entries = nil
		}
		w.disks[i].save(ready)
		r.Persisted()
		w.observe(r, ready)
		w.setQuorum(r)
	}
	w.send(r.Outbox())
	w.observeRole(r)
	r.heard = time.Time{}
	for node, f := range r.leading.followers {
		f.heard = time.Time{}
		if w.lives(node) {
			f.heard = modelTime
		}
	}
	w.keys[i] = replicaKey(r)
	return false
}

// prune removes messages that can no longer have an effect at their receiver,
// which is the same as losing them.
func (w *world) prune() {
	w.network = slices.DeleteFunc(w.network, func(m modelMessage) bool {
		r := w.replicas[int(m.env.To.ID[0]-'a')]
		return m.env.To.Incarnation != 0 && m.env.To != r.self || r.isUseless(m.env)
	})
}

// isUseless reports whether a reply has no effect now nor later: the term never
// falls, a replica stands at most once in a term, and what a leader knows of a
// follower only grows.
func (r *Replica) isUseless(env message.Envelope) bool {
	switch body := env.Body.(type) {
	case VoteReply:
		waits := r.role == Candidate && body.Term == r.hard.Term && body.Granted && !r.votes[env.From]
		return body.Term <= r.hard.Term && !waits
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

// lives reports whether a process with this identity runs.
func (w *world) lives(node zinniasill.Node) bool {
	return slices.ContainsFunc(w.replicas[:], func(r *Replica) bool { return r != nil && r.self == node })
}

func (w *world) send(envs []message.Envelope) {
	for _, env := range envs {
		m := modelMessage{key: fmt.Sprintf("%v>%v %T%+v", env.From, env.To, env.Body, env.Body), env: env}
		if body, ok := env.Body.(Append); ok {
			m.key = fmt.Sprintf("%v>%v A%d %d %d %d %d %s", env.From, env.To, body.Term, body.PrevIndex,
				body.PrevTerm, body.Commit, body.Round, entriesKey(body.Entries))
		}
		if body, ok := env.Body.(VoteReply); ok && body.Granted {
			w.observeVote(env.From, env.To, body.Term)
		}
		w.post(m)
	}
}

// post puts a message on the network. Without an order of messages, the network is
// sorted, so that fewer states differ.
func (w *world) post(m modelMessage) {
	known := slices.ContainsFunc(w.network, func(other modelMessage) bool { return other.key == m.key })
	if known || strings.Contains(w.cut, link(m.env)) {
		return
	}
	at := len(w.network)
	if w.left.reorders == anyOrder {
		at, _ = slices.BinarySearchFunc(w.network, m.key, func(m modelMessage, key string) int {
			return strings.Compare(m.key, key)
		})
	}
	w.network = slices.Insert(w.network, at, m)
}

func link(env message.Envelope) string {
	return string(env.From.ID + ">" + env.To.ID + " ")
}

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

// observe checks what a replica hands out against the history.
func (w *world) observe(r *Replica, ready Ready) {
	for i := range ready.Committed {
		entry := ready.Committed[i]
		key := entriesKey([]Entry{entry})
		known, ok := w.committed[entry.Index]
		if ok && known.entry != key {
			w.broken = fmt.Errorf("%v committed %s, but %s was committed before", r.self, key, known.entry)
		}
		if !ok {
			known = commitment{entry: key, term: r.hard.Term}
		}
		known.term = min(known.term, r.hard.Term)
		w.committed[entry.Index] = known
	}
	for _, result := range ready.Reads {
		if result.OK && result.Index < w.floors[result.ID] {
			w.broken = fmt.Errorf("%v read at %d, but %d was committed before", r.self, result.Index, w.floors[result.ID])
		}
	}
}

// observeVote checks that a vote is cast by the identity of a running process and
// is on its disk when it leaves.
func (w *world) observeVote(voter, candidate zinniasill.Node, term Term) {
	hard := w.disks[int(voter.ID[0]-'a')].Hard
	if !w.lives(voter) || hard.Term != term || hard.Vote != candidate {
		w.broken = fmt.Errorf("%v votes for %v in term %d, but has %+v on disk", voter, candidate, term, hard)
	}
}

func (w *world) observeRole(r *Replica) {
	if r.fault != nil {
		w.broken = r.fault
	}
	if r.role != Leader {
		return
	}
	if other, ok := w.leaders[r.hard.Term]; ok && other != r.self {
		w.broken = fmt.Errorf("term %d has leaders %v and %v", r.hard.Term, other, r.self)
	}
	w.leaders[r.hard.Term] = r.self
	for index, known := range w.committed {
		if known.term >= r.hard.Term {
			continue
		}
		if index > r.log.last() || entriesKey(r.log.slice(index, index)) != known.entry {
			w.broken = fmt.Errorf("leader %v of term %d lacks committed entry %s", r.self, r.hard.Term, known.entry)
		}
	}
}

// Check implements explore.State.
func (w *world) Check() error {
	if w.goal != nil && w.goal(w) {
		*w.reached++
	}
	return w.broken
}

// Key implements explore.State.
func (w *world) Key() []byte {
	key := fmt.Appendf(nil, "%s %v %v %v %v\n", w.cut, w.left, w.leaders, w.committed, w.floors)
	for i := range w.replicas {
		key = append(append(key, w.keys[i]...), '\n')
	}
	for i := range w.network {
		key = append(append(key, w.network[i].key...), '\n')
	}
	return key
}

var _ explore.State = (*world)(nil)
