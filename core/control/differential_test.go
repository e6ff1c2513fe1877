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

// naive is a reference implementation of the configuration: a map under one lock with
// the revision and value of each object, and the first result of each request id.
type naive struct {
	mu       sync.Mutex
	revision zinniasill.Revision
	objects  map[string]naiveObject
	results  map[RequestID]naiveResult
	nodes    map[zinniasill.NodeID]zinniasill.Node
	dead     map[zinniasill.Node]bool
}

type naiveObject struct {
	revision zinniasill.Revision
	value    string
}

type naiveResult struct {
	command string
	result  Result
}

func newNaive() *naive {
	return &naive{
		objects: map[string]naiveObject{},
		results: map[RequestID]naiveResult{},
		nodes:   map[zinniasill.NodeID]zinniasill.Node{},
		dead:    map[zinniasill.Node]bool{},
	}
}

// change changes one object; an empty value deletes it. A repeated request id gets the
// first result.
func (n *naive) change(id RequestID, object string, base zinniasill.Revision, value string) Result {
	n.mu.Lock()
	defer n.mu.Unlock()
	command := fmt.Sprint(object, base, value)
	if first, ok := n.results[id]; ok {
		if first.command != command {
			return Result{Code: CodeRequestReused}
		}
		return first.result
	}
	result := n.edit(object, base, value)
	n.results[id] = naiveResult{command: command, result: result}
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

// harness compares the machine with the naive implementation and with the catalog of a
// node that applies the machine's changes.
type harness struct {
	machine  *Machine
	naive    *naive
	follower *catalog.Catalog
	index    uint64
	sent     []sentCommand
	lastID   int
}

// sentCommand is a command that can be resent later, as by an operator who got no reply.
type sentCommand struct {
	command Command
	apply   func(*naive) Result
}

// applyToBoth applies a command to the machine and to the naive implementation, and
// compares the results.
func (h *harness) applyToBoth(t *rapid.T, sent sentCommand) {
	data, err := Encode(sent.command)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	h.index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
	got := h.machine.Apply(h.index, data)
	want := sent.apply(h.naive)
	if got.Err != nil || got.Code != want.Code || got.Revision != want.Revision {
		t.Fatalf("%+v: result %+v, want %+v", sent.command, got, want)
	}
	h.sent = append(h.sent, sent)
}

// base draws the revision that an operator's change is based on: mostly the object's
// current one, otherwise any, as if another operator had changed the object since.
func (h *harness) base(t *rapid.T, object string) zinniasill.Revision {
	current := h.naive.objects[object].revision
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		return zinniasill.Revision(rapid.Uint64Range(0, uint64(h.naive.revision)).Draw(t, "base"))
	}
	return current
}

// request draws a request id: mostly a new one, otherwise one that was used before.
func (h *harness) request(t *rapid.T) RequestID {
	if h.lastID > 0 && rapid.IntRange(0, 9).Draw(t, "reuse") == 0 {
		return RequestID(fmt.Sprint(rapid.IntRange(1, h.lastID).Draw(t, "id")))
	}
	h.lastID++
	return RequestID(fmt.Sprint(h.lastID))
}

// drawOperatorChange draws an operator's change and applies it.
func (h *harness) drawOperatorChange(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	kind := rapid.SampledFrom([]string{"profile", "delete", "domain", "team", "endpoint"}).Draw(t, "kind")
	object := kind + "/" + name
	if kind == "delete" {
		object = "profile/" + name
	}
	base := h.base(t, object)
	command := Command{Request: h.request(t)}
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
	h.applyToBoth(t, sentCommand{command: command, apply: func(n *naive) Result {
		return n.change(command.Request, object, base, value)
	}})
}

func (h *harness) node(t *rapid.T) zinniasill.Node {
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

// snapshot replaces the machine by one restored from its snapshot, after checking that
// a truncated snapshot is refused and leaves the state unchanged.
func (h *harness) snapshot(t *rapid.T) {
	data := h.machine.Snapshot()
	cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
	if err := h.machine.Restore(data[:cut]); err == nil {
		t.Fatalf("a snapshot truncated to %d of %d bytes was restored", cut, len(data))
	}
	if !bytes.Equal(h.machine.Snapshot(), data) {
		t.Fatal("a refused snapshot changed the state")
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatalf("restore: %v", err)
	}
	if !bytes.Equal(restored.Snapshot(), data) {
		t.Fatal("the snapshot of a restored machine differs from the original")
	}
	h.machine = restored
}

// updateFollower brings the follower's catalog up to date, as a renewal does.
func (h *harness) updateFollower(t *rapid.T) {
	changes, ok := h.machine.ChangesSince(h.follower.Revision)
	if !ok {
		h.follower = h.machine.Catalog()
		return
	}
	next := h.follower.Clone()
	for _, change := range changes {
		next.Apply(change)
	}
	h.follower = next
	if !reflect.DeepEqual(contentOf(next), h.naive.content()) || next.Revision != h.naive.revision {
		t.Fatalf("follower %v at %d, want %v", contentOf(next), next.Revision, h.naive.content())
	}
}

// TestMachineMatchesNaive guards against lost updates, a resent command that gets
// another result, dead incarnations that are registered again, and state that is
// missing from snapshots.
func TestMachineMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{machine: New(), naive: newNaive(), follower: catalog.New()}
		h.machine.limits.changes = 5
		t.Repeat(map[string]func(*rapid.T){
			"operate": h.drawOperatorChange,
			"resend": func(t *rapid.T) {
				if len(h.sent) == 0 {
					t.Skip("nothing was sent")
				}
				h.applyToBoth(t, h.sent[rapid.IntRange(0, len(h.sent)-1).Draw(t, "sent")])
			},
			"register": func(t *rapid.T) {
				node := h.node(t)
				h.applyToBoth(t, sentCommand{
					command: Command{Register: &RegisterNode{Entry: testEntry(node, catalog.RoleEntry)}},
					apply:   func(n *naive) Result { return n.register(node) },
				})
			},
			"declare dead": func(t *rapid.T) {
				node := h.node(t)
				h.applyToBoth(t, sentCommand{
					command: Command{Dead: &DeclareDead{Node: node}},
					apply:   func(n *naive) Result { return n.declareDead(node) },
				})
			},
			"snapshot": h.snapshot,
			"follow":   h.updateFollower,
			"": func(t *rapid.T) {
				got := h.machine.Catalog()
				if !reflect.DeepEqual(contentOf(got), h.naive.content()) || got.Revision != h.naive.revision {
					t.Fatalf("content %v at %d, want %v at %d",
						contentOf(got), got.Revision, h.naive.content(), h.naive.revision)
				}
			},
		})
	})
}
