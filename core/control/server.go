package control

import (
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// DefaultLeaseLength is the length of a lease on the node's clock, before the
// node's own allowance for clock rates.
const DefaultLeaseLength = 2 * time.Second

const (
	// operatorTimeout bounds the wait for a commit or a read index. It covers
	// several elections.
	operatorTimeout = 5 * time.Second
	// submitAgain is the time after which a command without a result is proposed
	// again. Its request id keeps it from being applied twice.
	submitAgain = 500 * time.Millisecond
)

// ErrTimeout means that no majority answered in time. The outcome of a command is
// then unknown; sending it again with the same request id is safe.
var ErrTimeout = eris.New("no answer from a majority of the control replicas")

// ForwardedRenewals tells the leader about nodes that renewed at another replica.
type ForwardedRenewals struct {
	Entries []catalog.NodeEntry `cbor:"1,keyasint"`
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Self    zinniasill.Node
	Cluster zinniasill.ClusterID
	Machine *Machine
	// LeaseLength is DefaultLeaseLength if 0.
	LeaseLength time.Duration
	LeaderTasks      LeaderTasksConfig
	// Counters, if set, counts renewals that are refused.
	Counters zinniasill.Counters
}

// Server is one control replica's work around the Machine. It is a machine for a
// daemon loop and not safe for concurrent use. Use NewServer.
type Server struct {
	cfg     ServerConfig
	machine *Machine
	duties  *LeaderTasks
	answers answers
	leader  zinniasill.Node
	leading bool
	// seen are the renewals that the leader has not been told of.
	seen      []catalog.NodeEntry
	submitted map[RequestID]*submission
	order     []RequestID
	outbox    []message.Envelope
	proposals [][]byte
}

// submission is an operator's command that has no result yet.
type submission struct {
	data     []byte
	deadline time.Time
	proposed time.Time
	done     []func(Result, error)
}

// NewServer returns the server of a replica that knows no leader.
func NewServer(cfg ServerConfig) *Server {
	if cfg.LeaseLength == 0 {
		cfg.LeaseLength = DefaultLeaseLength
	}
	return &Server{
		cfg:       cfg,
		machine:   cfg.Machine,
		duties:    NewLeaderTasks(cfg.LeaderTasks, cfg.Machine),
		submitted: map[RequestID]*submission{},
	}
}

// SetLeader tells the server which replica leads, the zero Node when none is known.
func (s *Server) SetLeader(now time.Time, leader zinniasill.Node) {
	s.leader = leader
	s.leading = leader == s.cfg.Self
	s.duties.SetLeading(now, s.leading)
}

// SetCluster tells the server which cluster the replica belongs to, once it is formed.
func (s *Server) SetCluster(cluster zinniasill.ClusterID) {
	s.cfg.Cluster = cluster
}

// Receive handles a message. Messages of other versions and clusters are ignored;
// a node that does not know its cluster yet sends none.
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
			s.renew(now, body)
		}
	case ForwardedRenewals:
		if env.Cluster != s.cfg.Cluster {
			return
		}
		for _, entry := range body.Entries {
			s.duties.RecordRenewal(now, entry)
		}
	}
}

func (s *Server) renew(now time.Time, renew message.Renew) {
	var found FindingErrors
	found.node(renew.Entry)
	if len(found) > 0 {
		if s.cfg.Counters != nil {
			s.cfg.Counters.Inc("control_renewals_refused", zinniasill.ReasonBadRequest)
		}
		return
	}
	if s.leading {
		s.duties.RecordRenewal(now, renew.Entry)
	} else {
		s.seen = append(s.seen, renew.Entry)
	}
	s.answers.add(waiter{deadline: now.Add(renewTimeout), renew: &renew})
}

// ready reports whether a request can be answered. A node gets no lease before it
// is registered, because nothing would watch it.
func (s *Server) ready(w waiter) bool {
	if w.renew == nil {
		return true
	}
	node := w.renew.Entry.Node
	return s.machine.Dead(node) || s.machine.catalog.Alive(node)
}

// answerReady answers the requests whose read index is applied.
func (s *Server) answerReady() {
	s.answers.early(s.machine.Applied(), s.tellEarly)
	for _, w := range s.answers.take(s.machine.Applied(), s.ready) {
		if w.renew != nil {
			s.reply(*w.renew)
		} else {
			w.read(s.machine.Catalog(), nil)
		}
	}
}

// tellEarly sends a node that is not registered yet the configuration without a lease.
// It answers a restart of all processes: entries can serve with it, and registration
// takes a commit and the time after which an earlier incarnation may be replaced.
func (s *Server) tellEarly(w waiter) {
	if w.renew != nil && !s.ready(w) {
		s.replyFor(*w.renew, 0)
	}
}

// reply answers a renewal. It must run only after a read index that was asked for
// after the renewal arrived has been confirmed and applied: otherwise a replica
// that was cut off would extend leases without knowing the latest changes.
func (s *Server) reply(renew message.Renew) {
	s.replyFor(renew, s.cfg.LeaseLength)
}

