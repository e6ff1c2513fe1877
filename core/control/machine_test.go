package control

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// applier applies commands at successive indexes.
type applier struct {
	t       *testing.T
	machine *Machine
	index   uint64
}

func (a *applier) apply(command Command) Result {
	a.t.Helper()
	data, err := Encode(command)
	if err != nil {
		a.t.Fatal(err)
	}
	a.index++
	return a.machine.Apply(a.index, data)
}

func agentNode(id string, incarnation uint64) zinniasill.Node {
	return zinniasill.Node{ID: zinniasill.NodeID(id), Incarnation: zinniasill.Incarnation(incarnation)}
}

func (a *applier) register(nodes ...zinniasill.Node) {
	a.t.Helper()
	for _, node := range nodes {
		if result := a.apply(Command{Register: &RegisterNode{Entry: testEntry(node, catalog.RoleAgent)}}); result.Code != "" {
			a.t.Fatalf("register %s: %s", node, result.Code)
		}
	}
}

// TestHandover guards against records of a stopped agent that cannot be found,
// through a second handover, a snapshot, and until their epochs are dropped.
func TestHandover(t *testing.T) {
	a := &applier{t: t, machine: New()}
	a1, b1, c1 := agentNode("a", 1), agentNode("b", 1), agentNode("c", 1)
	a.register(a1, b1, c1)
	a.apply(Command{Epoch: &NewEpoch{Number: 1}})
	if code := a.apply(Command{Handover: &Handover{Node: a1, Host: agentNode("b", 2)}}).Code; code != CodeNoHost {
		t.Errorf("handover to an unknown incarnation: %q", code)
	}
	for _, move := range []Handover{{Node: a1, Host: b1}, {Node: a1, Host: b1}, {Node: b1, Host: c1}} {
		if code := a.apply(Command{Handover: &move}).Code; code != "" {
			t.Fatalf("handover %v: %q", move, code)
		}
	}
	if err := a.machine.Restore(a.machine.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if host, ok := a.machine.Catalog().Host(a1); !ok || host != c1 {
		t.Errorf("host %v %t, want %v", host, ok, c1)
	}
	if !a.machine.Dead(a1) || a.machine.Catalog().Alive(a1) {
		t.Error("the stopped incarnation is still alive")
	}
	a.apply(Command{Epoch: &NewEpoch{Number: 2}})
	a.apply(Command{Drop: &DropEpochs{UpTo: 1}})
	if host, ok := a.machine.Catalog().Host(a1); ok {
		t.Errorf("host %v is listed after its epochs were dropped", host)
	}
}

// TestEpochs guards against epochs that are skipped, made twice, empty, or
// dropped while they are current.
func TestEpochs(t *testing.T) {
	a := &applier{t: t, machine: New()}
	steps := []struct {
		command Command
		want    Code
	}{
		{Command{Epoch: &NewEpoch{Number: 1}}, CodeEpochRefused},
		{Command{Register: &RegisterNode{Entry: testEntry(agentNode("a", 1), catalog.RoleAgent)}}, ""},
		{Command{Epoch: &NewEpoch{Number: 2}}, CodeEpochRefused},
		{Command{Epoch: &NewEpoch{Number: 1}}, ""},
		{Command{Epoch: &NewEpoch{Number: 1}}, CodeEpochRefused},
		{Command{Drop: &DropEpochs{UpTo: 1}}, CodeEpochRefused},
		{Command{Epoch: &NewEpoch{Number: 2}}, ""},
		{Command{Drop: &DropEpochs{UpTo: 1}}, ""},
	}
	for i, step := range steps {
		if got := a.apply(step.command).Code; got != step.want {
			t.Errorf("step %d: %q, want %q", i, got, step.want)
		}
	}
}

// TestRequestsAreBounded guards against memory that grows with the number of
// changes, and against a restored replica that forgets other ids than its peers.
func TestRequestsAreBounded(t *testing.T) {
	a := &applier{t: t, machine: New()}
	a.machine.limits.requests = 3
	put := func(id int) Result {
		return a.apply(Command{Request: RequestID(fmt.Sprint(id)), Team: &PutTeam{Name: "atlas", Quota: 1}})
	}
	for id := range 4 {
		put(id)
	}
	if len(a.machine.requests) != 3 || len(a.machine.requestOrder) != 3 {
		t.Errorf("%d ids are remembered, want 3", len(a.machine.requests))
	}
	if err := a.machine.Restore(a.machine.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if _, ok := a.machine.requests["0"]; ok {
		t.Error("the oldest id is remembered")
	}
}

// TestCatalogIsImmutable guards against readers that see a later change.
func TestCatalogIsImmutable(t *testing.T) {
	a := &applier{t: t, machine: New()}
	a.register(agentNode("a", 1))
	before := a.machine.Catalog()
	a.register(agentNode("b", 1))
	if len(before.Nodes) != 1 || before.Revision != 1 {
		t.Errorf("a catalog that was handed out has changed: %d nodes", len(before.Nodes))
	}
}

// TestApplyRefusesUninterpretableEntries guards against replicas that diverge by
// skipping what they do not understand.
func TestApplyRefusesUninterpretableEntries(t *testing.T) {
	valid, err := Encode(Command{Request: "r", Team: &PutTeam{Name: "atlas"}})
	if err != nil {
		t.Fatal(err)
	}
	later, _ := encoder.Marshal(map[int]any{1: CommandVersion + 1, 99: "later"})
	unknown, _ := encoder.Marshal(map[int]any{1: CommandVersion, 2: "r", 99: "unknown"})
	two, _ := encoder.Marshal(Command{Version: CommandVersion, Team: &PutTeam{}, Dead: &DeclareDead{}})
	tests := map[string]struct {
		data []byte
		want error
	}{
		"later version": {later, ErrCommandVersion},
		"unknown field": {unknown, ErrCommandMalformed},
		"two bodies":    {two, ErrCommandMalformed},
		"truncated":     {valid[:len(valid)-1], ErrCommandMalformed},
		"trailing data": {append(valid[:len(valid):len(valid)], 0), ErrCommandMalformed},
		"empty":         {nil, ErrCommandMalformed},
		"too large":     {make([]byte, MaxCommandSize+1), ErrCommandMalformed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			machine := New()
			if result := machine.Apply(1, tt.data); !errors.Is(result.Err, tt.want) {
				t.Errorf("error %v, want %v", result.Err, tt.want)
			}
			if machine.Applied() != 0 {
				t.Error("the entry counts as applied")
			}
		})
	}
}

// TestValidateProfile guards against profiles that cannot be served and against
// findings that are reported one at a time.
func TestValidateProfile(t *testing.T) {
	valid := catalog.Profile{
		Name: "proof", Kind: "press", AnswerWithin: time.Second, ExpectedRunTime: 50 * time.Millisecond,
		Repeat: catalog.RepeatResubmit, Domains: []zinniasill.Domain{"zone-a"}, MaxTasks: 1000,
	}
	tests := map[string]struct {
		edit func(p *catalog.Profile)
		want []string
	}{
		"valid":              {func(*catalog.Profile) {}, nil},
		"empty":              {func(p *catalog.Profile) { *p = catalog.Profile{} }, []string{"name", "kind", "answer-within", "expected-run-time", "repeat", "max-tasks"}},
		"names":              {func(p *catalog.Profile) { p.Name, p.Kind = "a b", "-x" }, []string{"name", "kind"}},
		"longer than answer": {func(p *catalog.Profile) { p.ExpectedRunTime = 2 * time.Second }, []string{"expected-run-time"}},
		"answer too long":    {func(p *catalog.Profile) { p.AnswerWithin = time.Hour }, []string{"answer-within"}},
		"repeat":             {func(p *catalog.Profile) { p.Repeat = "always" }, []string{"repeat"}},
		"domain twice":       {func(p *catalog.Profile) { p.Domains = []zinniasill.Domain{"a", "b", "a"} }, []string{"domains[2]"}},
		"domain form":        {func(p *catalog.Profile) { p.Domains = []zinniasill.Domain{"", "a/b"} }, []string{"domains[0]", "domains[1]"}},
		"too many tasks":     {func(p *catalog.Profile) { p.MaxTasks = 1001 }, []string{"max-tasks"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			profile := valid
			tt.edit(&profile)
			var got []string
			for _, finding := range ValidateProfile(profile) {
				got = append(got, finding.Field)
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("findings for %q, want %q", got, tt.want)
			}
		})
	}
}

// FuzzDecode guards against a decoder that panics, or that accepts an entry which
// it would not write in the same way.
func FuzzDecode(f *testing.F) {
	seeds := []Command{
		{Request: "r", Team: &PutTeam{Name: "atlas", Quota: 3}},
		{Request: "r", Domain: &PutDomain{Base: 4, Name: "zone-a", State: catalog.DomainOutOfService}},
		{Register: &RegisterNode{Entry: testEntry(agentNode("a", 1), catalog.RoleAgent)}},
		{Handover: &Handover{Node: agentNode("a", 1), Host: agentNode("b", 1)}},
	}
	for _, seed := range seeds {
		data, err := Encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := Decode(data)
		if err != nil {
			if !errors.Is(err, ErrCommandMalformed) && !errors.Is(err, ErrCommandVersion) {
				t.Fatalf("error of another kind: %v", err)
			}
			return
		}
		again, err := Encode(command)
		if err != nil {
			return // A shorter form may be accepted than the one that is written.
		}
		decoded, err := Decode(again)
		if err != nil || !reflect.DeepEqual(decoded, command) {
			t.Fatalf("decoded %+v (%v), want %+v", decoded, err, command)
		}
		New().Apply(1, data)
	})
}

