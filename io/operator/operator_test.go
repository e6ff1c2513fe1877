package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
	"zinniasill/io/operator"
)

// stub is a control replica that commits at once. Fail makes it lose answers
// after the commit.
type stub struct {
	mu      sync.Mutex
	machine *control.Machine
	index   uint64
	fail    bool
	changes []operator.MemberChange
}

func (s *stub) Propose(_ context.Context, command control.Command) (control.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := control.Encode(command)
	if err != nil {
		return control.Result{}, err
	}
	s.index++
	result := s.machine.Apply(s.index, data)
	if s.fail {
		return control.Result{}, control.ErrTimeout
	}
	return result, nil
}

func (s *stub) Catalog(context.Context) (*catalog.Catalog, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return nil, control.ErrTimeout
	}
	return s.machine.Catalog(), nil
}

func (s *stub) Members(context.Context) ([]operator.Member, error) {
	return []operator.Member{{Name: "control-0", Instance: "ff", Voter: true, Leader: true}}, nil
}

func (s *stub) ChangeMember(_ context.Context, change operator.MemberChange) error {
	s.changes = append(s.changes, change)
	return &operator.Error{Status: http.StatusConflict, Code: "change-in-progress", Message: "another change is in progress"}
}

// serve starts a replica and returns it with its address.
func serve(t *testing.T, machine *control.Machine) (replica *stub, address string) {
	replica = &stub{machine: machine}
	server := httptest.NewServer(operator.New(operator.Config{Configuration: replica, Membership: replica}))
	t.Cleanup(server.Close)
	return replica, strings.TrimPrefix(server.URL, "http://")
}

const validProfile = `{"kind":"press","answer-within":"250ms","expected-run-time":"50ms","repeat":"never","max-tasks":5,`

// TestHandler guards against bad requests that are accepted, findings that are
// reported one at a time, and errors in another form than the documented one.
func TestHandler(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		status             int
		code               operator.Code
		fields             []string
	}{
		"put profile":      {"PUT", "/v1/profiles/proof", validProfile + `"base-revision":0,"request-id":"a"}`, 200, "", nil},
		"no edit":          {"PUT", "/v1/profiles/proof", validProfile + `"name":"proof"}`, 400, "bad-request", []string{"base-revision", "request-id"}},
		"all findings":     {"PUT", "/v1/profiles/proof", `{"base-revision":0,"request-id":"a","name":"other","answer-within":"soon","max-tasks":"5","colour":1}`, 400, "bad-request", []string{"answer-within", "colour", "max-tasks", "name", "kind", "expected-run-time", "repeat"}},
		"not JSON":         {"PUT", "/v1/profiles/proof", `name: proof`, 400, "bad-request", []string{"body"}},
		"stale base":       {"PUT", "/v1/domains/zone-a", `{"state":"in","base-revision":0,"request-id":"a"}`, 409, "revision-conflict", nil},
		"reused request":   {"PUT", "/v1/domains/zone-a", `{"state":"in","base-revision":1,"request-id":"first"}`, 409, "request-reused", nil},
		"resent request":   {"PUT", "/v1/domains/zone-a", `{"state":"out","base-revision":0,"request-id":"first"}`, 200, "", nil},
		"bad state":        {"PUT", "/v1/endpoints/agent-1", `{"state":"gone","base-revision":0,"request-id":"a"}`, 400, "bad-request", []string{"state"}},
		"no quota":         {"PUT", "/v1/teams/atlas", `{"base-revision":0,"request-id":"a"}`, 400, "bad-request", []string{"quota"}},
		"negative quota":   {"PUT", "/v1/teams/atlas", `{"quota":-1,"base-revision":0,"request-id":"a"}`, 400, "bad-request", []string{"quota"}},
		"too large":        {"PUT", "/v1/teams/atlas", `"` + strings.Repeat("x", operator.MaxBody) + `"`, 413, "too-large", nil},
		"unknown profile":  {"GET", "/v1/profiles/proof", "", 404, "not-found", nil},
		"implicit domain":  {"GET", "/v1/domains/zone-b", "", 200, "", nil},
		"unknown resource": {"GET", "/v1/jobs", "", 404, "not-found", nil},
		"wrong method":     {"POST", "/v1/teams/atlas", "", 405, "bad-request", nil},
		"delete conflict":  {"DELETE", "/v1/profiles/proof", `{"base-revision":3,"request-id":"a"}`, 409, "revision-conflict", nil},
		"status":           {"GET", "/v1/status", "", 200, "", nil},
		"members":          {"GET", "/v1/members", "", 200, "", nil},
		"member findings":  {"POST", "/v1/members", `{"action":"swap","instance":"xyz"}`, 400, "bad-request", []string{"action", "name", "instance"}},
		"add findings":     {"POST", "/v1/members", `{"action":"add","name":"control-9","instance":""}`, 400, "bad-request", []string{"address"}},
		"member refused":   {"POST", "/v1/members", `{"action":"remove","name":"control-0","instance":"ff"}`, 409, "change-in-progress", nil},
		"without instance": {"POST", "/v1/members", `{"action":"add","name":"control-9","address":"127.0.0.1:1"}`, 409, "change-in-progress", nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			replica, _ := serve(t, control.New())
			first := control.Command{Request: "first", Domain: &control.PutDomain{Name: "zone-a", State: catalog.DomainOutOfService}}
			if _, err := replica.Propose(t.Context(), first); err != nil {
				t.Fatal(err)
			}
			recorder := httptest.NewRecorder()
			operator.New(operator.Config{Configuration: replica, Membership: replica}).
				ServeHTTP(recorder, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
			var got operator.Error
			if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
				t.Fatalf("answer %q: %v", recorder.Body, err)
			}
			var fields []string
			for _, finding := range got.Findings {
				fields = append(fields, finding.Field)
			}
			if recorder.Code != tt.status || got.Code != tt.code || !reflect.DeepEqual(fields, tt.fields) {
				t.Errorf("status %d, code %q, fields %q; want %d, %q, %q",
					recorder.Code, got.Code, fields, tt.status, tt.code, tt.fields)
			}
		})
	}
}

