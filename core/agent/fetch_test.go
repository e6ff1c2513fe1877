package agent_test

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// TestFetchResend guards against a queued task that is never started because a fetch or
// its grant was lost, and against an unresponsive owner that blocks a slot.
func TestFetchResend(t *testing.T) {
	f := newBusyFixture()
	f.receive(owner, offer("a", 1, ref(0, 1)))
	f.receive(other, offer("b", 1, ref(0, 1)))
	f.finishFirstRun()
	for sent := range 5 {
		fetches := takeMessages[message.Fetch](f)
		if len(fetches) != 1 || fetches[0].Key != key("a") {
			t.Fatalf("after %d ms: unexpected fetches: %+v", 200*sent, fetches)
		}
		f.tick(199 * time.Millisecond)
		if early := takeMessages[message.Fetch](f); len(early) > 0 {
			t.Fatalf("after %d ms: fetch resent too early: %+v", 200*sent+199, early)
		}
		f.tick(time.Millisecond)
	}
	fetches := takeMessages[message.Fetch](f)
	if len(fetches) != 1 || fetches[0].Key != key("b") {
		t.Fatalf("after 1 s the slot is not used for the next task: fetches are %+v", fetches)
	}
	f.receive(other, grant("b"))
	f.finish(f.runs[1], zinniasill.Outcome{OK: true})
	f.receive(owner, grant("a"))
	if len(f.runs) != 3 || f.runs[2].Key != key("a") {
		t.Errorf("the first task did not start after its late grant: started tasks are %+v", f.runs)
	}
}

// TestFetchOfDeadOwner guards against a task that waits indefinitely for an owner that
// is not in the catalog.
func TestFetchOfDeadOwner(t *testing.T) {
	f := newBusyFixture()
	f.receive(owner, offer("x", 1, ref(0, 1)))
	delete(f.lease.catalog.Nodes, owner.ID)
	f.finishFirstRun()
	f.out = nil
	f.tick(time.Second)
	if reason := closeReason(f); reason != zinniasill.ReasonSuperseded {
		t.Fatalf("the task was closed with reason %q", reason)
	}
	f.receive(owner, grant("x"))
	if len(f.runs) != 1 {
		t.Errorf("the returned task started")
	}
}

// TestLateGrant guards against a grant that starts a task without a free slot, after
// its fetch has timed out and released the slot.
func TestLateGrant(t *testing.T) {
	f := newBusyFixture()
	f.receive(owner, offer("a", 1, ref(0, 1)))
	f.receive(other, offer("b", 1, ref(0, 1)))
	f.finishFirstRun()
	f.tick(time.Second)
	f.receive(other, grant("b"))
	f.out = nil
	f.receive(owner, grant("a"))
	if len(f.runs) != 2 {
		t.Fatalf("%d tasks running on one slot", len(f.runs)-1)
	}
	results := takeMessages[message.Result](f)
	if len(results) != 1 || results[0].Tasks[0].Reason != zinniasill.ReasonBusy {
		t.Errorf("unexpected results: %+v", results)
	}
}

// TestResultResend guards against a lost result, and against results that are resent
// after their acknowledgement or too often.
func TestResultResend(t *testing.T) {
	f := newBusyFixture()
	f.finish(f.runs[0], zinniasill.Outcome{OK: true, Output: []byte("out")})
	ack := message.ResultAck{Key: key("running"), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}}
	expect := func(when string, want int) {
		t.Helper()
		results := takeMessages[message.Result](f)
		if len(results) != want {
			t.Fatalf("%s: %d results, want %d", when, len(results), want)
		}
		for _, result := range results {
			if string(result.Tasks[0].Outcome.Output) != "out" {
				t.Fatalf("%s: unexpected result: %+v", when, result)
			}
		}
	}
	expect("when the task ends", 1)
	f.tick(599 * time.Millisecond)
	expect("599 ms later", 0)
	f.tick(time.Millisecond)
	expect("600 ms later", 1)
	f.receive(other, ack)
	f.tick(600 * time.Millisecond)
	expect("after another entry's acknowledgement", 1)
	delete(f.lease.catalog.Nodes, owner.ID)
	f.tick(600 * time.Millisecond)
	expect("owner not in the catalog", 1)
	f.tick(1900 * time.Millisecond)
	expect("owner not in the catalog for less than 2 s", 0)
	f.tick(100 * time.Millisecond)
	expect("owner not in the catalog for 2 s", 1)
	f.receive(owner, ack)
	f.tick(time.Hour)
	expect("acknowledged", 0)
}

// TestIdle guards against a stop that leaves tasks or unacknowledged results behind,
// and against one that waits for an owner that is not in the catalog.
func TestIdle(t *testing.T) {
	ack := message.ResultAck{Key: key("x"), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}}
	tests := map[string]struct {
		prepare func(f *fixture)
		idle    bool
	}{
		"new":     {prepare: func(*fixture) {}, idle: true},
		"running": {prepare: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) }},
		"pending": {prepare: func(f *fixture) { f.receiveUndrained(owner, offer("x", 1, ref(0, 1))) }},
		"queued": {prepare: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.receive(owner, offer("y", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
			f.receive(owner, ack)
		}},
		"result unacknowledged": {prepare: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
		}},
		"return unacknowledged": {prepare: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.receive(owner, offer("y", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
			f.receive(owner, ack)
			f.agent.Leave(f.now)
			f.drain()
		}},
		"result acknowledged": {prepare: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
			f.receive(owner, ack)
		}, idle: true},
		"result unacknowledged, owner not in the catalog": {prepare: func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.finish(f.runs[0], zinniasill.Outcome{OK: true})
			f.lease.catalog.Nodes[owner.ID] = catalog.NodeEntry{Node: zinniasill.Node{ID: owner.ID, Incarnation: 99}}
		}, idle: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1, nil)
			test.prepare(f)
			if f.agent.Idle() != test.idle {
				t.Errorf("Idle returned %t", !test.idle)
			}
		})
	}
}