// TestDocument guards against a document that an older or a competing one replaces, that
// a snapshot loses, or that a node's copy does not follow.
func TestDocument(t *testing.T) {
	a := &applier{t: t, machine: New()}
	put := func(request string, version zinniasill.DocumentVersion, content string) Result {
		t.Helper()
		return a.apply(Command{
			Request:  RequestID(request),
			Document: &PutDocument{Version: version, Content: []byte(content)},
		})
	}
	steps := []struct {
		request string
		version zinniasill.DocumentVersion
		content string
		want    string
	}{
		{"1", 4, "first", "first"},
		{"2", 4, "competing", "first"},
		{"3", 3, "older", "first"},
		{"4", 9, "newer", "newer"},
		{"1", 4, "first", "newer"},
	}
	for _, step := range steps {
		if result := put(step.request, step.version, step.content); result.Code != "" {
			t.Errorf("version %d was refused with %q", step.version, result.Code)
		}
		if got := a.machine.Catalog().Document; string(got.Content) != step.want {
			t.Errorf("after version %d %q: document %q", step.version, step.content, got.Content)
		}
	}
	if result := put("5", 0, "no version"); result.Code != CodeInvalid {
		t.Errorf("version 0: %q", result.Code)
	}
	copied := catalog.New()
	changes, ok := a.machine.ChangesSince(0)
	if !ok {
		t.Fatal("the changes are gone")
	}
	for _, change := range changes {
		copied.Apply(change)
	}
	restored := New()
	if err := restored.Restore(a.machine.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for name, doc := range map[string]catalog.Document{"copy": copied.Document, "snapshot": restored.Catalog().Document} {
		if doc.Version != 9 || string(doc.Content) != "newer" {
			t.Errorf("%s: version %d %q", name, doc.Version, doc.Content)
		}
	}
}
