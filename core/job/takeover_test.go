package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// place submits a job to the first entry and delivers messages until its tasks
// are with the agents. No task finishes.
func (w *world) place(key string, tasks int) {
	w.submit(w.entries[0], key, "proof", tasks)
	w.deliverAll()
}

func (w *world) deliverAll() {
	for len(w.flight) > 0 {
		w.deliver(0)
	}
}

// passTime lets time pass in steps and delivers all messages.
func (w *world) passTime(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.advance(10 * time.Millisecond)
		w.deliverAll()
	}
}

func (w *world) complete(t *testing.T, answers int) {
	t.Helper()
	w.check(t)
	if len(w.answers) != answers {
		t.Fatalf("%d answers, want %d", len(w.answers), answers)
	}
	for _, answer := range w.answers {
		if !answer.Complete {
			t.Fatalf("answer %+v", answer)
		}
	}
}

// Guards against a takeover that waits for a dead owner, that does not wait for a
// slow one, or that runs tasks again.
func TestTakeover(t *testing.T) {
	cases := map[string]struct {
		disturb func(w *world)
		// after is the time until the job is taken over.
		after time.Duration
		// back is set when the old owner returns and has to attach its callers.
		back bool
	}{
		"declared dead": {
			disturb: func(w *world) {
				w.entries[0].gone = true
				w.change(func(cat *catalog.Catalog) { delete(cat.Nodes, entryNode(0).ID) })
				w.spread()
			},
		},
		"silent":      {disturb: func(w *world) { w.entries[0].gone = true }, after: ownerSilence},
		"partitioned": {disturb: func(w *world) { w.entries[0].cut = true }, after: ownerSilence, back: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2, 6, 2, 1)
			w.place("a", 4)
			c.disturb(w)
			w.submit(w.entries[1], "a", "proof", 4)
			w.deliverAll()
			if c.after > 0 {
				w.passTime(c.after - 20*time.Millisecond)
				if w.counts[CounterTakeover+"/"] != 0 {
					t.Fatal("taken over too early")
				}
				w.passTime(40 * time.Millisecond)
			}
			if w.counts[CounterTakeover+"/"] != 1 {
				t.Fatal("not taken over in time")
			}
			want := 1
			if c.back {
				w.entries[0].cut = false
				want = 2
			}
			w.settleAll(2 * time.Second)
			w.complete(t, want)
		})
	}
}

// Guards against waiting for a task whose agent is gone, and against offering one
// elsewhere that may have started.
func TestAgentDeath(t *testing.T) {
	cases := map[string]struct {
		queued bool
		link   bool
		want   zinniasill.Reason
	}{
		"queued task moves":                     {queued: true},
		"queued task moves when a link is lost": {queued: true, link: true},
		"started task is unknown":               {want: zinniasill.ReasonOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 3, 1, 1)
			if c.queued {
				w.place("before", 3)
			}
			w.place("a", 1)
			r := w.entries[0].jobs[zinniasill.Key{Team: "team", Client: "a"}]
			node := r.tasks[0].node
			switch {
			case c.link:
				w.entries[0].Disconnected(w.now, node.ID)
				w.collect(w.entries[0])
			default:
				w.killAgent(node)
				w.advance(time.Millisecond)
			}
			if c.queued && r.tasks[0].node == node {
				t.Fatal("the task was not moved at once")
			}
			w.settleAll(2 * time.Second)
			w.check(t)
			answer := w.answers[len(w.answers)-1]
			if c.queued {
				answer = *r.answer
			}
			if answer.Code != c.want || c.want != "" && answer.Ran != zinniasill.RanUnknown {
				t.Fatalf("answer %+v", answer)
			}
		})
	}
}

// Guards against tasks that stay at a domain out of service, and against a job
// that can't leave its candidates when all of them are out.
func TestDomainOut(t *testing.T) {
	cases := map[string]struct {
		out     []int
		returns bool
	}{
		"one domain":                    {out: []int{0}},
		"all candidates, others remain": {out: []int{0, 1}},
		"all domains, one returns":      {out: []int{0, 1, 2}, returns: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 9, 1, 1)
			w.place("before", 9)
			w.place("a", 3)
			w.change(func(cat *catalog.Catalog) {
				for _, i := range c.out {
					domain := w.versions[0].Nodes[agentNode(i).ID].Domain
					cat.Domains[domain] = catalog.DomainEntry{Name: domain, State: catalog.DomainOutOfService}
				}
			})
			for i, agent := range w.agents {
				for _, out := range c.out {
					if i%3 == out {
						agent.takeOut(true)
					}
				}
			}
			w.spread()
			w.settleAll(500 * time.Millisecond)
			if c.returns {
				w.change(func(cat *catalog.Catalog) { cat.Domains = map[zinniasill.Domain]catalog.DomainEntry{} })
				w.spread()
				for _, agent := range w.agents {
					agent.takeOut(false)
				}
			}
			w.settleAll(time.Second)
			w.complete(t, 2)
		})
	}
}

