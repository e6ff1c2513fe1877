package consensus

import (
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/message"
)

// firstElectionShare is the part of the shortest election timeout that a replica waits
// at least before its first election. It waits the whole of it at most: the spread has
// to be well above the time of an election, or votes are split.
const firstElectionShare = 4

// membershipAt is the membership from an index on.
type membershipAt struct {
	index      Index
	membership Membership
}

// Replica is one member of the replicated log. Use New. Its methods must not be
// called concurrently.
type Replica struct {
	cfg  Config
	self zinniasill.Node
	now  time.Time

	hard     HardState
	log      entryLog
	commit   Index
	applied  Index
	snapshot *Snapshot
	// memberships has the memberships in the log, oldest first, preceded by the
	// one of the snapshot. The last one is in force, committed or not.
	memberships []membershipAt

	role     Role
	leader   zinniasill.Node
	heard    time.Time // last message from the leader
	deadline time.Time // next election, join or formation attempt
	votes    map[zinniasill.Node]bool
	// quorum returns the number of voters that make a quorum. Tests replace it.
	quorum func(voters int) int
	// fault is set when a message contradicts a committed entry.
	fault error

	leading leadership
	forming formation
	// session tells apart the requests of this process from those before a restart.
	session uint64
	// batch numbers the requests for reads.
	batch     uint64
	proposals []proposal
	reads     []read
	out       output
}

// New returns a replica that continues from what its data folder held.
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
		r.memberships = []membershipAt{{r.snapshot.Index, r.snapshot.Membership}}
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

// Receive handles one message. Messages of another version, another cluster or
// for another instance are dropped.
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
			r.receiveMember(env.From, env.Body)
		}
	}
}

// receiveMember handles a message of this cluster.
func (r *Replica) receiveMember(from zinniasill.Node, body any) {
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

// Tick handles the passing of time.
func (r *Replica) Tick(now time.Time) {
	r.advance(now)
	r.expire()
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
	case r.isForming():
		r.sendHello()
	default:
		r.sendJoinRequest()
	}
}

// advance sets the current time and, on first use, the first deadline.
func (r *Replica) advance(now time.Time) {
	r.now = now
	if r.deadline.IsZero() {
		r.resetDeadline()
	}
}

func (r *Replica) resetDeadline() {
	shortest, longest := r.cfg.MinElectionTimeout, r.cfg.MaxElectionTimeout
	if r.heard.IsZero() && r.role != Leader {
		// A replica that has heard no leader since its start need not wait as long as
		// after the loss of one. If there is a leader, the others refuse its pre-vote.
		shortest, longest = r.cfg.MinElectionTimeout/firstElectionShare, r.cfg.MinElectionTimeout
	}
	timeout := shortest
	if spread := longest - shortest; spread > 0 {
		timeout += time.Duration(r.cfg.Rand.Int64N(int64(spread)))
	}
	r.deadline = r.now.Add(timeout)
}

// membership returns the membership in force: the last one in the log.
func (r *Replica) membership() Membership {
	if len(r.memberships) == 0 {
		return Membership{}
	}
	return r.memberships[len(r.memberships)-1].membership
}

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
		r.memberships = append(r.memberships, membershipAt{entry.Index, *entry.Membership})
		r.out.statusDirty = true
	}
}

// truncate drops the entries after index and the memberships in them.
func (r *Replica) truncate(index Index) {
	r.log.truncate(index)
	for len(r.memberships) > 0 && r.membershipIndex() > index {
		r.memberships = r.memberships[:len(r.memberships)-1]
		r.out.statusDirty = true
	}
}

// setTerm enters a higher term, without a vote.
func (r *Replica) setTerm(term Term) {
	r.hard.Term = term
	r.hard.Vote = zinniasill.Node{}
	r.out.hardDirty = true
}

// becomeFollower follows leader, which is the zero Node while it is not known.
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
		r.heard = time.Time{}
		r.resetDeadline()
	}
}