func (s *Server) replyFor(renew message.Renew, length time.Duration) {
	body := message.RenewReply{
		Sequence: renew.Sequence,
		Length:   length,
		Revision: s.machine.catalog.Revision,
	}
	if s.machine.Dead(renew.Entry.Node) {
		body.Dead = true
		body.Length = 0
	}
	changes, ok := s.machine.ChangesSince(renew.Known)
	if ok {
		body.Changes = changes
	} else {
		body.Full = s.machine.Catalog()
	}
	s.send(renew.Entry.Node, body)
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

// Submit proposes an operator's command and calls done once, with its result or
// with ErrTimeout. Done runs on the server's loop. A command with findings is
// answered without an entry in the log.
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
	if waiting, ok := s.submitted[command.Request]; ok {
		if string(waiting.data) != string(data) {
			done(Result{Code: CodeRequestReused}, nil)
			return
		}
		waiting.done = append(waiting.done, done)
		return
	}
	s.submitted[command.Request] = &submission{
		data:     data,
		deadline: now.Add(operatorTimeout),
		proposed: now,
		done:     []func(Result, error){done},
	}
	s.order = append(s.order, command.Request)
	s.proposals = append(s.proposals, data)
}

// Read calls done once, with a configuration that holds every change accepted
// before the call, or with ErrTimeout.
func (s *Server) Read(now time.Time, done func(*catalog.Catalog, error)) {
	s.answers.add(waiter{deadline: now.Add(operatorTimeout), read: done})
}

// Apply applies a committed command and answers what waits for it. The replica
// must stop when the result has an Err.
func (s *Server) Apply(index uint64, data []byte) Result {
	result := s.machine.Apply(index, data)
	if result.Err != nil {
		return result
	}
	if command, err := Decode(data); err == nil && command.Request != "" {
		s.finish(command.Request, data, result)
	}
	s.answerReady()
	return result
}

func (s *Server) finish(id RequestID, data []byte, result Result) {
	waiting, ok := s.submitted[id]
	if !ok {
		return
	}
	if string(waiting.data) != string(data) {
		// Another command with this id was first; the waiting one gets its refusal
		// when it is applied itself.
		return
	}
	delete(s.submitted, id)
	for _, done := range waiting.done {
		done(result, nil)
	}
}

// Advance records a committed entry that is no command.
func (s *Server) Advance(index uint64) {
	s.machine.Advance(index)
	s.answerReady()
}

// Restore replaces the machine's state by a snapshot from another replica.
func (s *Server) Restore(data []byte) error {
	if err := s.machine.Restore(data); err != nil {
		return err
	}
	s.answerReady()
	return nil
}

// ReadConfirmed reports that the read with this id is confirmed: a majority has
// followed the leader since the read was asked for, and everything accepted
// before has an index of at most index.
func (s *Server) ReadConfirmed(id, index uint64) {
	s.answers.confirmed(id, index)
	s.answerReady()
}

// ReadFailed reports that no read index could be had, because no leader is known or
// the leader has changed. The requests are asked for again with the next tick.
func (s *Server) ReadFailed(id uint64) {
	s.answers.fail(id)
}

// Tick handles the passing of time.
func (s *Server) Tick(now time.Time) {
	s.duties.Tick(now)
	s.answers.tick(now)
	s.answerReady()
	s.tellLeader()
	s.tickSubmissions(now)
}

// tickSubmissions proposes commands again and ends those past their deadline.
func (s *Server) tickSubmissions(now time.Time) {
	order := s.order[:0]
	for _, id := range s.order {
		waiting, ok := s.submitted[id]
		if !ok {
			continue
		}
		if !now.Before(waiting.deadline) {
			delete(s.submitted, id)
			for _, done := range waiting.done {
				done(Result{}, ErrTimeout)
			}
			continue
		}
		order = append(order, id)
		if now.Sub(waiting.proposed) >= submitAgain {
			waiting.proposed = now
			s.proposals = append(s.proposals, waiting.data)
		}
	}
	s.order = order
}

// tellLeader passes on the renewals since the last tick.
func (s *Server) tellLeader() {
	if len(s.seen) > 0 && !s.leading && s.leader.ID != "" {
		s.send(s.leader, ForwardedRenewals{Entries: s.seen})
	}
	s.seen = nil
}

// Outbox returns and clears the messages to send.
func (s *Server) Outbox() []message.Envelope {
	out := s.outbox
	s.outbox = nil
	return out
}

// Proposals returns and clears the commands to propose to the log.
func (s *Server) Proposals() [][]byte {
	for _, command := range s.duties.Proposals() {
		data, err := Encode(command)
		if err != nil {
			// The duties set one body each, of entries that were checked on arrival.
			continue
		}
		s.proposals = append(s.proposals, data)
	}
	out := s.proposals
	s.proposals = nil
	return out
}

// Reads returns and clears the ids of reads for which the log is to be asked for
// a read index. The caller must ask after this call, not before.
func (s *Server) Reads(now time.Time) []uint64 {
	return s.answers.reads(now)
}
