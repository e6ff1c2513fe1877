package job

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
	"zinniasill/core/placement"
)

var worldStart = time.Unix(1_000_000, 0)

// Catalog implements Lease.
func (l *fixedLease) Catalog() *catalog.Catalog { return l.world.versions[l.version] }

// worldEntry is one entry with its coordinator.
type worldEntry struct {
	*Coordinator
	lease *fixedLease
	gone  bool
	// cut is set while the entry's messages are lost.
	cut bool
}

// request is one submission that waits for its answer.
type request struct {
	id    RequestID
	entry *worldEntry
	key   zinniasill.Key
	tasks int
	// before counts the starts of the job before the request.
	before int
	never  bool
}

// world is a system of coordinators, claim acceptors and fake agents with a
// network that a test controls. It checks the guarantees at every start and
// every answer.
type world struct {
	now      time.Time
	versions []*catalog.Catalog
	entries  []*worldEntry
	agents   []*fakeAgent
	flight   []message.Envelope
	open     []request
	answers  []message.Answer
	starts   map[string]int
	stamps   map[zinniasill.Key]zinniasill.Epoch
	// closed are keys that were answered not-run while no other request for them
	// was open. Nothing of them may start before the next submission.
	closed   map[zinniasill.Key]bool
	nextID   RequestID
	failures []string
	counts   counts
	// delivered counts the messages that reached a process.
	delivered int
}

func entryNode(i int) zinniasill.Node {
	return zinniasill.Node{ID: zinniasill.NodeID(fmt.Sprintf("entry-%d", i)), Incarnation: 1}
}

func agentNode(i int) zinniasill.Node {
	return zinniasill.Node{ID: zinniasill.NodeID(fmt.Sprintf("agent-%03d", i)), Incarnation: 1}
}

var testProfiles = []catalog.Profile{
	{Name: "proof", Kind: "render", AnswerWithin: 3 * time.Second, ExpectedRunTime: 50 * time.Millisecond, Repeat: catalog.RepeatResubmit},
	{Name: "pull", Kind: "render", AnswerWithin: 3 * time.Second, ExpectedRunTime: 50 * time.Millisecond, Repeat: catalog.RepeatNever},
}

func newWorld(entries, agents, slots int, seed uint64) *world {
	return newLimitedWorld(entries, agents, slots, seed, Limits{})
}

func newLimitedWorld(entries, agents, slots int, seed uint64, limits Limits) *world {
	w := &world{
		now: worldStart, starts: map[string]int{}, closed: map[zinniasill.Key]bool{}, counts: counts{},
		stamps: map[zinniasill.Key]zinniasill.Epoch{},
	}
	cat := catalog.New()
	cat.Revision = 1
	for _, profile := range testProfiles {
		cat.Profiles[profile.Name] = profile
	}
	for i := range agents {
		entry := catalog.NodeEntry{
			Node: agentNode(i), Role: catalog.RoleAgent, Domain: zinniasill.Domain(fmt.Sprintf("domain-%d", i%3)),
			Slots: slots, Kinds: []zinniasill.Kind{"render"}, State: catalog.Serving,
		}
		cat.Nodes[entry.Node.ID] = entry
		agent := newFakeAgent(entry.Node, slots)
		agent.started = w.started
		agent.send = w.post
		agent.now = func() time.Time { return w.now }
		w.agents = append(w.agents, agent)
	}
	w.versions = []*catalog.Catalog{cat}
	for i := range entries {
		cat.Nodes[entryNode(i).ID] = catalog.NodeEntry{Node: entryNode(i), Role: catalog.RoleEntry, State: catalog.Serving}
		lease := &fixedLease{valid: true, world: w}
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		w.entries = append(w.entries, &worldEntry{lease: lease, Coordinator: New(Config{
			Self: entryNode(i), Lease: lease, Picker: &placement.BetterOfTwo{Rand: random}, Rand: random, Counters: w.counts,
			Limits: limits,
		})})
	}
	w.newEpoch(cat)
	return w
}

// newEpoch adds an epoch of the live agents to a catalog that is not yet in use.
func (w *world) newEpoch(cat *catalog.Catalog) {
	epoch := catalog.EpochEntry{Number: cat.CurrentEpoch() + 1}
	for _, agent := range w.agents {
		entry, ok := cat.Nodes[agent.node.ID]
		if ok {
			epoch.Members = append(epoch.Members, catalog.EpochMember{Node: entry.Node, Domain: entry.Domain})
		}
	}
	cat.Epochs = append(cat.Epochs[:len(cat.Epochs):len(cat.Epochs)], epoch)
}

