package control

import (
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// DefaultLeaseLength is the length of a lease. The node shortens it by its allowance
// for differences between clock rates.
const DefaultLeaseLength = 2 * time.Second

const (
	// operatorTimeout is the maximum wait of an operator's command for its commit, or
	// of an operator's read for its read index. It covers several elections.
	operatorTimeout = 5 * time.Second
	// submissionRetryInterval is the time after which a command without a result is
	// proposed again. Its request id prevents it from being applied twice.
	submissionRetryInterval = 500 * time.Millisecond
)

// ErrTimeout means that no majority of the replicas responded in time. The outcome of
// a command is then unknown, and it is safe to resend it with the same request id.
var ErrTimeout = eris.New("no response from a majority of the control replicas")

// ForwardedRenewals is a message that reports to the leader which nodes have renewed at
// another replica.
type ForwardedRenewals struct {
	Entries []catalog.NodeEntry `cbor:"1,keyasint"`
	// Sequences are the sequence numbers of the renewals. Replicas of earlier versions
	// send none.
	Sequences []uint64 `cbor:"2,keyasint,omitempty"`
	// Known are the revisions that the nodes knew. Replicas of earlier versions send none.
	Known []zinniasill.Revision `cbor:"3,keyasint,omitempty"`
}

func (f *ForwardedRenewals) add(renewal message.Renew) {
	f.Entries = append(f.Entries, renewal.Entry)
	f.Sequences = append(f.Sequences, renewal.Sequence)
	f.Known = append(f.Known, renewal.Known)
}

// renewal returns what is known of a renewal. The sequence number and the known revision
// are 0 if they were not forwarded.
func (f *ForwardedRenewals) renewal(i int) message.Renew {
	renewal := message.Renew{Entry: f.Entries[i]}
	if i < len(f.Sequences) {
		renewal.Sequence = f.Sequences[i]
	}
	if i < len(f.Known) {
		renewal.Known = f.Known[i]
	}
	return renewal
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Self    zinniasill.Node
	Cluster zinniasill.ClusterID
	Machine *Machine
	// LeaseLength is DefaultLeaseLength if 0.
	LeaseLength time.Duration
	LeaderTasks LeaderTasksConfig
	// Counters, if not nil, counts refused renewals.
	Counters zinniasill.Counters
}

// Server runs the Machine on one control replica: it replies to renewals and reads,
// tracks submitted commands and runs the leader's background tasks. It runs on a
// daemon loop and is not safe for concurrent use. Use NewServer.
type Server struct {
	cfg         ServerConfig
	machine     *Machine
	leaderTasks *LeaderTasks
	readQueue   readQueue
	leader      zinniasill.Node
	leading     bool
	// unforwarded holds the renewals to forward to the leader at the next tick.
	unforwarded     ForwardedRenewals
	replicas        []message.Replica
	replicasDigest  uint64
	submissions     map[RequestID]*submission
	submissionOrder []RequestID
	outbox          []message.Envelope
	proposals       [][]byte
}

// submission is an operator's command that has no result yet.
type submission struct {
	data       []byte
	deadline   time.Time
	proposedAt time.Time
	done       []func(Result, error)
}

// NewServer returns a server for which no leader is known yet.
func NewServer(cfg ServerConfig) *Server {
	if cfg.LeaseLength == 0 {
		cfg.LeaseLength = DefaultLeaseLength
	}
	return &Server{
		cfg:         cfg,
		machine:     cfg.Machine,
		leaderTasks: NewLeaderTasks(cfg.LeaderTasks, cfg.Machine),
		submissions: map[RequestID]*submission{},
	}
}

// SetLeader sets the current leader, the zero Node if none is known.
func (s *Server) SetLeader(now time.Time, leader zinniasill.Node) {
	s.leader = leader
	s.leading = leader == s.cfg.Self
	s.leaderTasks.SetLeading(now, s.leading)
}

// StepDown ends the leader's background tasks and discards what they have proposed. It is
// called as soon as the replica no longer leads, and SetLeader once the leader is known.
func (s *Server) StepDown(now time.Time) {
	s.leading = false
	s.leaderTasks.SetLeading(now, false)
}

// SetCluster sets the replica's cluster, once it is formed.
func (s *Server) SetCluster(cluster zinniasill.ClusterID) {
	s.cfg.Cluster = cluster
}

// Receive handles a message. Messages of other versions and clusters are ignored. A
// renewal may have an empty cluster, because a new node learns its cluster from the
// reply.
func (s *Server) Receive(now time.Time, env message.Envelope) {
	if env.Version != message.Version {
		return
	}
	switch body := env.Body.(type) {
	case message.Renew:
		if env.Cluster != s.cfg.Cluster && env.Cluster != "" {
			return
		}
		if env.From == body.Entry.Node {
			s.handleRenewal(now, body)
		}
	case ForwardedRenewals:
		if env.Cluster != s.cfg.Cluster {
			return
		}
		for i := range body.Entries {
			s.leaderTasks.RecordRenewal(now, body.renewal(i))
		}
	}
}

// handleRenewal records a renewal for the leader and queues it for its reply.
func (s *Server) handleRenewal(now time.Time, renewal message.Renew) {
	var found FindingErrors
	found.checkNode(renewal.Entry)
	if len(found) > 0 || !utf8.ValidString(renewal.Entry.Address) {
		s.countRefusedRenewal()
		return
	}
	if s.leading {
		s.leaderTasks.RecordRenewal(now, renewal)
	} else {
		s.unforwarded.add(renewal)
	}
	s.readQueue.enqueue(pendingRequest{deadline: now.Add(renewTimeout), renewal: &renewal})
}

func (s *Server) countRefusedRenewal() {
	if s.cfg.Counters != nil {
		s.cfg.Counters.Inc("control_renewals_refused", zinniasill.ReasonBadRequest)
	}
}

func (s *Server) send(to zinniasill.Node, body any) {
	s.outbox = append(s.outbox, message.Envelope{
		Version: message.Version,
		Cluster: s.cfg.Cluster,
		From:    s.cfg.Self,
		To:      to,
		Body:    body,
	})
}

// Submit proposes an operator's command and calls done once, with its result or with
// ErrTimeout. Done is called on the server's loop. An invalid command is refused
// without being proposed.
func (s *Server) Submit(now time.Time, command Command, done func(Result, error)) {
	if found := command.Validate(); len(found) > 0 {
		done(Result{Code: CodeInvalid, Findings: found}, nil)
		return
	}
	data, err := Encode(command)
	if err != nil {
		done(Result{}, err)
		return
	}
	if sub, ok := s.submissions[command.Request]; ok {
		if string(sub.data) != string(data) {
			done(Result{Code: CodeRequestReused}, nil)
			return
		}
		sub.done = append(sub.done, done)
		return
	}
	s.submissions[command.Request] = &submission{
		data:       data,
		deadline:   now.Add(operatorTimeout),
		proposedAt: now,
		done:       []func(Result, error){done},
	}
	s.submissionOrder = append(s.submissionOrder, command.Request)
	s.proposals = append(s.proposals, data)
}

// Read calls done once, with a configuration that includes every change committed
// before the call, or with ErrTimeout.
func (s *Server) Read(now time.Time, done func(*catalog.Catalog, error)) {
	s.readQueue.enqueue(pendingRequest{deadline: now.Add(operatorTimeout), readDone: done})
}

// Apply applies a committed command and replies to the requests that wait for it. The
// replica must stop if the result has an Err.
func (s *Server) Apply(index uint64, data []byte) Result {
	result := s.machine.Apply(index, data)
	if result.Err != nil {
		return result
	}
	if command, err := Decode(data); err == nil && command.Request != "" {
		s.completeSubmission(command.Request, data, result)
	}
	s.replyToReady()
	return result
}

// completeSubmission passes the result of a committed command to its submitters.
func (s *Server) completeSubmission(id RequestID, data []byte, result Result) {
	sub, ok := s.submissions[id]
	if !ok {
		return
	}
	if string(sub.data) != string(data) {
		// Another command with this id was committed first. The pending one is refused
		// when it is applied.
		return
	}
	delete(s.submissions, id)
	for _, done := range sub.done {
		done(result, nil)
	}
}

// Advance records a committed entry without a command.
func (s *Server) Advance(index uint64) {
	s.machine.Advance(index)
	s.replyToReady()
}

// Restore replaces the machine's state by a snapshot from another replica. Its errors
// wrap ErrSnapshot and leave the state unchanged.
func (s *Server) Restore(data []byte) error {
	if err := s.machine.Restore(data); err != nil {
		return err
	}
	s.replyToReady()
	return nil
}

// ReadConfirmed handles the confirmed read index of a read: a majority has confirmed
// the leader since the read was started, and every entry committed before the start
// has at most this index.
func (s *Server) ReadConfirmed(id, index uint64) {
	s.readQueue.confirm(id, index)
	s.replyToReady()
}

// ReadFailed handles a read that has failed because no leader is known or the leader
// has changed. Its requests are queued again at the next tick.
func (s *Server) ReadFailed(id uint64) {
	s.readQueue.fail(id)
}

// Tick runs everything that depends on time: the leader's background tasks, timeouts
// and retries.
func (s *Server) Tick(now time.Time) {
	s.leaderTasks.Tick(now)
	s.readQueue.tick(now)
	s.replyToReady()
	s.forwardRenewals()
	s.tickSubmissions(now)
}

// tickSubmissions proposes commands without a result again, and ends those past their
// deadline with ErrTimeout.
func (s *Server) tickSubmissions(now time.Time) {
	submissionOrder := s.submissionOrder[:0]
	for _, id := range s.submissionOrder {
		sub, ok := s.submissions[id]
		if !ok {
			continue
		}
		if !now.Before(sub.deadline) {
			delete(s.submissions, id)
			for _, done := range sub.done {
				done(Result{}, ErrTimeout)
			}
			continue
		}
		submissionOrder = append(submissionOrder, id)
		if now.Sub(sub.proposedAt) >= submissionRetryInterval {
			sub.proposedAt = now
			s.proposals = append(s.proposals, sub.data)
		}
	}
	s.submissionOrder = submissionOrder
}

// forwardRenewals sends the renewals since the last tick to the leader.
func (s *Server) forwardRenewals() {
	if len(s.unforwarded.Entries) > 0 && !s.leading && s.leader.ID != "" {
		s.send(s.leader, s.unforwarded)
	}
	s.unforwarded = ForwardedRenewals{}
}

// Outbox returns and clears the messages to send.
func (s *Server) Outbox() []message.Envelope {
	out := s.outbox
	s.outbox = nil
	return out
}

// Proposals returns and clears the commands to propose to the log.
func (s *Server) Proposals() [][]byte {
	for _, command := range s.leaderTasks.Proposals() {
		data, err := Encode(command)
		if err != nil {
			// A renewal that another replica forwarded has an entry that cannot be stored.
			s.countRefusedRenewal()
			continue
		}
		s.proposals = append(s.proposals, data)
	}
	out := s.proposals
	s.proposals = nil
	return out
}

// Reads starts a read for the queued requests and returns the ids of the reads for
// which the caller must request a read index. The read index must be requested after
// this call, not before.
func (s *Server) Reads(now time.Time) []uint64 {
	return s.readQueue.startRead(now)
}