// TestClientResends guards against a change that is applied twice, or reported as
// a conflict, when the answer of the first replica was lost.
func TestClientResends(t *testing.T) {
	machine := control.New()
	lossy, first := serve(t, machine)
	working, second := serve(t, machine)
	lossy.fail = true
	// Both replicas apply the same log; the second sees the resent command later.
	working.index = 100
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	client := operator.Client{Addresses: []string{strings.TrimPrefix(closed.URL, "http://"), first, second}}
	edit := operator.Edit{RequestID: "r1"}
	revision, err := client.PutDomain(t.Context(), "zone-a", catalog.DomainOutOfService, edit)
	if err != nil || revision != 1 {
		t.Fatalf("revision %d (%v), want 1", revision, err)
	}
	entry, err := client.Domain(t.Context(), "zone-a")
	if err != nil || entry.State != catalog.DomainOutOfService || entry.Revision != 1 {
		t.Errorf("entry %+v (%v)", entry, err)
	}
	var typed *operator.Error
	_, err = client.PutDomain(t.Context(), "zone-a", catalog.DomainInService, operator.Edit{RequestID: "r2"})
	if !errors.As(err, &typed) || typed.Code != operator.CodeConflict || typed.CurrentRevision != 1 {
		t.Errorf("error %v, want a conflict with revision 1", err)
	}
}

// TestClientRoundTrip guards against values that change between the client, the
// handler and the state machine.
func TestClientRoundTrip(t *testing.T) {
	_, address := serve(t, control.New())
	client := operator.Client{Addresses: []string{address}}
	want, err := operator.ParseProfile([]byte("name: proof\nkind: press\nanswer-within: 1s\nexpected-run-time: 250ms\nrepeat: resubmit\ndomains: [zone-a]\nmax-tasks: 530\n"))
	if err != nil {
		t.Fatal(err)
	}
	revision, err := client.PutProfile(t.Context(), want, operator.Edit{RequestID: "r1"})
	if err != nil {
		t.Fatal(err)
	}
	want.Revision = revision
	if got, err := client.Profile(t.Context(), "proof"); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("profile %+v (%v), want %+v", got, err, want)
	}
	if err := client.DeleteProfile(t.Context(), "proof", operator.Edit{BaseRevision: revision, RequestID: "r2"}); err != nil {
		t.Error(err)
	}
	var typed *operator.Error
	if _, err := client.Profile(t.Context(), "proof"); !errors.As(err, &typed) || typed.Code != operator.CodeNotFound {
		t.Errorf("error %v, want not-found", err)
	}
	status, err := client.Status(t.Context())
	if err != nil || status.Revision != 2 || len(status.Members) != 1 {
		t.Errorf("status %+v (%v)", status, err)
	}
}

// TestClientPassesSilentReplica guards against a replica that is stopped or cut off and
// holds every call of an operator for the whole time of an attempt.
func TestClientPassesSilentReplica(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	_, address := serve(t, control.New())
	client := operator.Client{Addresses: []string{silent.Addr().String(), address}}
	// A replica without a majority may take 5 s for its answer; no attempt of the
	// first round waits as long.
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := client.Status(ctx); err != nil {
		t.Errorf("status: %v", err)
	}
}

// TestParseProfileReportsAll guards against a profile file whose faults are found
// one run at a time.
func TestParseProfileReportsAll(t *testing.T) {
	_, err := operator.ParseProfile([]byte("name: proof\nanswer-within: 5\ncolour: red\n"))
	var found control.FindingErrors
	if !errors.As(err, &found) || len(found) != 6 {
		t.Errorf("findings %v, want 6", err)
	}
}

// logMachine is a server with a log that commits at once.
type logMachine struct {
	*control.Server
	index uint64
}

func (m *logMachine) after(now time.Time) {
	for _, data := range m.Proposals() {
		m.index++
		m.Apply(m.index, data)
	}
	for _, id := range m.Reads(now) {
		m.ReadConfirmed(id, m.index)
	}
}

// Send implements daemon.Sender.
func (m *logMachine) Send(message.Envelope) {}

// TestReplica guards against requests that are not answered across the loop, and
// against reads that miss an accepted change.
func TestReplica(t *testing.T) {
	machine := &logMachine{Server: control.NewServer(control.ServerConfig{
		Self: zinniasill.Node{ID: "control-0", Incarnation: 1}, Machine: control.New(),
	})}
	loop := daemon.New(daemon.Config{Machine: machine, Sender: machine, Clock: daemon.SystemClock{}, AfterIteration: machine.after})
	ctx, cancel := context.WithCancel(context.Background())
	done := loop.Start(ctx)
	replica := operator.Replica{Loop: loop, Server: machine.Server}
	command := control.Command{Request: "r", Team: &control.PutTeam{Name: "atlas", Quota: 3}}
	result, err := replica.Propose(ctx, command)
	if err != nil || result.Revision != 1 {
		t.Errorf("result %+v (%v), want revision 1", result, err)
	}
	current, err := replica.Catalog(ctx)
	if err != nil || current.Teams["atlas"].Quota != 3 {
		t.Errorf("catalog %+v (%v)", current, err)
	}
	cancel()
	<-done
	if _, err := replica.Catalog(context.Background()); !errors.Is(err, daemon.ErrStopped) {
		t.Errorf("error %v after the end of the loop", err)
	}
}
