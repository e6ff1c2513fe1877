package control

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/lease"
	"zinniasill/core/message"
	"zinniasill/internal/explore"
)

// The model: one node renews with two control replicas over a network that loses,
// repeats and reorders. Replica 0 may be cut off from its peers for good, while
// the node still reaches it; the log is then replica 1's. Once, an operator takes
// the node's domain out. Real time passes in quanta; the node's clock has a rate
// within the bound. The replicas' clocks stand still at epochStart: requests that
// wait at a replica are never dropped there, which gives the network more freedom.
const (
	// quantum is longer than the renewal period, so that each step of time sends a
	// renewal, and a third of the bound.
	quantum = 700 * time.Millisecond
	zone    = zinniasill.Domain("zone-a")
	bound   = 2040 * time.Millisecond
	// maxRenewals and maxReplies bound the packets in the network. A late renewal
	// has the same effect as one that waits at its replica, so one is enough.
	maxRenewals = 1
	maxReplies  = 2
)

var errLateBelief = errors.New("a node with a valid lease believes that a domain is in service after the bound")

// fault is a deliberate fault of the model, empty for none.
type fault string

const (
	// faultArrival counts the lease from the arrival of the reply.
	faultArrival fault = "lease from arrival"
	// faultNoRead answers renewals without asking a majority.
	faultNoRead fault = "no read index"
	// faultEarlyRead uses a read index that was asked for before the renewal came.
	faultEarlyRead fault = "read index from before the renewal"
	// faultNotApplied answers before the confirmed index is applied.
	faultNotApplied fault = "answer before applying"
	// faultNoAllowance uses the lease's length without the allowance for rates.
	faultNoAllowance fault = "no allowance for clock rates"
)

type modelConfig struct {
	fault fault
	// rate is the rate of the node's clock in 1/100: 100/rate seconds of real time
	// pass in a second of the node.
	rate    int64
	bound   time.Duration
	horizon time.Duration
}

type packet struct {
	env message.Envelope
	// left is how often a renewal may still be delivered. Replies are delivered any
	// number of times.
	left int
}

type world struct {
	cfg     *modelConfig
	now     time.Duration
	holder  *lease.Holder
	servers []*Server
	log     [][]byte
	cut     bool
	outAt   time.Duration
	net     []packet
	reads   [2][]read
	// expiry is the lease of the faulty holder, on the node's clock.
	expiry time.Time
	late   bool
	key    keyCache
}

// keyCache is the encoding of a state, which is asked for more than once.
type keyCache []byte

// read is a read index that a replica asked for. Seen is the length of the log
// when the previous renewals were answered, for faultEarlyRead.
type read struct {
	id    uint64
	early uint64
}

// nodeTime is the node's clock at a real time.
func (w *world) nodeTime(at time.Duration) time.Time {
	return epochStart.Add(at * time.Duration(100) / time.Duration(w.cfg.rate))
}

func newWorld(cfg *modelConfig) *world {
	node := zinniasill.Node{ID: "entry-1", Incarnation: 7}
	entry := testEntry(node, catalog.RoleEntry)
	entry.Domain = zone
	w := &world{
		cfg:   cfg,
		outAt: -1,
		holder: lease.New(lease.Config{
			Entry: entry, Replicas: []zinniasill.NodeID{"control-0", "control-1"},
		}),
	}
	for i := range 2 {
		w.servers = append(w.servers, NewServer(ServerConfig{
			Self:    zinniasill.Node{ID: zinniasill.NodeID(fmt.Sprint("control-", i)), Incarnation: 1},
			Cluster: cluster,
			Machine: New(),
		}))
	}
	w.commit(Command{Register: &RegisterNode{Entry: entry}})
	w.apply(0)
	w.apply(1)
	w.tick(0)
	return w
}

func (w *world) commit(command Command) {
	data, err := Encode(command)
	if err != nil {
		panic(err)
	}
	w.log = append(w.log, data)
}

// apply applies the rest of the log at a replica.
func (w *world) apply(replica int) {
	server := w.servers[replica]
	machine := deepCopy(*server.machine)
	// Its catalog is shared with the copied machine.
	machine.Catalog()
	server.machine = &machine
	for i := server.machine.Applied(); i < uint64(len(w.log)); i++ {
		server.Apply(i+1, w.log[i])
	}
}

