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

func offerOf(team zinniasill.Team, client string, expected time.Duration) message.Offer {
	o := offer(client, 1, ref(0, 1))
	o.Key.Team = team
	o.ExpectedRunTime = expected
	return o
}

// TestQueueOrder guards against a team that starves others, long tasks ahead of
// short ones, and long tasks that short ones overtake for ever.
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
			f := occupied()
			for _, a := range test.arrivals {
				f.now = f.now.Add(a.after)
				f.receive(owner, offerOf(a.team, a.client, a.expected))
			}
			var got []string
			for range test.arrivals {
				f.finish(f.runs[len(f.runs)-1], zinniasill.Outcome{OK: true})
				fetch := take[message.Fetch](f)[0]
				got = append(got, fetch.Key.Client)
				f.receive(owner, message.Grant{Key: fetch.Key, Term: 1, Tasks: fetch.Tasks})
			}
			if order := strings.Join(got, " "); order != test.want {
				t.Errorf("served in the order %s, want %s", order, test.want)
			}
		})
	}
}

// TestQueueYields guards against a small job that waits behind all tasks of a large
// one, and against a large job that misses its deadline because later ones overtake it.
func TestQueueYields(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		slack time.Duration
		after time.Duration // from the large offer to the small one
		want  string
	}{
		"slack to spare":          {slack: time.Minute, after: 719 * ms, want: "small"},
		"later than its own work": {slack: time.Minute, after: 721 * ms, want: "large"},
		"half of the slack":       {slack: 600 * ms, after: 299 * ms, want: "small"},
		"more than half":          {slack: 600 * ms, after: 301 * ms, want: "large"},
		"no slack":                {after: ms, want: "large"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := occupied()
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
			if got := take[message.Fetch](f)[0].Key.Client; got != test.want {
				t.Errorf("the job %s is served first, want %s", got, test.want)
			}
		})
	}
}

// TestEviction guards against outputs beyond the budget, and against an evicted
// output that lets its task run again.
func TestEviction(t *testing.T) {
	f := newFixture(1, func(cfg *agent.Config) { cfg.OutputBudget = 10 })
	for at, client := range []string{"a", "b", "c"} {
		f.receive(owner, offer(client, 1, ref(0, 1)))
		f.finish(f.runs[at], zinniasill.Outcome{OK: true, Output: []byte("1234")})
	}
	f.out = nil
	for client, evicted := range map[string]bool{"a": true, "b": false, "c": false} {
		f.receive(owner, offer(client, 1, ref(0, 2)))
		status := take[message.OfferReply](f)[0].Tasks[0]
		if status.State != message.TaskFinished || !status.Outcome.OK ||
			(status.Reason == zinniasill.ReasonAnswerEvicted) != evicted || (len(status.Outcome.Output) == 0) != evicted {
			t.Errorf("status of %s is %+v, outcome %+v", client, status, status.Outcome)
		}
	}
	if len(f.runs) != 3 {
		t.Errorf("%d runs of 3 tasks", len(f.runs))
	}
}

// TestRecordLimit guards against a forgotten record, against memory without a bound,
// and against a refusal at the limit that a late copy of the offer undoes.
func TestRecordLimit(t *testing.T) {
	f := newFixture(1, func(cfg *agent.Config) { cfg.RecordLimit = 700 })
	f.lease.catalog.Epochs = []catalog.EpochEntry{{Number: 4}, {Number: 5}}
	f.receive(owner, offer("kept", 1, ref(0, 1)))
	f.finish(f.runs[0], zinniasill.Outcome{OK: true, Output: []byte("output")})
	f.receive(owner, message.ResultAck{Key: key("kept"), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}})
	vote := message.ClaimFast{Register: message.Register{Key: key("kept"), Term: 1, Epoch: 4}, Value: message.Claim{Owner: owner}}
	f.receive(owner, vote)
	if f.agent.RecordBytes() < 700 {
		t.Fatalf("the records take %d B", f.agent.RecordBytes())
	}
	f.out = nil
	f.receive(owner, offer("refused", 1, ref(0, 1)))
	f.receive(owner, offer("kept", 1, ref(0, 2)))
	replies := take[message.OfferReply](f)
	if status := replies[0].Tasks[0]; status.State != message.TaskClosed || status.Reason != zinniasill.ReasonRecordsFull {
		t.Errorf("offer at the limit: %+v", status)
	}
	if status := replies[1].Tasks[0]; status.State != message.TaskFinished || string(status.Outcome.Output) != "output" {
		t.Errorf("late copy of an offer: %+v", status)
	}
	f.receive(other, message.Fence{Key: key("refused"), Term: 2, Epoch: 5})
	f.receive(other, message.Fence{Key: key("kept"), Term: 2, Epoch: 5})
	fences := take[message.FenceReply](f)
	if len(fences) != 2 || fences[0].Fenced != 2 || len(fences[0].Tasks) != 0 || len(fences[1].Tasks) != 1 {
		t.Errorf("fences at the limit: %+v", fences)
	}
	f.receive(owner, vote)
	f.receive(owner, message.ClaimPrepare{Register: vote.Register, Ballot: message.Ballot{Round: 1}})
	vote.Register.Key = key("refused")
	f.receive(owner, vote)
	f.receive(owner, message.ClaimRead{Register: vote.Register})
	claims := take[message.ClaimReply](f)
	if !claims[0].OK || !claims[1].OK || !claims[2].Full || claims[2].OK || claims[3].Full || claims[3].HasValue {
		t.Errorf("claims at the limit: %+v", claims)
	}
	f.lease.catalog.Epochs = []catalog.EpochEntry{{Number: 5}, {Number: 6}}
	f.tick(time.Second)
	f.receive(owner, offer("refused", 1, ref(0, 1)))
	if len(f.runs) != 1 {
		t.Error("the late copy of a refused offer starts its task")
	}
	later := offer("new", 1, ref(0, 1))
	later.Epoch = 6
	f.receive(owner, later)
	if len(f.runs) != 2 {
		t.Errorf("no start after the records of an epoch were dropped: %+v", f.out)
	}
}

