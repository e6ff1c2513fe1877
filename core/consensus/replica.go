package consensus

import (
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/message"
)

// firstElectionDivisor is the divisor of the minimum election timeout that gives the
// shortest wait before the first election of a replica. The longest wait is the whole
// minimum election timeout: the range must be well above the duration of an election, or
// votes are split.
const firstElectionDivisor = 4

// indexedMembership is the membership that takes effect at an index.
type indexedMembership struct {
	index      Index
	membership Membership
}

// Replica is one replica of the log. Use New. It is not safe for concurrent use.
type Replica struct {
	cfg  Config
	self zinniasill.Node
	now  time.Time

	hard     HardState
	log      entryLog
	commit   Index
	applied  Index
	snapshot *Snapshot
	// memberships are those in the log, oldest first, preceded by the one of the
	// snapshot. The last one is in effect, even if it is not committed.
	memberships []indexedMembership

	role         Role
	leader       zinniasill.Node
	lastReceived time.Time // time of the last message from the leader
	deadline     time.Time // time of the next election, join or formation attempt
	votes        map[zinniasill.Node]bool
	// quorum returns the number of voters that make a quorum. Tests replace it.
	quorum func(voters int) int
	// fault is set when a message contradicts a committed entry.
	fault error

	leading leadership
	forming formation
	// session distinguishes the requests of this process from those before a restart.
	session uint64
	// batch is the number of the last ReadRequest.
	batch     uint64
	proposals []proposal
	reads     []read
	out       output
}

// New returns a replica that continues from the recovered state.
func New(cfg Config, recovered Recovered) (*Replica, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Replica{
		cfg:      cfg,
		self:     cfg.Self.Node(),
		hard:     recovered.Hard,
		snapshot: recovered.Snapshot,
		quorum:   majority,
		session:  cfg.Rand.Uint64(),
	}
	if r.snapshot != nil {
		r.log.reset(r.snapshot.Index, r.snapshot.Term)
		r.memberships = []indexedMembership{{r.snapshot.Index, r.snapshot.Membership}}
		r.commit = r.snapshot.Index
		r.out.restore = r.snapshot
	}
	for _, entry := range recovered.Entries {
		if entry.Index != r.log.last()+1 {
			return nil, eris.Errorf("consensus: recovered entry %d follows entry %d", entry.Index, r.log.last())
		}
		r.add(entry)
	}
	r.log.stable = r.log.last()
	r.forming.init(cfg)
	return r, nil
}

func majority(voters int) int {
	return voters/2 + 1
}

// Receive handles one message. Messages of another version or cluster, or to another
// instance, are dropped.
func (r *Replica) Receive(now time.Time, env message.Envelope) {
	r.advance(now)
	if env.Version != message.Version || env.To.ID != r.self.ID || env.From.ID == r.self.ID {
		return
	}
	if env.To.Incarnation != 0 && env.To.Incarnation != r.self.Incarnation {
		return
	}
	switch body := env.Body.(type) {
	case Hello:
		r.onHello(env.From, body)
	case JoinRequest:
		r.onJoinRequest(env.From, env.Cluster, body)
	case JoinReply:
		r.onJoinReply(env.From, body)
	default:
		if r.hard.Cluster != "" && env.Cluster == r.hard.Cluster {
			r.receiveFromCluster(env.From, env.Body)
		}
	}
}

// receiveFromCluster handles a message from another replica of this cluster.
func (r *Replica) receiveFromCluster(from zinniasill.Node, body any) {
	switch body := body.(type) {
	case PreVote:
		r.onPreVote(from, body)
	case PreVoteReply:
		r.onPreVoteReply(from, body)
	case Vote:
		r.onVote(from, body)
	case VoteReply:
		r.onVoteReply(from, body)
	case Append:
		r.onAppend(from, body)
	case InstallSnapshot:
		r.onInstallSnapshot(from, body)
	case AppendReply:
		r.onAppendReply(from, body)
	case TimeoutNow:
		r.onTimeoutNow(from, body)
	case Forward:
		r.onForward(from, body)
	case ForwardReply:
		r.onForwardReply(body)
	case ReadRequest:
		r.onReadRequest(from, body)
	case ReadReply:
		r.onReadReply(body)
	}
}

// Tick handles timeouts and heartbeats. It must be called regularly.
func (r *Replica) Tick(now time.Time) {
	r.advance(now)
	r.expirePending()
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if now.Before(r.deadline) {
		return
	}
	r.resetDeadline()
	switch {
	case r.hard.Cluster != "" && r.membership().IsVoter(r.self):
		r.startPreVote()
		r.requestReturn()
	case r.isForming():
		r.sendHello()
	default:
		r.sendJoinRequest()
	}
}

// advance sets the current time, and on the first call the first deadline.
func (r *Replica) advance(now time.Time) {
	r.now = now
	if r.deadline.IsZero() {
		r.resetDeadline()
	}
}

// resetDeadline sets a random election timeout from now on.
func (r *Replica) resetDeadline() {
	shortest, longest := r.cfg.MinElectionTimeout, r.cfg.MaxElectionTimeout
	if r.lastReceived.IsZero() && r.role != Leader {
		// A replica that has not received from a leader since it started need not wait as
		// long as after the loss of a leader. If there is one, the others refuse the
		// pre-vote.
		shortest, longest = r.cfg.MinElectionTimeout/firstElectionDivisor, r.cfg.MinElectionTimeout
	}
	timeout := shortest
	if spread := longest - shortest; spread > 0 {
		timeout += time.Duration(r.cfg.Rand.Int64N(int64(spread)))
	}
	r.deadline = r.now.Add(timeout)
}

// membership returns the membership in effect, which is the last one in the log.
func (r *Replica) membership() Membership {
	if len(r.memberships) == 0 {
		return Membership{}
	}
	return r.memberships[len(r.memberships)-1].membership
}

// membershipIndex returns the index of the membership in effect.
func (r *Replica) membershipIndex() Index {
	if len(r.memberships) == 0 {
		return 0
	}
	return r.memberships[len(r.memberships)-1].index
}

// add appends an entry to the log.
func (r *Replica) add(entry Entry) {
	r.log.add(entry)
	if entry.Kind == KindMembership && entry.Membership != nil {
		r.memberships = append(r.memberships, indexedMembership{entry.Index, *entry.Membership})
		r.out.statusDirty = true
	}
}

// truncate removes the entries after index and the memberships in them.
func (r *Replica) truncate(index Index) {
	r.log.truncate(index)
	for len(r.memberships) > 0 && r.membershipIndex() > index {
		r.memberships = r.memberships[:len(r.memberships)-1]
		r.out.statusDirty = true
	}
}

// setTerm sets a higher term and clears the vote.
func (r *Replica) setTerm(term Term) {
	r.hard.Term = term
	r.hard.Vote = zinniasill.Node{}
	r.out.hardDirty = true
}

// becomeFollower makes this replica a follower of leader, which is the zero Node if it is
// not known.
func (r *Replica) becomeFollower(term Term, leader zinniasill.Node) {
	if term > r.hard.Term {
		r.setTerm(term)
	}
	if r.role != Follower || r.leader != leader {
		r.out.statusDirty = true
	}
	wasLeader := r.role == Leader
	changed := r.leader != leader && r.leader != zinniasill.Node{}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	if wasLeader || changed {
		r.failPending()
	}
	if wasLeader {
		r.leading = leadership{}
		r.lastReceived = time.Time{}
		r.resetDeadline()
	}
}
