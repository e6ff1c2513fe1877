package control

import (
	"bytes"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/catalog"
)

// naive is the configuration as a map under one lock: the revision and value of
// each object, and the first answer of each request id.
type naive struct {
	mu       sync.Mutex
	revision zinniasill.Revision
	objects  map[string]naiveObject
	answers  map[RequestID]naiveAnswer
	nodes    map[zinniasill.NodeID]zinniasill.Node
	dead     map[zinniasill.Node]bool
}

type naiveObject struct {
	revision zinniasill.Revision
	value    string
}

type naiveAnswer struct {
	command string
	result  Result
}

func newNaive() *naive {
	return &naive{
		objects: map[string]naiveObject{},
		answers: map[RequestID]naiveAnswer{},
		nodes:   map[zinniasill.NodeID]zinniasill.Node{},
		dead:    map[zinniasill.Node]bool{},
	}
}

// change edits one object; an empty value removes it.
func (n *naive) change(id RequestID, object string, base zinniasill.Revision, value string) Result {
	n.mu.Lock()
	defer n.mu.Unlock()
	command := fmt.Sprint(object, base, value)
	if first, ok := n.answers[id]; ok {
		if first.command != command {
			return Result{Code: CodeRequestReused}
		}
		return first.result
	}
	result := n.edit(object, base, value)
	n.answers[id] = naiveAnswer{command: command, result: result}
	return result
}

func (n *naive) edit(object string, base zinniasill.Revision, value string) Result {
	current, ok := n.objects[object]
	switch {
	case current.revision != base:
		return Result{Code: CodeConflict, Revision: current.revision}
	case value == "" && !ok:
		return Result{}
	case value == "":
		n.revision++
		delete(n.objects, object)
		return Result{}
	}
	n.revision++
	n.objects[object] = naiveObject{revision: n.revision, value: value}
	return Result{Revision: n.revision}
}

func (n *naive) register(node zinniasill.Node) Result {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed, ok := n.nodes[node.ID]
	switch {
	case n.dead[node]:
		return Result{Code: CodeDeadIncarnation}
	case ok && listed == node:
		return Result{}
	case ok:
		n.dead[listed] = true
	}
	n.revision++
	n.nodes[node.ID] = node
	return Result{Revision: n.revision}
}

func (n *naive) declareDead(node zinniasill.Node) Result {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[node.ID] != node {
		return Result{}
	}
	n.revision++
	n.dead[node] = true
	delete(n.nodes, node.ID)
	return Result{Revision: n.revision}
}

func (n *naive) content() map[string]naiveObject {
	content := map[string]naiveObject{}
	for name, object := range n.objects {
		content[name] = object
	}
	for id, node := range n.nodes {
		content["node/"+string(id)] = naiveObject{value: node.String()}
	}
	return content
}

func contentOf(c *catalog.Catalog) map[string]naiveObject {
	content := map[string]naiveObject{}
	for name, p := range c.Profiles {
		content["profile/"+string(name)] = naiveObject{p.Revision, p.AnswerWithin.String()}
	}
	for name, d := range c.Domains {
		content["domain/"+string(name)] = naiveObject{d.Revision, string(d.State)}
	}
	for name, t := range c.Teams {
		content["team/"+string(name)] = naiveObject{t.Revision, fmt.Sprint(t.Quota)}
	}
	for name, e := range c.Endpoints {
		content["endpoint/"+string(name)] = naiveObject{e.Revision, string(e.State)}
	}
	for id, n := range c.Nodes {
		content["node/"+string(id)] = naiveObject{value: n.Node.String()}
	}
	return content
}

// system is the machine, its naive counterpart and a node that follows it.
type system struct {
	machine  *Machine
	naive    *naive
	follower *catalog.Catalog
	index    uint64
	sent     []sentCommand
	lastID   int
}

// sentCommand can be sent again later, as an operator does who got no answer.
type sentCommand struct {
	command Command
	apply   func(*naive) Result
}

func (s *system) run(t *rapid.T, sent sentCommand) {
	data, err := Encode(sent.command)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	s.index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
	got := s.machine.Apply(s.index, data)
	want := sent.apply(s.naive)
	if got.Err != nil || got.Code != want.Code || got.Revision != want.Revision {
		t.Fatalf("%+v: result %+v, want %+v", sent.command, got, want)
	}
	s.sent = append(s.sent, sent)
}

// base draws the revision that an operator read: mostly the current one, else
// one that another operator has changed since.
func (s *system) base(t *rapid.T, object string) zinniasill.Revision {
	current := s.naive.objects[object].revision
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		return zinniasill.Revision(rapid.Uint64Range(0, uint64(s.naive.revision)).Draw(t, "base"))
	}
	return current
}

func (s *system) request(t *rapid.T) RequestID {
	if s.lastID > 0 && rapid.IntRange(0, 9).Draw(t, "reuse") == 0 {
		return RequestID(fmt.Sprint(rapid.IntRange(1, s.lastID).Draw(t, "id")))
	}
	s.lastID++
	return RequestID(fmt.Sprint(s.lastID))
}

