package agent_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// offerOf returns an offer of one task with an expected run time.
func offerOf(team zinniasill.Team, client string, expected time.Duration) message.Offer {
	o := offer(client, 1, ref(0, 1))
	o.Key.Team = team
	o.ExpectedRunTime = expected
	return o
}

// TestQueueOrder guards against a team that starves others, long tasks served before
// short ones, and long tasks that short ones overtake indefinitely.
func TestQueueOrder(t *testing.T) {
	type arrival struct {
		team     zinniasill.Team
		client   string
		expected time.Duration
		after    time.Duration
	}
	const ms = time.Millisecond
	tests := map[string]struct {
		arrivals []arrival
		want     string
	}{
		"round robin over teams": {
			arrivals: []arrival{{"x", "1", ms, 0}, {"x", "2", ms, 0}, {"x", "3", ms, 0}, {"y", "4", ms, 0}, {"z", "5", ms, 0}},
			want:     "1 4 5 2 3",
		},
		"short tasks of one team do not overtake another team": {
			arrivals: []arrival{{"x", "1", 900 * ms, 0}, {"y", "2", ms, 0}, {"y", "3", ms, 0}, {"x", "4", 800 * ms, 0}},
			want:     "4 2 1 3",
		},
		"shortest first": {
			arrivals: []arrival{{"x", "1", 30 * ms, 0}, {"x", "2", 10 * ms, 0}, {"x", "3", 20 * ms, 0}},
			want:     "2 3 1",
		},
		"equal tasks in the order of arrival": {
			arrivals: []arrival{{"x", "2", ms, 0}, {"x", "1", ms, ms}},
			want:     "2 1",
		},
		"overtaken within four run times": {
			arrivals: []arrival{{"x", "1", 100 * ms, 0}, {"x", "2", 10 * ms, 359 * ms}},
			want:     "2 1",
		},
		"not overtaken after four run times": {
			arrivals: []arrival{{"x", "1", 100 * ms, 0}, {"x", "2", 10 * ms, 361 * ms}},
			want:     "1 2",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newBusyFixture()
			for _, a := range test.arrivals {
				f.now = f.now.Add(a.after)
				f.receive(owner, offerOf(a.team, a.client, a.expected))
			}
			var got []string
			for range test.arrivals {
				f.finish(f.runs[len(f.runs)-1], zinniasill.Outcome{OK: true})
				fetch := takeMessages[message.Fetch](f)[0]
				got = append(got, fetch.Key.Client)
				f.receive(owner, message.Grant{Key: fetch.Key, Term: 1, Tasks: fetch.Tasks})
			}
			if order := strings.Join(got, " "); order != test.want {
				t.Errorf("served in order %s, want %s", order, test.want)
			}
		})
	}
}

// TestQueueOvertaking guards against a small job that waits behind all tasks of a large
// one, and against a large job that misses its deadline because later jobs overtake it.
func TestQueueOvertaking(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		slack time.Duration
		after time.Duration // from the large offer to the small one
		want  string
	}{
		"within its own work":      {slack: time.Minute, after: 719 * ms, want: "small"},
		"after its own work":       {slack: time.Minute, after: 721 * ms, want: "large"},
		"within half of the slack": {slack: 600 * ms, after: 299 * ms, want: "small"},
		"after half of the slack":  {slack: 600 * ms, after: 301 * ms, want: "large"},
		"no slack":                 {after: ms, want: "large"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newBusyFixture()
			large := offerOf("x", "large", 60*ms)
			large.Tasks = nil
			for i := range 4 {
				large.Tasks = append(large.Tasks, message.TaskOffer{Ref: ref(zinniasill.TaskIndex(i), 1)})
			}
			large.Slack = test.slack
			f.receive(owner, large)
			f.now = f.now.Add(test.after)
			f.receive(owner, offerOf("x", "small", 60*ms))
			f.finish(f.runs[len(f.runs)-1], zinniasill.Outcome{OK: true})
			if got := takeMessages[message.Fetch](f)[0].Key.Client; got != test.want {
				t.Errorf("job %s is served first, want %s", got, test.want)
			}
		})
	}
}