// change makes a new version of the configuration.
func (w *world) change(edit func(cat *catalog.Catalog)) {
	cat := w.versions[len(w.versions)-1].Clone()
	cat.Revision++
	edit(cat)
	w.versions = append(w.versions, cat)
}

// spread brings all entries up to date.
func (w *world) spread() {
	for _, entry := range w.entries {
		entry.lease.version = len(w.versions) - 1
	}
}

// restart gives an entry that was declared dead a new incarnation.
func (w *world) restart(entry *worldEntry) {
	node := entry.cfg.Self
	if entry.gone || w.versions[len(w.versions)-1].Alive(node) {
		return
	}
	node.Incarnation++
	w.change(func(cat *catalog.Catalog) {
		cat.Nodes[node.ID] = catalog.NodeEntry{Node: node, Role: catalog.RoleEntry, State: catalog.Serving}
	})
	entry.lease.version = len(w.versions) - 1
	entry.lease.valid = true
	entry.Restart(node)
	w.collect(entry)
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *world) post(from, to zinniasill.Node, body any) {
	w.flight = append(w.flight, message.Envelope{From: from, To: to, Body: body})
}

func (w *world) started(key zinniasill.Key, index zinniasill.TaskIndex) {
	w.starts[output(key, index)]++
	if n := w.starts[output(key, index)]; n > 1 {
		w.fail("task %d of %s started %d times", index, key, n)
	}
	if w.closed[key] {
		w.fail("task %d of %s started after a not-run answer", index, key)
	}
}

// submission returns a job with the stamp of its first submission.
func (w *world) submission(entry *worldEntry, key string, profile zinniasill.ProfileName, tasks int) message.Submission {
	k := zinniasill.Key{Team: "team", Client: key}
	if w.stamps[k] == 0 {
		w.stamps[k] = entry.lease.Catalog().CurrentEpoch()
	}
	sub := message.Submission{Key: k, Stamp: w.stamps[k], Profile: profile, Digest: sha256.Sum256([]byte(key))}
	for i := range tasks {
		sub.Payloads = append(sub.Payloads, []byte(output(k, zinniasill.TaskIndex(i))))
	}
	return sub
}

func (w *world) submit(entry *worldEntry, key string, profile zinniasill.ProfileName, tasks int) {
	w.submitTo(entry, w.submission(entry, key, profile, tasks))
}

func (w *world) submitTo(entry *worldEntry, sub message.Submission) {
	w.nextID++
	delete(w.closed, sub.Key)
	tasks := len(sub.Payloads)
	w.open = append(w.open, request{
		id: w.nextID, entry: entry, key: sub.Key, tasks: tasks, before: w.startsOf(sub.Key, tasks), never: sub.Profile == "pull",
	})
	entry.Submit(w.now, w.nextID, sub)
	w.collect(entry)
}

func (w *world) startsOf(key zinniasill.Key, tasks int) int {
	count := 0
	for i := range tasks {
		count += w.starts[output(key, zinniasill.TaskIndex(i))]
	}
	return count
}

// collect takes the outputs of an entry.
func (w *world) collect(entry *worldEntry) {
	w.flight = append(w.flight, message.Split(entry.Outbox())...)
	for _, reply := range entry.Replies() {
		at := slices.IndexFunc(w.open, func(r request) bool { return r.id == reply.Request })
		if at < 0 {
			w.fail("request %d answered twice", reply.Request)
			continue
		}
		req := w.open[at]
		w.open = slices.Delete(w.open, at, at+1)
		if !entry.gone {
			w.answered(req, reply.Answer)
		}
	}
}