// TestRefusalsLeaveRoom guards against a long overload whose refused jobs fill the
// records, so that no job could be accepted for the rest of the window.
func TestRefusalsLeaveRoom(t *testing.T) {
	const limit = 1 << 20
	f := newFixture(1, func(cfg *agent.Config) { cfg.RecordLimit = limit })
	refused := message.Claim{Owner: owner, Tombstone: true, Refused: zinniasill.ReasonOverload}
	vote := func(client string, value message.Claim) message.ClaimReply {
		register := message.Register{Key: key(client), Term: 1, Epoch: 5}
		f.receive(owner, message.ClaimFast{Register: register, Value: value})
		reply := take[message.ClaimReply](f)[0]
		f.out = nil
		return reply
	}
	for i := range limit {
		if vote("refused-"+strconv.Itoa(i), refused).Full {
			break
		}
	}
	if size := f.agent.RecordBytes(); size > limit*9/10 {
		t.Errorf("refusals take %d B of %d", size, limit)
	}
	if reply := vote("claimed", message.Claim{Owner: owner}); reply.Full || !reply.OK {
		t.Errorf("claim after many refusals: %+v", reply)
	}
}

// TestEpochExpiry guards against a start whose record may have been dropped, and
// against records that are dropped while their task runs.
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
			t.Errorf("%s of an expired epoch is answered with %+v", client, f.out)
		}
		f.receive(other, message.Fence{Key: key(client), Term: 2, Epoch: 5})
		if fences := take[message.FenceReply](f); len(fences) != 1 || !fences[0].Expired {
			t.Errorf("%s: fence replies are %+v", client, fences)
		}
	}
	f.receive(other, message.Fence{Key: key("running"), Term: 2, Epoch: 5})
	if fences := take[message.FenceReply](f); len(fences) != 1 || fences[0].Expired || len(fences[0].Tasks) != 1 {
		t.Errorf("fence replies on the running task are %+v", fences)
	}
	if len(f.runs) != 2 {
		t.Errorf("%d runs, want 2", len(f.runs))
	}
}

// TestRestart guards against state that survives a declared death, and against
// messages and outcomes of the earlier incarnation that reach the new one.
func TestRestart(t *testing.T) {
	f := occupied()
	f.receive(owner, offer("queued", 1, ref(0, 1)))
	next := zinniasill.Node{ID: self.ID, Incarnation: self.Incarnation + 1}
	f.agent.Restart(next)
	f.out = nil
	if !f.agent.Idle() {
		t.Error("work is left after the restart")
	}
	f.freeSlot()
	f.receive(owner, offer("late", 1, ref(0, 1)))
	f.receive(owner, grant("queued"))
	f.tick(time.Second)
	if len(f.out) > 0 || len(f.runs) != 1 {
		t.Errorf("sent %+v, runs are %+v", f.out, f.runs)
	}
	f.agent.Receive(f.now, message.Envelope{From: owner, To: next, Body: offer("new", 1, ref(0, 1))})
	f.drain()
	f.tick(150 * time.Millisecond)
	if len(f.runs) != 2 || f.out[0].From != next {
		t.Errorf("the new incarnation sent %+v, runs are %+v", f.out, f.runs)
	}
}

// TestOtherIncarnation guards against an answer for an incarnation whose records
// the agent does not have.
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
				t.Errorf("sent %+v, runs are %+v", f.out, f.runs)
			}
		})
	}
}

// TestLastCheck guards against a start after the lease has expired, the domain or
// the endpoint was taken out, or the agent leaves, between an offer or grant and
// the start.
func TestLastCheck(t *testing.T) {
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
		"endpoint gone": {func(f *fixture) { f.agent.SetEndpoint(f.now, 0, nil, false) }, zinniasill.ReasonNoEndpoint},
	}
	waits := map[string]func(f *fixture){
		"offered": func(f *fixture) {
			f.freeSlot()
			f.batch(owner, offer("x", 1, ref(0, 1)))
		},
		"queued": func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
		"fetching": func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.freeSlot()
		},
		"granted": func(f *fixture) {
			f.receive(owner, offer("x", 1, ref(0, 1)))
			f.freeSlot()
			f.batch(owner, grant("x"))
		},
	}
	for changed, change := range changes {
		for waiting, wait := range waits {
			t.Run(changed+"/"+waiting, func(t *testing.T) {
				f := occupied()
				wait(f)
				f.out = nil
				change.change(f)
				f.drain()
				f.tick(time.Millisecond)
				f.receive(owner, grant("x"))
				if len(f.runs) != 1 {
					t.Errorf("%+v started", f.runs[1:])
				}
				if got := closedFor(f); got != change.reason {
					t.Errorf("the owner was told %q, want %q", got, change.reason)
				}
			})
		}
	}
}

// closedFor returns the reason that the owner was given for closing job x.
func closedFor(f *fixture) zinniasill.Reason {
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
