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

var simulationStart = time.Unix(1_000_000, 0)

// Catalog implements Lease.
func (l *fixedLease) Catalog() *catalog.Catalog { return l.simulation.versions[l.version] }

// simEntry is an entry of the simulation with its coordinator.
type simEntry struct {
	*Coordinator
	lease   *fixedLease
	crashed bool
	// partitioned is set while all messages from and to the entry are lost.
	partitioned bool
}

// request is one submission that waits for its answer.
type request struct {
	id    RequestID
	entry *simEntry
	key   zinniasill.Key
	tasks int
	// startsBefore is the number of starts of the job's tasks before the request.
	startsBefore int
	repeatNever  bool
}

// simulation is a system of coordinators, claim acceptors and fake agents whose network and
// clock a test controls. It checks the guarantees at every start and every answer.
type simulation struct {
	now          time.Time
	versions     []*catalog.Catalog
	entries      []*simEntry
	agents       []*fakeAgent
	inFlight     []message.Envelope
	openRequests []request
	answers      []message.Answer
	starts       map[string]int
	stamps       map[zinniasill.Key]zinniasill.Epoch
	// answeredNotRun holds the keys that were answered not-run while no other request for
	// them was open. None of their tasks may start before the next submission.
	answeredNotRun map[zinniasill.Key]bool
	nextID         RequestID
	failures       []string
	counters       counters
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

func newSimulation(entries, agents, slots int, seed uint64) *simulation {
	return newLimitedSimulation(entries, agents, slots, seed, Limits{})
}

func newLimitedSimulation(entries, agents, slots int, seed uint64, limits Limits) *simulation {
	s := &simulation{
		now: simulationStart, starts: map[string]int{}, answeredNotRun: map[zinniasill.Key]bool{}, counters: counters{},
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
		agent.recordStart = s.recordStart
		agent.send = s.enqueue
		agent.now = func() time.Time { return s.now }
		s.agents = append(s.agents, agent)
	}
	s.versions = []*catalog.Catalog{cat}
	for i := range entries {
		cat.Nodes[entryNode(i).ID] = catalog.NodeEntry{Node: entryNode(i), Role: catalog.RoleEntry, State: catalog.Serving}
		lease := &fixedLease{valid: true, simulation: s}
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		s.entries = append(s.entries, &simEntry{lease: lease, Coordinator: New(Config{
			Self: entryNode(i), Lease: lease, Picker: &placement.BetterOfTwo{Rand: random}, Rand: random, Counters: s.counters,
			Limits: limits,
		})})
	}
	s.newEpoch(cat)
	return s
}

// newEpoch adds an epoch of the live agents to a catalog that is not in use yet.
func (s *simulation) newEpoch(cat *catalog.Catalog) {
	epoch := catalog.EpochEntry{Number: cat.CurrentEpoch() + 1}
	for _, agent := range s.agents {
		entry, ok := cat.Nodes[agent.node.ID]
		if ok {
			epoch.Members = append(epoch.Members, catalog.EpochMember{Node: entry.Node, Domain: entry.Domain})
		}
	}
	cat.Epochs = append(cat.Epochs[:len(cat.Epochs):len(cat.Epochs)], epoch)
}

// changeCatalog creates a new version of the catalog.
func (s *simulation) changeCatalog(edit func(cat *catalog.Catalog)) {
	cat := s.versions[len(s.versions)-1].Clone()
	cat.Revision++
	edit(cat)
	s.versions = append(s.versions, cat)
}

// updateEntries gives the latest catalog to all entries.
func (s *simulation) updateEntries() {
	for _, entry := range s.entries {
		entry.lease.version = len(s.versions) - 1
	}
}

// restart gives an entry that was declared dead a new incarnation.
func (s *simulation) restart(entry *simEntry) {
	node := entry.cfg.Self
	if entry.crashed || s.versions[len(s.versions)-1].Alive(node) {
		return
	}
	node.Incarnation++
	s.changeCatalog(func(cat *catalog.Catalog) {
		cat.Nodes[node.ID] = catalog.NodeEntry{Node: node, Role: catalog.RoleEntry, State: catalog.Serving}
	})
	entry.lease.version = len(s.versions) - 1
	entry.lease.valid = true
	entry.Restart(node)
	s.collectOutputs(entry)
}

// fail records a violation of a guarantee.
func (s *simulation) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// enqueue adds a message to the network.
func (s *simulation) enqueue(from, to zinniasill.Node, body any) {
	s.inFlight = append(s.inFlight, message.Envelope{From: from, To: to, Body: body})
}

// recordStart records the start of a task and checks that it may start.
func (s *simulation) recordStart(key zinniasill.Key, index zinniasill.TaskIndex) {
	s.starts[output(key, index)]++
	if n := s.starts[output(key, index)]; n > 1 {
		s.fail("task %d of %s started %d times", index, key, n)
	}
	if s.answeredNotRun[key] {
		s.fail("task %d of %s started after a not-run answer", index, key)
	}
}

// submission returns a job with the stamp of its first submission.
func (s *simulation) submission(entry *simEntry, key string, profile zinniasill.ProfileName, tasks int) message.Submission {
	k := zinniasill.Key{Team: "team", Client: key}
	if s.stamps[k] == 0 {
		s.stamps[k] = entry.lease.Catalog().CurrentEpoch()
	}
	sub := message.Submission{Key: k, Stamp: s.stamps[k], Profile: profile, Digest: sha256.Sum256([]byte(key))}
	for i := range tasks {
		sub.Payloads = append(sub.Payloads, []byte(output(k, zinniasill.TaskIndex(i))))
	}
	return sub
}

func (s *simulation) submit(entry *simEntry, key string, profile zinniasill.ProfileName, tasks int) {
	s.submitTo(entry, s.submission(entry, key, profile, tasks))
}

func (s *simulation) submitTo(entry *simEntry, sub message.Submission) {
	s.nextID++
	delete(s.answeredNotRun, sub.Key)
	tasks := len(sub.Payloads)
	s.openRequests = append(s.openRequests, request{
		id: s.nextID, entry: entry, key: sub.Key, tasks: tasks, startsBefore: s.countStarts(sub.Key, tasks), repeatNever: sub.Profile == "pull",
	})
	entry.Submit(s.now, s.nextID, sub)
	s.collectOutputs(entry)
}

// countStarts returns the number of starts of the first tasks of a job.
func (s *simulation) countStarts(key zinniasill.Key, tasks int) int {
	count := 0
	for i := range tasks {
		count += s.starts[output(key, zinniasill.TaskIndex(i))]
	}
	return count
}

// collectOutputs takes the messages and replies of an entry.
func (s *simulation) collectOutputs(entry *simEntry) {
	s.inFlight = append(s.inFlight, message.Split(entry.Outbox())...)
	for _, reply := range entry.Replies() {
		at := slices.IndexFunc(s.openRequests, func(r request) bool { return r.id == reply.Request })
		if at < 0 {
			s.fail("request %d answered twice", reply.Request)
			continue
		}
		req := s.openRequests[at]
		s.openRequests = slices.Delete(s.openRequests, at, at+1)
		if !entry.crashed {
			s.checkAnswer(req, reply.Answer)
		}
	}
}

// checkAnswer records an answer and checks it against the tasks that have started.
func (s *simulation) checkAnswer(req request, answer message.Answer) {
	s.answers = append(s.answers, answer)
	if answer.Complete {
		s.checkOutputs(req, answer)
		return
	}
	if answer.Code == "" || answer.Ran == "" || answer.Retry == "" || len(answer.Outputs) > 0 {
		s.fail("%s: malformed failure answer %+v", req.key, answer)
	}
	if answer.Ran == zinniasill.DidRun && s.countStarts(req.key, req.tasks) == 0 {
		s.fail("%s: %s reports that tasks ran, but none has started", req.key, answer.Code)
	}
	if answer.Ran != zinniasill.NotRun || answer.Code == zinniasill.ReasonKeyReused {
		return
	}
	if req.startsBefore > 0 {
		s.fail("%s: %s reports not-run, but the job had started before the request", req.key, answer.Code)
	}
	// A read register or a tombstone proves that nothing ran up to some moment between the
	// request and its answer. A request through another entry may start the job after it.
	if answer.Code == zinniasill.ReasonLeaseExpired && !req.repeatNever || s.claimedAfterTombstone(req) {
		return
	}
	if n := s.countStarts(req.key, req.tasks); n > 0 {
		s.fail("%s: %s reports not-run, but %d tasks have started", req.key, answer.Code, n)
	}
	s.checkNotTakenOver(req, answer)
	s.answeredNotRun[req.key] = !slices.ContainsFunc(s.openRequests, func(r request) bool { return r.key == req.key })
}

// claimedAfterTombstone reports whether another entry has claimed the job after the entry
// that answers closed its last term with a tombstone.
func (s *simulation) claimedAfterTombstone(req request) bool {
	mine := req.entry.find(req.key)
	if mine == nil || mine.term < 2 {
		return false
	}
	register := message.Register{Key: req.key, Term: mine.term, Epoch: mine.epoch}
	closed := slices.ContainsFunc(s.agents, func(a *fakeAgent) bool {
		reply := a.read(register)
		return reply.HasValue && reply.Value.Tombstone
	})
	return closed && slices.ContainsFunc(s.entries, func(other *simEntry) bool {
		r := other.find(req.key)
		return r != nil && r.epoch == mine.epoch && r.term > mine.term
	})
}

// checkNotTakenOver fails if another entry holds a later claim than the entry that answers
// not-run, since the other entry may start the job after the answer.
func (s *simulation) checkNotTakenOver(req request, answer message.Answer) {
	mine := req.entry.find(req.key)
	if mine == nil {
		return
	}
	for _, other := range s.entries {
		r := other.find(req.key)
		if other != req.entry && !other.crashed && r != nil && r.owns() && r.epoch == mine.epoch && r.term > mine.term {
			s.fail("%s: %s reports not-run, but %s owns the job in term %d", req.key, answer.Code, other.cfg.Self, r.term)
		}
	}
}

// checkOutputs checks that a complete answer has the right output for each task.
func (s *simulation) checkOutputs(req request, answer message.Answer) {
	if len(answer.Outputs) != req.tasks {
		s.fail("%s: %d outputs for %d tasks", req.key, len(answer.Outputs), req.tasks)
		return
	}
	for i, got := range answer.Outputs {
		if want := output(req.key, zinniasill.TaskIndex(i)); string(got) != want {
			s.fail("%s: output %d is %q", req.key, i, got)
		}
	}
}

// deliver removes the message at an index from the network and delivers it.
func (s *simulation) deliver(at int) {
	env := s.inFlight[at]
	s.inFlight = slices.Delete(s.inFlight, at, at+1)
	s.deliverEnvelope(env)
}

// deliverEnvelope delivers a message to its receiver, or drops it if the receiver is dead or
// either side is partitioned.
func (s *simulation) deliverEnvelope(env message.Envelope) {
	for _, entry := range s.entries {
		if entry.partitioned && (entry.cfg.Self == env.To || entry.cfg.Self == env.From) {
			return
		}
	}
	if host, ok := s.versions[len(s.versions)-1].Host(env.To); ok {
		s.deliverToHost(host, env)
		return
	}
	for _, agent := range s.agents {
		if agent.node == env.To && !agent.dead {
			s.delivered++
			agent.receive(env.From, env.Body)
			return
		}
	}
	for _, entry := range s.entries {
		if entry.cfg.Self == env.To && !entry.crashed {
			s.delivered++
			entry.Receive(s.now, env)
			s.collectOutputs(entry)
			return
		}
	}
}

// advance advances the time and the timers of all entries.
func (s *simulation) advance(by time.Duration) {
	s.now = s.now.Add(by)
	for _, entry := range s.entries {
		if !entry.crashed {
			entry.Tick(s.now)
			s.collectOutputs(entry)
		}
	}
}

// runFor runs the simulation for a time without faults: it delivers all messages in order,
// and each live agent finishes a task every 10 ms.
func (s *simulation) runFor(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		for len(s.inFlight) > 0 {
			s.deliver(0)
		}
		for _, agent := range s.agents {
			if !agent.dead {
				agent.finish()
			}
		}
		s.advance(10 * time.Millisecond)
	}
}