// TestEviction guards against retained outputs that exceed the budget, and against a
// task that runs again because its output was evicted.
func TestEviction(t *testing.T) {
	f := newFixture(1, func(cfg *agent.Config) { cfg.OutputBudget = 10 })
	for at, client := range []string{"a", "b", "c"} {
		f.receive(owner, offer(client, 1, ref(0, 1)))
		f.finish(f.runs[at], zinniasill.Outcome{OK: true, Output: []byte("1234")})
	}
	f.out = nil
	for client, evicted := range map[string]bool{"a": true, "b": false, "c": false} {
		f.receive(owner, offer(client, 1, ref(0, 2)))
		status := takeMessages[message.OfferReply](f)[0].Tasks[0]
		if status.State != message.TaskFinished || !status.Outcome.OK ||
			(status.Reason == zinniasill.ReasonAnswerEvicted) != evicted || (len(status.Outcome.Output) == 0) != evicted {
			t.Errorf("status of %s is %+v, outcome %+v", client, status, status.Outcome)
		}
	}
	if len(f.runs) != 3 {
		t.Errorf("%d starts of 3 tasks", len(f.runs))
	}
}

// TestRecordLimit guards against records dropped at the limit, against unbounded
// memory, and against a late copy of an offer refused at the limit that starts its
// task.
func TestRecordLimit(t *testing.T) {
	f := newFixture(1, func(cfg *agent.Config) { cfg.RecordLimit = 700 })
	f.lease.catalog.Epochs = []catalog.EpochEntry{{Number: 4}, {Number: 5}}
	f.receive(owner, offer("done", 1, ref(0, 1)))
	f.finish(f.runs[0], zinniasill.Outcome{OK: true, Output: []byte("output")})
	f.receive(owner, message.ResultAck{Key: key("done"), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}})
	vote := message.ClaimFast{Register: message.Register{Key: key("done"), Term: 1, Epoch: 4}, Value: message.Claim{Owner: owner}}
	f.receive(owner, vote)
	if f.agent.RecordBytes() < 700 {
		t.Fatalf("the records take only %d B", f.agent.RecordBytes())
	}
	f.out = nil
	f.receive(owner, offer("refused", 1, ref(0, 1)))
	f.receive(owner, offer("done", 1, ref(0, 2)))
	replies := takeMessages[message.OfferReply](f)
	if status := replies[0].Tasks[0]; status.State != message.TaskClosed || status.Reason != zinniasill.ReasonRecordsFull {
		t.Errorf("offer at the limit: %+v", status)
	}
	if status := replies[1].Tasks[0]; status.State != message.TaskFinished || string(status.Outcome.Output) != "output" {
		t.Errorf("late copy of an offer: %+v", status)
	}
	f.receive(other, message.Fence{Key: key("refused"), Term: 2, Epoch: 5})
	f.receive(other, message.Fence{Key: key("done"), Term: 2, Epoch: 5})
	fences := takeMessages[message.FenceReply](f)
	if len(fences) != 2 || fences[0].Fenced != 2 || len(fences[0].Tasks) != 0 || len(fences[1].Tasks) != 1 {
		t.Errorf("fences at the limit: %+v", fences)
	}
	f.receive(owner, vote)
	f.receive(owner, message.ClaimPrepare{Register: vote.Register, Ballot: message.Ballot{Round: 1}})
	vote.Register.Key = key("refused")
	f.receive(owner, vote)
	f.receive(owner, message.ClaimRead{Register: vote.Register})
	claims := takeMessages[message.ClaimReply](f)
	if !claims[0].OK || !claims[1].OK || !claims[2].Full || claims[2].OK || claims[3].Full || claims[3].HasValue {
		t.Errorf("claims at the limit: %+v", claims)
	}
	f.lease.catalog.Epochs = []catalog.EpochEntry{{Number: 5}, {Number: 6}}
	f.tick(time.Second)
	f.receive(owner, offer("refused", 1, ref(0, 1)))
	if len(f.runs) != 1 {
		t.Error("the late copy of a refused offer started its task")
	}
	later := offer("new", 1, ref(0, 1))
	later.Epoch = 6
	f.receive(owner, later)
	if len(f.runs) != 2 {
		t.Errorf("no task started after the records of an epoch were dropped: sent %+v", f.out)
	}
}