// answered checks an answer that reaches its caller.
func (w *world) answered(req request, answer message.Answer) {
	w.answers = append(w.answers, answer)
	if answer.Complete {
		w.checkOutputs(req, answer)
		return
	}
	if answer.Code == "" || answer.Ran == "" || answer.Retry == "" || len(answer.Outputs) > 0 {
		w.fail("%s: malformed failure %+v", req.key, answer)
	}
	if answer.Ran == zinniasill.DidRun && w.startsOf(req.key, req.tasks) == 0 {
		w.fail("%s: %s says ran, nothing has started", req.key, answer.Code)
	}
	if answer.Ran != zinniasill.NotRun || answer.Code == zinniasill.ReasonKeyReused {
		return
	}
	if req.before > 0 {
		w.fail("%s: %s says not-run, the job had started before the request", req.key, answer.Code)
	}
	// A register that was read, and a tombstone, hold at a moment between the request
	// and its answer. A request through another entry may start the job after that.
	if answer.Code == zinniasill.ReasonLeaseExpired && !req.never || w.claimedAfterTombstone(req) {
		return
	}
	if n := w.startsOf(req.key, req.tasks); n > 0 {
		w.fail("%s: %s says not-run, %d tasks have started", req.key, answer.Code, n)
	}
	w.checkTakenOver(req, answer)
	w.closed[req.key] = !slices.ContainsFunc(w.open, func(r request) bool { return r.key == req.key })
}

// claimedAfterTombstone reports whether another entry has claimed the job after
// the entry that answers closed its last term with a tombstone.
func (w *world) claimedAfterTombstone(req request) bool {
	mine := req.entry.find(req.key)
	if mine == nil || mine.term < 2 {
		return false
	}
	register := message.Register{Key: req.key, Term: mine.term, Epoch: mine.epoch}
	closed := slices.ContainsFunc(w.agents, func(a *fakeAgent) bool {
		reply := a.read(register)
		return reply.HasValue && reply.Value.Tombstone
	})
	return closed && slices.ContainsFunc(w.entries, func(other *worldEntry) bool {
		r := other.find(req.key)
		return r != nil && r.epoch == mine.epoch && r.term > mine.term
	})
}

// checkTakenOver finds an entry that holds a later claim than the one whose owner
// says that nothing ran: that entry may start the job after the answer.
func (w *world) checkTakenOver(req request, answer message.Answer) {
	mine := req.entry.find(req.key)
	if mine == nil {
		return
	}
	for _, other := range w.entries {
		r := other.find(req.key)
		if other != req.entry && !other.gone && r != nil && r.owns() && r.epoch == mine.epoch && r.term > mine.term {
			w.fail("%s: %s says not-run, %s owns the job in term %d", req.key, answer.Code, other.cfg.Self, r.term)
		}
	}
}

func (w *world) checkOutputs(req request, answer message.Answer) {
	if len(answer.Outputs) != req.tasks {
		w.fail("%s: %d outputs for %d tasks", req.key, len(answer.Outputs), req.tasks)
		return
	}
	for i, got := range answer.Outputs {
		if want := output(req.key, zinniasill.TaskIndex(i)); string(got) != want {
			w.fail("%s: output %d is %q", req.key, i, got)
		}
	}
}

// deliver hands over the message at a position of the network.
func (w *world) deliver(at int) {
	env := w.flight[at]
	w.flight = slices.Delete(w.flight, at, at+1)
	w.handOver(env)
}

func (w *world) handOver(env message.Envelope) {
	for _, entry := range w.entries {
		if entry.cut && (entry.cfg.Self == env.To || entry.cfg.Self == env.From) {
			return
		}
	}
	if host, ok := w.versions[len(w.versions)-1].Host(env.To); ok {
		w.deliverToHost(host, env)
		return
	}
	for _, agent := range w.agents {
		if agent.node == env.To && !agent.dead {
			w.delivered++
			agent.receive(env.From, env.Body)
			return
		}
	}
	for _, entry := range w.entries {
		if entry.cfg.Self == env.To && !entry.gone {
			w.delivered++
			entry.Receive(w.now, env)
			w.collect(entry)
			return
		}
	}
}

// advance lets time pass.
func (w *world) advance(by time.Duration) {
	w.now = w.now.Add(by)
	for _, entry := range w.entries {
		if !entry.gone {
			entry.Tick(w.now)
			w.collect(entry)
		}
	}
}

// settleAll delivers everything in order and lets agents finish, for a time.
func (w *world) settleAll(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		for len(w.flight) > 0 {
			w.deliver(0)
		}
		for _, agent := range w.agents {
			if !agent.dead {
				agent.finish()
			}
		}
		w.advance(10 * time.Millisecond)
	}
}
