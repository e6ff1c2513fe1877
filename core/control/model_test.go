package control

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/lease"
	"zinniasill/core/message"
	"zinniasill/internal/explore"
)

// The model: one node renews its lease with two control replicas over a network that
// loses, duplicates and reorders messages. Replica 0 may be partitioned from replica 1
// for good while the node still reaches it; only replica 1 then follows the log. An
// operator takes the node's failure domain out of service once. Real time passes in
// quanta, and the rate of the node's clock is within the allowed 2%. The replicas'
// clocks stand still at clockStart, so that a replica never drops a pending request:
// this allows longer delays than the real system.
const (
	// quantum is longer than the renewal interval, so that each tick sends a renewal,
	// and about a third of bound.
	quantum = 700 * time.Millisecond
	zone    = zinniasill.Domain("zone-a")
	// bound is the time after a change within which every node with a valid lease must
	// have the change.
	bound = 2040 * time.Millisecond
	// maxRenewals and maxReplies bound the packets in the network. A delayed renewal
	// has the same effect as one that is pending at its replica, so one is enough.
	maxRenewals = 1
	maxReplies  = 2
)

var errStaleLease = errors.New("a node with a valid lease still has the domain recorded as in service after the bound")

// fault is a deliberate fault of the model, empty for none.
type fault string

const (
	// faultArrival starts the lease when the reply arrives, not when the renewal is sent.
	faultArrival fault = "lease from arrival"
	// faultNoRead replies to renewals without confirmation by a majority.
	faultNoRead fault = "no read index"
	// faultEarlyRead uses a read index that was requested before the renewal arrived.
	faultEarlyRead fault = "read index from before the renewal"
	// faultNotApplied replies before the confirmed index is applied.
	faultNotApplied fault = "reply before applying"
	// faultNoAllowance uses the full length of the lease, without the allowance for
	// clock rates.
	faultNoAllowance fault = "no allowance for clock rates"
)

type modelConfig struct {
	fault fault
	// rate is the real time that passes in a second of the node's clock, in hundredths
	// of a second.
	rate  int64
	bound time.Duration
	// horizon is the real time at which the simulation ends.
	horizon time.Duration
}

// packet is a message in the network.
type packet struct {
	env message.Envelope
	// deliveriesLeft is how often a renewal may still be delivered. Replies may be
	// delivered any number of times.
	deliveriesLeft int
}

// simulation is one state of the model.
type simulation struct {
	cfg     *modelConfig
	now     time.Duration
	holder  *lease.Holder
	servers []*Server
	log     [][]byte
	// partitioned is set once replica 0 is partitioned from replica 1.
	partitioned bool
	// takenOutAt is when the domain was taken out of service, -1 before.
	takenOutAt time.Duration
	network    []packet
	reads      [2][]read
	// expiry is the end of the lease of a faulty holder, on the node's clock.
	expiry time.Time
	// stale is set when a lease was valid with an old configuration after the bound.
	stale bool
	key   keyCache
}

// keyCache caches the key of a state, which Key returns more than once.
type keyCache []byte

// read is a read index that a replica has requested. For faultEarlyRead, earlyIndex is
// the index that the replica had applied at that time.
type read struct {
	id         uint64
	earlyIndex uint64
}

// nodeTime returns the time of the node's clock at a real time.
func (s *simulation) nodeTime(at time.Duration) time.Time {
	return clockStart.Add(at * time.Duration(100) / time.Duration(s.cfg.rate))
}

func newSimulation(cfg *modelConfig) *simulation {
	node := zinniasill.Node{ID: "entry-1", Incarnation: 7}
	entry := testEntry(node, catalog.RoleEntry)
	entry.Domain = zone
	s := &simulation{
		cfg:        cfg,
		takenOutAt: -1,
		holder: lease.New(lease.Config{
			Entry: entry, Replicas: []zinniasill.NodeID{"control-0", "control-1"},
		}),
	}
	for i := range 2 {
		s.servers = append(s.servers, NewServer(ServerConfig{
			Self:    zinniasill.Node{ID: zinniasill.NodeID(fmt.Sprint("control-", i)), Incarnation: 1},
			Cluster: cluster,
			Machine: New(),
		}))
	}
	s.commit(Command{Register: &RegisterNode{Entry: entry}})
	s.apply(0)
	s.apply(1)
	s.tick(0)
	return s
}