// TestRefusalLimit guards against a long overload whose refused jobs fill the records,
// so that no job could be accepted until their epoch has left the retention window.
func TestRefusalLimit(t *testing.T) {
	const limit = 1 << 20
	f := newFixture(1, func(cfg *agent.Config) { cfg.RecordLimit = limit })
	refused := message.Claim{Owner: owner, Tombstone: true, Refused: zinniasill.ReasonOverload}
	vote := func(client string, value message.Claim) message.ClaimReply {
		register := message.Register{Key: key(client), Term: 1, Epoch: 5}
		f.receive(owner, message.ClaimFast{Register: register, Value: value})
		reply := takeMessages[message.ClaimReply](f)[0]
		f.out = nil
		return reply
	}
	for i := range limit {
		if vote("refused-"+strconv.Itoa(i), refused).Full {
			break
		}
	}
	if size := f.agent.RecordBytes(); size > limit*9/10 {
		t.Errorf("refusals take %d B of a limit of %d B", size, limit)
	}
	if reply := vote("claimed", message.Claim{Owner: owner}); reply.Full || !reply.OK {
		t.Errorf("claim after many refusals: %+v", reply)
	}
}

// TestEpochExpiry guards against a start in an epoch whose records have been dropped,
// and against records that are dropped while their task is running.
func TestEpochExpiry(t *testing.T) {
	f := newFixture(2, nil)
	f.receive(owner, offer("ended", 1, ref(0, 1)))
	f.finish(f.runs[0], zinniasill.Outcome{OK: true})
	f.receive(owner, offer("running", 1, ref(0, 1)))
	f.lease.catalog.Epochs = []catalog.EpochEntry{{Number: 6}}
	f.tick(time.Second)
	f.out = nil
	for _, client := range []string{"ended", "new"} {
		f.receive(owner, offer(client, 1, ref(0, 1)))
		f.receive(owner, message.Withdraw{Key: key(client), Term: 1, Epoch: 5, Tasks: []message.TaskRef{ref(0, 1)}})
		if len(f.out) > 0 {
			t.Errorf("job %s of an expired epoch: unexpected replies %+v", client, f.out)
		}
		f.receive(other, message.Fence{Key: key(client), Term: 2, Epoch: 5})
		if fences := takeMessages[message.FenceReply](f); len(fences) != 1 || !fences[0].Expired {
			t.Errorf("job %s: unexpected fence replies: %+v", client, fences)
		}
	}
	f.receive(other, message.Fence{Key: key("running"), Term: 2, Epoch: 5})
	if fences := takeMessages[message.FenceReply](f); len(fences) != 1 || fences[0].Expired || len(fences[0].Tasks) != 1 {
		t.Errorf("unexpected fence replies about the running task: %+v", fences)
	}
	if len(f.runs) != 2 {
		t.Errorf("%d tasks started, want 2", len(f.runs))
	}
}

// TestRestart guards against state that survives a restart, and against messages and
// outcomes of the earlier incarnation that affect the new one.
func TestRestart(t *testing.T) {
	f := newBusyFixture()
	f.receive(owner, offer("queued", 1, ref(0, 1)))
	next := zinniasill.Node{ID: self.ID, Incarnation: self.Incarnation + 1}
	f.agent.Restart(next)
	f.out = nil
	if !f.agent.Idle() {
		t.Error("the agent is not idle after the restart")
	}
	f.finishFirstRun()
	f.receive(owner, offer("late", 1, ref(0, 1)))
	f.receive(owner, grant("queued"))
	f.tick(time.Second)
	if len(f.out) > 0 || len(f.runs) != 1 {
		t.Errorf("sent %+v, started tasks are %+v", f.out, f.runs)
	}
	f.agent.Receive(f.now, message.Envelope{From: owner, To: next, Body: offer("new", 1, ref(0, 1))})
	f.drain()
	f.tick(150 * time.Millisecond)
	if len(f.runs) != 2 || f.out[0].From != next {
		t.Errorf("the new incarnation sent %+v, started tasks are %+v", f.out, f.runs)
	}
}