func (w *world) clone() *world {
	copied := deepCopy(*w)
	copied.key = nil
	return &copied
}

// Key implements explore.State.
func (w *world) Key() []byte {
	if w.key == nil {
		w.key = dump(nil, reflect.ValueOf(w).Elem())
	}
	return w.key
}

// Check implements explore.State.
func (w *world) Check() error {
	if w.late {
		return errLateBelief
	}
	return nil
}

// valid reports whether the node trusts its lease at a real time.
func (w *world) valid(at time.Duration) bool {
	if w.cfg.fault == faultArrival || w.cfg.fault == faultNoAllowance {
		return w.nodeTime(at).Before(w.expiry)
	}
	return w.holder.Valid(w.nodeTime(at))
}

func (w *world) collect() {
	out := w.holder.Outbox()
	for i, server := range w.servers {
		out = append(out, server.Outbox()...)
		for _, id := range server.Reads(epochStart) {
			r := read{id: id}
			if w.cfg.fault == faultEarlyRead {
				r.early = server.machine.Applied()
			}
			w.reads[i] = append(w.reads[i], r)
		}
	}
	for _, env := range out {
		p := packet{env: env, left: 2}
		if !slices.ContainsFunc(w.net, func(other packet) bool { return reflect.DeepEqual(p, other) }) {
			w.net = append(w.net, p)
		}
	}
	w.prune()
}

// prune keeps the newest packets of each direction; older ones count as lost.
func (w *world) prune() {
	renewals, replies := 0, 0
	for i := len(w.net) - 1; i >= 0; i-- {
		if _, ok := w.net[i].env.Body.(message.Renew); ok {
			renewals++
		} else {
			replies++
		}
		if renewals > maxRenewals || replies > maxReplies || w.net[i].left == 0 {
			w.net = slices.Delete(w.net, i, i+1)
		}
	}
}

// tick lets real time pass. The belief is checked at the very end of the bound,
// before a message can arrive.
func (w *world) tick(by time.Duration) {
	end := w.outAt + w.cfg.bound
	if w.outAt >= 0 && w.now <= end && end < w.now+by {
		w.late = w.valid(end) && w.holder.Catalog().DomainInService(zone)
	}
	w.now += by
	w.holder.Tick(w.nodeTime(w.now))
	for _, server := range w.servers {
		server.Tick(epochStart)
	}
	w.collect()
}

// Next implements explore.State.
func (w *world) Next() []explore.Step {
	var steps []explore.Step
	add := func(name string, change func(next *world)) {
		next := w.clone()
		change(next)
		next.collect()
		steps = append(steps, explore.Step{Name: name, To: next})
	}
	if w.outAt < 0 && w.now+w.cfg.bound >= w.cfg.horizon || w.outAt >= 0 && w.now > w.outAt+w.cfg.bound {
		// The bound cannot be reached before the horizon, or has passed.
		return nil
	}
	if w.now < w.cfg.horizon {
		add("time", func(next *world) { next.tick(quantum) })
	}
	if !w.cut {
		add("cut off replica 0", func(next *world) { next.cut = true })
	}
	if w.outAt < 0 && w.now+w.cfg.bound < w.cfg.horizon {
		add("take domain out", func(next *world) { next.takeOut() })
	}
	for i := range w.net {
		if w.waits(w.net[i].env) {
			continue
		}
		add(fmt.Sprintf("deliver %T to %s", w.net[i].env.Body, w.net[i].env.To.ID), func(next *world) { next.deliver(i) })
	}
	for i := range w.servers {
		if i == 0 && w.cut {
			if w.cfg.fault != faultNoRead {
				continue
			}
		} else if w.servers[i].machine.Applied() < uint64(len(w.log)) {
			add(fmt.Sprint("apply at replica ", i), func(next *world) { next.apply(i) })
		}
		for j := range w.reads[i] {
			add(fmt.Sprint("confirm read at replica ", i), func(next *world) { next.confirm(i, j) })
		}
	}
	return steps
}