// commit appends a command to the log.
func (s *simulation) commit(command Command) {
	data, err := Encode(command)
	if err != nil {
		panic(err)
	}
	s.log = append(s.log, data)
}

// apply applies the rest of the log at a replica, to a copy of its machine, because
// other states share the machine.
func (s *simulation) apply(replica int) {
	server := s.servers[replica]
	machine := deepCopy(*server.machine)
	// Mark the catalog as shared with the original machine, so that it is copied before
	// a change.
	machine.Catalog()
	server.machine = &machine
	for i := server.machine.Applied(); i < uint64(len(s.log)); i++ {
		server.Apply(i+1, s.log[i])
	}
}

func (s *simulation) clone() *simulation {
	copied := deepCopy(*s)
	copied.key = nil
	return &copied
}

// Key implements explore.State.
func (s *simulation) Key() []byte {
	if s.key == nil {
		s.key = appendKey(nil, reflect.ValueOf(s).Elem())
	}
	return s.key
}

// Check implements explore.State.
func (s *simulation) Check() error {
	if s.stale {
		return errStaleLease
	}
	return nil
}

// valid reports whether the node's lease is valid at a real time.
func (s *simulation) valid(at time.Duration) bool {
	if s.cfg.fault == faultArrival || s.cfg.fault == faultNoAllowance {
		return s.nodeTime(at).Before(s.expiry)
	}
	return s.holder.Valid(s.nodeTime(at))
}

// collect moves the messages of all parts to the network and records the reads that the
// servers request.
func (s *simulation) collect() {
	out := s.holder.Outbox()
	for i, server := range s.servers {
		out = append(out, server.Outbox()...)
		for _, id := range server.Reads(clockStart) {
			r := read{id: id}
			if s.cfg.fault == faultEarlyRead {
				r.earlyIndex = server.machine.Applied()
			}
			s.reads[i] = append(s.reads[i], r)
		}
	}
	for _, env := range out {
		p := packet{env: env, deliveriesLeft: 2}
		if !slices.ContainsFunc(s.network, func(other packet) bool { return reflect.DeepEqual(p, other) }) {
			s.network = append(s.network, p)
		}
	}
	s.prune()
}

// prune drops all but the newest packets of each direction, and renewals without
// deliveries left.
func (s *simulation) prune() {
	renewals, replies := 0, 0
	for i := len(s.network) - 1; i >= 0; i-- {
		if _, ok := s.network[i].env.Body.(message.Renew); ok {
			renewals++
		} else {
			replies++
		}
		if renewals > maxRenewals || replies > maxReplies || s.network[i].deliveriesLeft == 0 {
			s.network = slices.Delete(s.network, i, i+1)
		}
	}
}

// tick advances real time. The node's lease and catalog are checked exactly at the end
// of the bound, before another message can arrive.
func (s *simulation) tick(by time.Duration) {
	end := s.takenOutAt + s.cfg.bound
	if s.takenOutAt >= 0 && s.now <= end && end < s.now+by {
		s.stale = s.valid(end) && s.holder.Catalog().DomainInService(zone)
	}
	s.now += by
	s.holder.Tick(s.nodeTime(s.now))
	for _, server := range s.servers {
		server.Tick(clockStart)
	}
	s.collect()
}