// TestOtherIncarnation guards against a reply for an incarnation whose records the
// agent does not have.
func TestOtherIncarnation(t *testing.T) {
	bodies := map[string]any{
		"offer":    offer("x", 1, ref(0, 1)),
		"fence":    message.Fence{Key: key("x"), Term: 2, Epoch: 5},
		"withdraw": message.Withdraw{Key: key("x"), Term: 1, Epoch: 5, Tasks: []message.TaskRef{ref(0, 1)}},
		"claim":    message.ClaimFast{Register: message.Register{Key: key("x"), Term: 1, Epoch: 5}},
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1, nil)
			earlier := zinniasill.Node{ID: self.ID, Incarnation: self.Incarnation - 1}
			f.agent.Receive(f.now, message.Envelope{From: owner, To: earlier, Body: body})
			f.drain()
			if len(f.out) > 0 || len(f.runs) > 0 {
				t.Errorf("sent %+v, started tasks are %+v", f.out, f.runs)
			}
		})
	}
}

// TestCheckBeforeStart guards against a start after the lease has expired, the domain
// was taken out, the endpoint was lost or the agent has begun to leave, when this
// happens between the offer or grant and the start.
func TestCheckBeforeStart(t *testing.T) {
	changes := map[string]struct {
		change func(f *fixture)
		reason zinniasill.Reason
	}{
		"lease expired": {func(f *fixture) { f.lease.valid = false }, zinniasill.ReasonLeaseExpired},
		"domain out":    {func(f *fixture) { f.lease.setDomain(catalog.DomainOutOfService) }, zinniasill.ReasonDomainOut},
		"endpoint leaving": {func(f *fixture) {
			f.lease.catalog.Endpoints[self.ID] = catalog.EndpointEntry{Name: self.ID, State: catalog.Leaving}
		}, zinniasill.ReasonLeaving},
		"agent leaving": {func(f *fixture) { f.agent.Leave(f.now) }, zinniasill.ReasonLeaving},
		"endpoint lost": {func(f *fixture) { f.agent.SetEndpoint(f.now, 0, nil, false) }, zinniasill.ReasonNoEndpoint},
	}
	states := map[string]func(f *fixture){
		"offered": func(f *fixture) {
			f.finishFirstRun()
			f.receiveUndrained(owner, offer("x", 1, ref(0, 1)))
		},
		"queued": func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
		"fetching": func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.finishFirstRun()
		},
		"granted": func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.finishFirstRun()
			f.receiveUndrained(owner, grant("x"))
		},
	}
	for changed, change := range changes {
		for state, prepare := range states {
			t.Run(changed+"/"+state, func(t *testing.T) {
				f := newBusyFixture()
				prepare(f)
				f.out = nil
				change.change(f)
				f.drain()
				f.tick(time.Millisecond)
				f.receive(owner, grant("x"))
				if len(f.runs) != 1 {
					t.Errorf("tasks started: %+v", f.runs[1:])
				}
				if got := closeReason(f); got != change.reason {
					t.Errorf("the reported reason is %q, want %q", got, change.reason)
				}
			})
		}
	}
}

// closeReason returns the reason reported to the owner for closing job x.
func closeReason(f *fixture) zinniasill.Reason {
	for _, env := range f.out {
		var statuses []message.TaskStatus
		switch body := env.Body.(type) {
		case message.OfferReply:
			statuses = body.Tasks
		case message.Result:
			if body.Key != key("x") {
				continue
			}
			statuses = body.Tasks
		}
		for _, status := range statuses {
			if status.State == message.TaskClosed {
				return status.Reason
			}
		}
	}
	return ""
}
