package agent_test

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// TestFetchResend guards against a queued task that is forgotten when a fetch or
// its grant is lost, and against a silent owner that holds a slot.
func TestFetchResend(t *testing.T) {
	f := occupied()
	f.receive(owner, offer("a", 1, ref(0, 1)))
	f.receive(other, offer("b", 1, ref(0, 1)))
	f.freeSlot()
	for sent := range 5 {
		fetches := take[message.Fetch](f)
		if len(fetches) != 1 || fetches[0].Key != key("a") {
			t.Fatalf("after %d ms: fetches are %+v", 200*sent, fetches)
		}
		f.tick(199 * time.Millisecond)
		if early := take[message.Fetch](f); len(early) > 0 {
			t.Fatalf("after %d ms: early fetch %+v", 200*sent+199, early)
		}
		f.tick(time.Millisecond)
	}
	fetches := take[message.Fetch](f)
	if len(fetches) != 1 || fetches[0].Key != key("b") {
		t.Fatalf("after 1 s the slot is not fetched for the next task: %+v", fetches)
	}
	f.receive(other, grant("b"))
	f.finish(f.runs[1], zinniasill.Outcome{OK: true})
	f.receive(owner, grant("a"))
	if len(f.runs) != 3 || f.runs[2].Key != key("a") {
		t.Errorf("the first task was not fetched again: runs are %+v", f.runs)
	}
}

// TestFetchOfDeadOwner guards against a task that waits forever for an owner that
// is not in the catalog.
func TestFetchOfDeadOwner(t *testing.T) {
	f := occupied()
	f.receive(owner, offer("x", 1, ref(0, 1)))
	delete(f.lease.catalog.Nodes, owner.ID)
	f.freeSlot()
	f.out = nil
	f.tick(time.Second)
	if reason := closedFor(f); reason != zinniasill.ReasonSuperseded {
		t.Fatalf("the task was closed for %q", reason)
	}
	f.receive(owner, grant("x"))
	if len(f.runs) != 1 {
		t.Errorf("the returned task started")
	}
}

// TestLateGrant guards against a grant that starts a task without a free slot,
// after its fetch had given the slot away.
func TestLateGrant(t *testing.T) {
	f := occupied()
	f.receive(owner, offer("a", 1, ref(0, 1)))
	f.receive(other, offer("b", 1, ref(0, 1)))
	f.freeSlot()
	f.tick(time.Second)
	f.receive(other, grant("b"))
	f.out = nil
	f.receive(owner, grant("a"))
	if len(f.runs) != 2 {
		t.Fatalf("%d runs on one slot", len(f.runs)-1)
	}
	results := take[message.Result](f)
	if len(results) != 1 || results[0].Tasks[0].Reason != zinniasill.ReasonBusy {
		t.Errorf("results are %+v", results)
	}
}

// TestResultResend guards against a lost result, and against results that are
// sent for longer or more often than needed.
func TestResultResend(t *testing.T) {
	f := occupied()
	f.finish(f.runs[0], zinniasill.Outcome{OK: true, Output: []byte("out")})
	ack := message.ResultAck{Key: key("running"), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}}
	expect := func(step string, want int) {
		t.Helper()
		results := take[message.Result](f)
		if len(results) != want {
			t.Fatalf("%s: %d results, want %d", step, len(results), want)
		}
		for _, result := range results {
			if string(result.Tasks[0].Outcome.Output) != "out" {
				t.Fatalf("%s: result is %+v", step, result)
			}
		}
	}
	expect("at the end of the run", 1)
	f.tick(599 * time.Millisecond)
	expect("599 ms later", 0)
	f.tick(time.Millisecond)
	expect("600 ms later", 1)
	f.receive(other, ack)
	f.tick(600 * time.Millisecond)
	expect("after another entry's acknowledgement", 1)
	delete(f.lease.catalog.Nodes, owner.ID)
	f.tick(600 * time.Millisecond)
	expect("owner gone", 1)
	f.tick(1900 * time.Millisecond)
	expect("owner gone for less than 2 s", 0)
	f.tick(100 * time.Millisecond)
	expect("owner gone for 2 s", 1)
	f.receive(owner, ack)
	f.tick(time.Hour)
	expect("acknowledged", 0)
}

// TestIdle guards against a stop that leaves work or owed results behind, and
// against one that waits for an owner that is gone.
func TestIdle(t *testing.T) {
	ack := message.ResultAck{Key: key("x"), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}}
	tests := map[string]struct {
		steps func(f *fixture)
		idle  bool
	}{
		"new":     {steps: func(*fixture) {}, idle: true},
		"running": {steps: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) }},
		"pending": {steps: func(f *fixture) { f.batch(owner, offer("x", 1, ref(0, 1))) }},
		"queued": {steps: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.receive(owner, offer("y", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
			f.receive(owner, ack)
		}},
		"result owed": {steps: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
		}},
		"return owed": {steps: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.receive(owner, offer("y", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
			f.receive(owner, ack)
			f.agent.Leave(f.now)
			f.drain()
		}},
		"result acknowledged": {steps: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
			f.receive(owner, ack)
		}, idle: true},
		"result owed to an entry that is gone": {steps: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
			f.lease.catalog.Nodes[owner.ID] = catalog.NodeEntry{Node: zinniasill.Node{ID: owner.ID, Incarnation: 99}}
		}, idle: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1, nil)
			test.steps(f)
			if f.agent.Idle() != test.idle {
				t.Errorf("Idle is %t", !test.idle)
			}
		})
	}
}