// waits reports whether a renewal already waits for the next read of its replica;
// a repetition would get the same answer.
func (w *world) waits(env message.Envelope) bool {
	renew, ok := env.Body.(message.Renew)
	if !ok {
		return false
	}
	for _, server := range w.servers {
		same := func(other waiter) bool { return other.renew.Sequence == renew.Sequence }
		if server.cfg.Self.ID == env.To.ID && slices.ContainsFunc(server.answers.waiting, same) {
			return true
		}
	}
	return false
}

func (w *world) takeOut() {
	w.commit(Command{Request: "r", Domain: &PutDomain{Name: zone, State: catalog.DomainOutOfService}})
	w.outAt = w.now
}

func (w *world) deliver(i int) {
	env := w.net[i].env
	if _, ok := env.Body.(message.Renew); ok {
		w.net[i].left--
		for _, server := range w.servers {
			if server.cfg.Self.ID == env.To.ID {
				server.Receive(epochStart, env)
			}
		}
		return
	}
	w.holder.Receive(w.nodeTime(w.now), env)
	w.receiveFaulty(env.Body.(message.RenewReply))
}

// receiveFaulty is the lease of a holder with the fault.
func (w *world) receiveFaulty(reply message.RenewReply) {
	expiry := w.expiry
	switch w.cfg.fault {
	case faultArrival:
		expiry = w.nodeTime(w.now).Add(reply.Length * 100 / 102)
	case faultNoAllowance:
		// The node sends renewal n at the n-th quantum, counted from 0.
		expiry = w.nodeTime(time.Duration(reply.Sequence-1) * quantum).Add(reply.Length)
	default:
	}
	if expiry.After(w.expiry) {
		w.expiry = expiry
	}
}

// confirm confirms a read. A correct log gives the length of the log at any time
// after the read was asked for.
func (w *world) confirm(replica, i int) {
	r := w.reads[replica][i]
	w.reads[replica] = slices.Delete(w.reads[replica], i, i+1)
	index := uint64(len(w.log))
	switch w.cfg.fault {
	case faultNoRead:
		index = w.servers[replica].machine.Applied()
	case faultEarlyRead:
		index = r.early
	case faultNotApplied:
		index = 0
	default:
	}
	w.servers[replica].ReadConfirmed(r.id, index)
}

const (
	maxModelStates = 400_000
	minModelStates = 10_000
)

// TestLeaseModel guards against a node that trusts an old configuration for
// longer than the bound, over the real code of both sides. The bound checked
// here, 2 s, is stricter than the promise of 2 s x 1.02.
func TestLeaseModel(t *testing.T) {
	for name, rate := range map[string]int64{"slow node clock": 102, "equal clocks": 100, "fast node clock": 98} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := &modelConfig{rate: rate, bound: DefaultLeaseLength, horizon: 4 * quantum}
			report, err := explore.Run(explore.Config{Initial: newWorld(cfg), MaxStates: maxModelStates})
			if err != nil {
				t.Fatal(err)
			}
			if report.Violation != nil {
				t.Fatalf("%v after %q", report.Violation.Error, report.Violation.Steps)
			}
			if report.States < minModelStates {
				t.Errorf("only %d states: the model does not reach the bound", report.States)
			}
			t.Logf("%d states, depth %d", report.States, report.Depth)
		})
	}
}

// TestLeaseModelFindsFaults guards against a model that would not notice a fault
// in the lease or in the answers to renewals.
func TestLeaseModelFindsFaults(t *testing.T) {
	faults := map[fault]time.Duration{
		faultArrival:     bound,
		faultNoRead:      bound,
		faultEarlyRead:   bound,
		faultNotApplied:  bound,
		faultNoAllowance: DefaultLeaseLength,
	}
	for fault, bound := range faults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			cfg := &modelConfig{fault: fault, rate: 102, bound: bound, horizon: 4 * quantum}
			report, err := explore.Run(explore.Config{Initial: newWorld(cfg), MaxStates: maxModelStates})
			if err != nil {
				t.Fatal(err)
			}
			if report.Violation == nil {
				t.Fatalf("fault not found in %d states", report.States)
			}
			t.Logf("found after %d states: %q", report.States, report.Violation.Steps)
		})
	}
}