// Guards against results after a failed task, and against a not-run answer that
// keeps the key from running later.
func TestFailureAndCancel(t *testing.T) {
	t.Run("failed task", func(t *testing.T) {
		w := newWorld(1, 3, 1, 1)
		w.agents[0].fails = true
		w.submit(w.entries[0], "a", "proof", 9)
		w.settleAll(2 * time.Second)
		w.check(t)
		if got := w.answers[0]; got.Code != zinniasill.ReasonTaskFailed || got.Retry != zinniasill.RetryNewKey {
			t.Fatalf("answer %+v", got)
		}
		if n := w.startsOf(zinniasill.Key{Team: "team", Client: "a"}, 9); n > 6 {
			t.Fatalf("%d of 9 tasks started, queued ones were not withdrawn", n)
		}
	})
	t.Run("cancelled before a start", func(t *testing.T) {
		w := newWorld(1, 1, 1, 1)
		w.place("before", 1)
		w.place("a", 2)
		key := zinniasill.Key{Team: "team", Client: "a"}
		if !w.entries[0].Cancel(w.now, key) {
			t.Fatal("not cancelled")
		}
		w.collect(w.entries[0])
		w.settleAll(time.Second)
		w.submit(w.entries[0], "a", "proof", 2)
		w.check(t)
		got := w.answers[len(w.answers)-1]
		if got.Code != zinniasill.ReasonCancelled || got.Ran != zinniasill.NotRun || w.startsOf(key, 2) > 0 {
			t.Fatalf("answer %+v", got)
		}
	})
	t.Run("deadline, then again", func(t *testing.T) {
		w := newWorld(2, 3, 1, 1)
		for _, agent := range w.agents {
			agent.takeOut(true)
		}
		w.submit(w.entries[0], "a", "proof", 2)
		w.settleAll(4 * time.Second)
		if got := w.answers[0]; got.Code != zinniasill.ReasonDeadline || got.Ran != zinniasill.NotRun {
			t.Fatalf("answer %+v", got)
		}
		for _, agent := range w.agents {
			agent.takeOut(false)
		}
		w.submit(w.entries[0], "a", "proof", 2)
		w.submit(w.entries[1], "a", "proof", 2)
		w.settleAll(time.Second)
		w.answers = w.answers[1:]
		w.complete(t, 2)
	})
}

// Guards against memory that grows with the number of answered jobs, against
// forgotten jobs that run again, and against jobs beyond the limit of records.
func TestKeptAnswers(t *testing.T) {
	cases := map[string]struct {
		limits Limits
		forget bool
		// again and profile are those of the third submission.
		again   string
		profile zinniasill.ProfileName
		want    message.Answer
	}{
		"output evicted": {
			Limits{MaxAnswerBytes: 200},
			false, "a", "proof",
			message.Answer{Code: zinniasill.ReasonAnswerEvicted, Ran: zinniasill.DidRun, Retry: zinniasill.RetryNone},
		},
		"record forgotten": {Limits{}, true, "a", "proof", message.Answer{Complete: true}},
		"kept when full":   {Limits{MaxRecordBytes: 300}, false, "a", "proof", message.Answer{Complete: true}},
		"records full": {
			Limits{MaxRecordBytes: 300},
			false, "c", "proof",
			message.Answer{Code: zinniasill.ReasonRecordsFull, Ran: zinniasill.NotRun, Retry: zinniasill.RetrySameKey},
		},
		"records full for good": {
			Limits{MaxRecordBytes: 300},
			false, "c", "pull",
			message.Answer{Code: zinniasill.ReasonRecordsFull, Ran: zinniasill.NotRun, Retry: zinniasill.RetryNewKey},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newLimitedWorld(1, 3, 10, 1, c.limits)
			w.submit(w.entries[0], "a", "proof", 2)
			w.settleAll(time.Second)
			w.submit(w.entries[0], "b", "proof", 2)
			w.settleAll(time.Second)
			if c.forget {
				w.forget(w.entries[0])
			}
			w.submit(w.entries[0], c.again, c.profile, 2)
			w.settleAll(time.Second)
			w.check(t)
			got := w.answers[2]
			if got.Code != c.want.Code || got.Complete != c.want.Complete || got.Ran != c.want.Ran || got.Retry != c.want.Retry {
				t.Fatalf("answer %+v", got)
			}
			if kept := w.entries[0].find(zinniasill.Key{Team: "team", Client: "c"}); kept != nil {
				t.Fatalf("the refused job is kept in state %s", kept.state)
			}
		})
	}
}

// Guards against protocol changes that raise the number of messages for a task.
func TestMessagesPerTask(t *testing.T) {
	const tasks = 530
	w := newWorld(1, 100, 10, 1)
	w.submit(w.entries[0], "a", "proof", tasks)
	sent := 0
	for range 200 {
		for len(w.flight) > 0 {
			if _, ok := w.flight[0].Body.(message.Result); !ok {
				sent++
			}
			w.deliver(0)
		}
		for _, agent := range w.agents {
			agent.finish()
		}
		w.advance(10 * time.Millisecond)
	}
	w.complete(t, 1)
	// The fake agent sends one result for each task; offers go in batches.
	if perTask := float64(sent+tasks) / tasks; perTask > 4 {
		t.Fatalf("%.2f messages per task", perTask)
	}
}

// TestClaimMessagesForManyEpochs guards against a claim whose messages grow with the
// number of retained epochs while their members stay the same.
func TestClaimMessagesForManyEpochs(t *testing.T) {
	w := newWorld(1, 30, 10, 1)
	for range 15 {
		w.change(w.newEpoch)
	}
	w.spread()
	w.submit(w.entries[0], "a", "proof", 1)
	sent := 0
	for ; len(w.flight) > 0; sent++ {
		w.deliver(0)
	}
	for _, agent := range w.agents {
		agent.finish()
	}
	w.settleAll(time.Second)
	w.complete(t, 1)
	// Six messages for the claim on three members, an offer and its answer.
	if sent > 8 {
		t.Fatalf("%d messages up to the start of the task", sent)
	}
}