// operate draws one operator's change.
func (s *system) operate(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	kind := rapid.SampledFrom([]string{"profile", "delete", "domain", "team", "endpoint"}).Draw(t, "kind")
	object := kind + "/" + name
	if kind == "delete" {
		object = "profile/" + name
	}
	base := s.base(t, object)
	command := Command{Request: s.request(t)}
	value := ""
	switch kind {
	case "profile":
		within := time.Duration(rapid.IntRange(1, 9).Draw(t, "within")) * time.Second
		value = within.String()
		command.Profile = &PutProfile{Base: base, Profile: catalog.Profile{
			Name: zinniasill.ProfileName(name), Kind: "press", AnswerWithin: within,
			ExpectedRunTime: time.Millisecond, Repeat: catalog.RepeatNever, MaxTasks: 1,
		}}
	case "delete":
		command.Delete = &DeleteProfile{Base: base, Name: zinniasill.ProfileName(name)}
	case "domain":
		state := rapid.SampledFrom([]catalog.DomainState{catalog.DomainInService, catalog.DomainOutOfService}).Draw(t, "state")
		value = string(state)
		command.Domain = &PutDomain{Base: base, Name: zinniasill.Domain(name), State: state}
	case "team":
		quota := rapid.IntRange(0, 9).Draw(t, "quota")
		value = fmt.Sprint(quota)
		command.Team = &PutTeam{Base: base, Name: zinniasill.Team(name), Quota: quota}
	case "endpoint":
		state := rapid.SampledFrom([]catalog.ServeState{catalog.Serving, catalog.Leaving}).Draw(t, "state")
		value = string(state)
		command.Endpoint = &PutEndpoint{Base: base, Name: zinniasill.NodeID(name), State: state}
	}
	s.run(t, sentCommand{command: command, apply: func(n *naive) Result {
		return n.change(command.Request, object, base, value)
	}})
}

func (s *system) node(t *rapid.T) zinniasill.Node {
	return zinniasill.Node{
		ID:          rapid.SampledFrom([]zinniasill.NodeID{"n1", "n2"}).Draw(t, "node"),
		Incarnation: zinniasill.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation")),
	}
}

func testEntry(node zinniasill.Node, role catalog.Role) catalog.NodeEntry {
	return catalog.NodeEntry{
		Node: node, Role: role, Domain: "zone-a", Address: "10.0.0.1:7000", State: catalog.Serving,
	}
}

// snapshot replaces the machine by one restored from its snapshot, after a
// truncated snapshot was refused without an effect.
func (s *system) snapshot(t *rapid.T) {
	data := s.machine.Snapshot()
	cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
	if err := s.machine.Restore(data[:cut]); err == nil {
		t.Fatalf("restored a snapshot of %d of %d bytes", cut, len(data))
	}
	if !bytes.Equal(s.machine.Snapshot(), data) {
		t.Fatal("a refused snapshot changed the state")
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatalf("restore: %v", err)
	}
	if !bytes.Equal(restored.Snapshot(), data) {
		t.Fatal("a restored machine has another snapshot")
	}
	s.machine = restored
}

// follow updates the follower as a renewal does.
func (s *system) follow(t *rapid.T) {
	changes, ok := s.machine.ChangesSince(s.follower.Revision)
	if !ok {
		s.follower = s.machine.Catalog()
		return
	}
	next := s.follower.Clone()
	for _, change := range changes {
		next.Apply(change)
	}
	s.follower = next
	if !reflect.DeepEqual(contentOf(next), s.naive.content()) || next.Revision != s.naive.revision {
		t.Fatalf("follower %v at %d, want %v", contentOf(next), next.Revision, s.naive.content())
	}
}

// TestMachineMatchesNaive guards against lost updates, answers that differ
// between a command and its resend, dead incarnations that return, and state that
// a snapshot does not carry.
func TestMachineMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &system{machine: New(), naive: newNaive(), follower: catalog.New()}
		s.machine.limits.changes = 5
		t.Repeat(map[string]func(*rapid.T){
			"operate": s.operate,
			"resend": func(t *rapid.T) {
				if len(s.sent) == 0 {
					t.Skip("nothing was sent")
				}
				s.run(t, s.sent[rapid.IntRange(0, len(s.sent)-1).Draw(t, "sent")])
			},
			"register": func(t *rapid.T) {
				node := s.node(t)
				s.run(t, sentCommand{
					command: Command{Register: &RegisterNode{Entry: testEntry(node, catalog.RoleEntry)}},
					apply:   func(n *naive) Result { return n.register(node) },
				})
			},
			"declare dead": func(t *rapid.T) {
				node := s.node(t)
				s.run(t, sentCommand{
					command: Command{Dead: &DeclareDead{Node: node}},
					apply:   func(n *naive) Result { return n.declareDead(node) },
				})
			},
			"snapshot": s.snapshot,
			"follow":   s.follow,
			"": func(t *rapid.T) {
				got := s.machine.Catalog()
				if !reflect.DeepEqual(contentOf(got), s.naive.content()) || got.Revision != s.naive.revision {
					t.Fatalf("content %v at %d, want %v at %d",
						contentOf(got), got.Revision, s.naive.content(), s.naive.revision)
				}
			},
		})
	})
}