// Next implements explore.State.
func (s *simulation) Next() []explore.Step {
	var steps []explore.Step
	add := func(name string, change func(next *simulation)) {
		next := s.clone()
		change(next)
		next.collect()
		steps = append(steps, explore.Step{Name: name, To: next})
	}
	if s.takenOutAt < 0 && s.now+s.cfg.bound >= s.cfg.horizon || s.takenOutAt >= 0 && s.now > s.takenOutAt+s.cfg.bound {
		// The bound cannot be reached before the horizon, or has passed.
		return nil
	}
	if s.now < s.cfg.horizon {
		add("advance time", func(next *simulation) { next.tick(quantum) })
	}
	if !s.partitioned {
		add("partition replica 0", func(next *simulation) { next.partitioned = true })
	}
	if s.takenOutAt < 0 && s.now+s.cfg.bound < s.cfg.horizon {
		add("take domain out of service", func(next *simulation) { next.takeDomainOut() })
	}
	for i := range s.network {
		if s.waitsAtReplica(s.network[i].env) {
			continue
		}
		add(fmt.Sprintf("deliver %T to %s", s.network[i].env.Body, s.network[i].env.To.ID), func(next *simulation) { next.deliver(i) })
	}
	for i := range s.servers {
		if i == 0 && s.partitioned {
			if s.cfg.fault != faultNoRead {
				continue
			}
		} else if s.servers[i].machine.Applied() < uint64(len(s.log)) {
			add(fmt.Sprint("apply at replica ", i), func(next *simulation) { next.apply(i) })
		}
		for j := range s.reads[i] {
			add(fmt.Sprint("confirm read at replica ", i), func(next *simulation) { next.confirm(i, j) })
		}
	}
	return steps
}

// waitsAtReplica reports whether a renewal is already queued for the next read of its
// replica. A duplicate would get the same reply.
func (s *simulation) waitsAtReplica(env message.Envelope) bool {
	renewal, ok := env.Body.(message.Renew)
	if !ok {
		return false
	}
	for _, server := range s.servers {
		same := func(other pendingRequest) bool { return other.renewal.Sequence == renewal.Sequence }
		if server.cfg.Self.ID == env.To.ID && slices.ContainsFunc(server.readQueue.queued, same) {
			return true
		}
	}
	return false
}

// takeDomainOut takes the node's failure domain out of service.
func (s *simulation) takeDomainOut() {
	s.commit(Command{Request: "r", Domain: &PutDomain{Name: zone, State: catalog.DomainOutOfService}})
	s.takenOutAt = s.now
}

// deliver delivers a packet and keeps it in the network for another delivery.
func (s *simulation) deliver(i int) {
	env := s.network[i].env
	if _, ok := env.Body.(message.Renew); ok {
		s.network[i].deliveriesLeft--
		for _, server := range s.servers {
			if server.cfg.Self.ID == env.To.ID {
				server.Receive(clockStart, env)
			}
		}
		return
	}
	s.holder.Receive(s.nodeTime(s.now), env)
	s.receiveFaulty(env.Body.(message.RenewReply))
}

// receiveFaulty extends the lease of a holder with the fault.
func (s *simulation) receiveFaulty(reply message.RenewReply) {
	expiry := s.expiry
	switch s.cfg.fault {
	case faultArrival:
		expiry = s.nodeTime(s.now).Add(reply.Length * 100 / 102)
	case faultNoAllowance:
		// The node sends renewal n after n-1 quanta.
		expiry = s.nodeTime(time.Duration(reply.Sequence-1) * quantum).Add(reply.Length)
	default:
	}
	if expiry.After(s.expiry) {
		s.expiry = expiry
	}
}

// confirm confirms a read. A correct read index is the length of the log at any time
// after the read was requested.
func (s *simulation) confirm(replica, i int) {
	r := s.reads[replica][i]
	s.reads[replica] = slices.Delete(s.reads[replica], i, i+1)
	index := uint64(len(s.log))
	switch s.cfg.fault {
	case faultNoRead:
		index = s.servers[replica].machine.Applied()
	case faultEarlyRead:
		index = r.earlyIndex
	case faultNotApplied:
		index = 0
	default:
	}
	s.servers[replica].ReadConfirmed(r.id, index)
}
