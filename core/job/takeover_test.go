package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// submitAndPlace submits a job to the first entry and delivers messages until its tasks are
// placed on agents. No task finishes.
func (s *simulation) submitAndPlace(client string, tasks int) {
	s.submit(s.entries[0], client, "proof", tasks)
	s.deliverAll()
}

func (s *simulation) deliverAll() {
	for len(s.inFlight) > 0 {
		s.deliver(0)
	}
}

// advanceAndDeliver advances the time in increments of 10 ms and delivers all messages. No
// task finishes.
func (s *simulation) advanceAndDeliver(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.advance(10 * time.Millisecond)
		s.deliverAll()
	}
}

// requireComplete fails the test unless there is the given number of answers, all complete.
func (s *simulation) requireComplete(t *testing.T, answers int) {
	t.Helper()
	s.requireNoFailures(t)
	if len(s.answers) != answers {
		t.Fatalf("%d answers, want %d", len(s.answers), answers)
	}
	for _, answer := range s.answers {
		if !answer.Complete {
			t.Fatalf("answer %+v", answer)
		}
	}
}

// TestTakeover guards against a takeover that waits for a dead owner, that does not wait
// for a slow one, or that starts tasks a second time.
func TestTakeover(t *testing.T) {
	cases := map[string]struct {
		fault func(s *simulation)
		// after is the time until the job is taken over.
		after time.Duration
		// returns is set when the old owner returns and has to attach to the new one.
		returns bool
	}{
		"declared dead": {
			fault: func(s *simulation) {
				s.entries[0].crashed = true
				s.changeCatalog(func(cat *catalog.Catalog) { delete(cat.Nodes, entryNode(0).ID) })
				s.updateEntries()
			},
		},
		"unresponsive": {fault: func(s *simulation) { s.entries[0].crashed = true }, after: ownerTimeout},
		"partitioned":  {fault: func(s *simulation) { s.entries[0].partitioned = true }, after: ownerTimeout, returns: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(2, 6, 2, 1)
			s.submitAndPlace("a", 4)
			c.fault(s)
			s.submit(s.entries[1], "a", "proof", 4)
			s.deliverAll()
			if c.after > 0 {
				s.advanceAndDeliver(c.after - 20*time.Millisecond)
				if s.counters[CounterTakeover+"/"] != 0 {
					t.Fatal("taken over too early")
				}
				s.advanceAndDeliver(40 * time.Millisecond)
			}
			if s.counters[CounterTakeover+"/"] != 1 {
				t.Fatal("not taken over in time")
			}
			want := 1
			if c.returns {
				s.entries[0].partitioned = false
				want = 2
			}
			s.runFor(2 * time.Second)
			s.requireComplete(t, want)
		})
	}
}

// TestAgentDeath guards against waiting for a task whose agent is lost, and against
// offering a task that may have started to another agent.
func TestAgentDeath(t *testing.T) {
	cases := map[string]struct {
		queued bool
		link   bool
		want   zinniasill.Reason
	}{
		"queued task is requeued":                     {queued: true},
		"queued task is requeued when a link is lost": {queued: true, link: true},
		"started task is unknown":                     {want: zinniasill.ReasonOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 3, 1, 1)
			if c.queued {
				s.submitAndPlace("before", 3)
			}
			s.submitAndPlace("a", 1)
			r := s.entries[0].jobs[zinniasill.Key{Team: "team", Client: "a"}]
			node := r.tasks[0].node
			switch {
			case c.link:
				s.entries[0].Disconnected(s.now, node.ID)
				s.collectOutputs(s.entries[0])
			default:
				s.killAgent(node)
				s.advance(time.Millisecond)
			}
			if c.queued && r.tasks[0].node == node {
				t.Fatal("the task was not requeued at once")
			}
			s.runFor(2 * time.Second)
			s.requireNoFailures(t)
			answer := s.answers[len(s.answers)-1]
			if c.queued {
				answer = *r.answer
			}
			if answer.Code != c.want || c.want != "" && answer.Ran != zinniasill.RanUnknown {
				t.Fatalf("answer %+v", answer)
			}
		})
	}
}

// TestDomainOut guards against tasks that stay in a domain out of service, and against a
// job that cannot use other agents when all its candidates are out of service.
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
			s := newSimulation(1, 9, 1, 1)
			s.submitAndPlace("before", 9)
			s.submitAndPlace("a", 3)
			s.changeCatalog(func(cat *catalog.Catalog) {
				for _, i := range c.out {
					domain := s.versions[0].Nodes[agentNode(i).ID].Domain
					cat.Domains[domain] = catalog.DomainEntry{Name: domain, State: catalog.DomainOutOfService}
				}
			})
			for i, agent := range s.agents {
				for _, out := range c.out {
					if i%3 == out {
						agent.setOutOfService(true)
					}
				}
			}
			s.updateEntries()
			s.runFor(500 * time.Millisecond)
			if c.returns {
				s.changeCatalog(func(cat *catalog.Catalog) { cat.Domains = map[zinniasill.Domain]catalog.DomainEntry{} })
				s.updateEntries()
				for _, agent := range s.agents {
					agent.setOutOfService(false)
				}
			}
			s.runFor(time.Second)
			s.requireComplete(t, 2)
		})
	}
}

// TestFailureAndCancel guards against tasks that start after another one failed, and
// against a not-run answer after which the key cannot run.
func TestFailureAndCancel(t *testing.T) {
	t.Run("failed task", func(t *testing.T) {
		s := newSimulation(1, 3, 1, 1)
		s.agents[0].failsTasks = true
		s.submit(s.entries[0], "a", "proof", 9)
		s.runFor(2 * time.Second)
		s.requireNoFailures(t)
		if got := s.answers[0]; got.Code != zinniasill.ReasonTaskFailed || got.Retry != zinniasill.RetryNewKey {
			t.Fatalf("answer %+v", got)
		}
		if n := s.countStarts(zinniasill.Key{Team: "team", Client: "a"}, 9); n > 6 {
			t.Fatalf("%d of 9 tasks started, queued ones were not withdrawn", n)
		}
	})
	t.Run("cancelled before a start", func(t *testing.T) {
		s := newSimulation(1, 1, 1, 1)
		s.submitAndPlace("before", 1)
		s.submitAndPlace("a", 2)
		key := zinniasill.Key{Team: "team", Client: "a"}
		if !s.entries[0].Cancel(s.now, key) {
			t.Fatal("not cancelled")
		}
		s.collectOutputs(s.entries[0])
		s.runFor(time.Second)
		s.submit(s.entries[0], "a", "proof", 2)
		s.requireNoFailures(t)
		got := s.answers[len(s.answers)-1]
		if got.Code != zinniasill.ReasonCancelled || got.Ran != zinniasill.NotRun || s.countStarts(key, 2) > 0 {
			t.Fatalf("answer %+v", got)
		}
	})
	t.Run("deadline, then resubmitted", func(t *testing.T) {
		s := newSimulation(2, 3, 1, 1)
		for _, agent := range s.agents {
			agent.setOutOfService(true)
		}
		s.submit(s.entries[0], "a", "proof", 2)
		s.runFor(4 * time.Second)
		if got := s.answers[0]; got.Code != zinniasill.ReasonDeadline || got.Ran != zinniasill.NotRun {
			t.Fatalf("answer %+v", got)
		}
		for _, agent := range s.agents {
			agent.setOutOfService(false)
		}
		s.submit(s.entries[0], "a", "proof", 2)
		s.submit(s.entries[1], "a", "proof", 2)
		s.runFor(time.Second)
		s.answers = s.answers[1:]
		s.requireComplete(t, 2)
	})
}

// TestArchivedAnswers guards against memory that grows with the number of answered jobs,
// against jobs that run a second time after their record is dropped, and against jobs
// beyond the record limit.
func TestArchivedAnswers(t *testing.T) {
	cases := map[string]struct {
		limits       Limits
		dropAnswered bool
		// client and profile are those of the third submission.
		client  string
		profile zinniasill.ProfileName
		want    message.Answer
	}{
		"output evicted": {
			Limits{MaxAnswerBytes: 200},
			false, "a", "proof",
			message.Answer{Code: zinniasill.ReasonAnswerEvicted, Ran: zinniasill.DidRun, Retry: zinniasill.RetryNone},
		},
		"record dropped":     {Limits{}, true, "a", "proof", message.Answer{Complete: true}},
		"retained when full": {Limits{MaxRecordBytes: 300}, false, "a", "proof", message.Answer{Complete: true}},
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
			s := newLimitedSimulation(1, 3, 10, 1, c.limits)
			s.submit(s.entries[0], "a", "proof", 2)
			s.runFor(time.Second)
			s.submit(s.entries[0], "b", "proof", 2)
			s.runFor(time.Second)
			if c.dropAnswered {
				s.dropAnswered(s.entries[0])
			}
			s.submit(s.entries[0], c.client, c.profile, 2)
			s.runFor(time.Second)
			s.requireNoFailures(t)
			got := s.answers[2]
			if got.Code != c.want.Code || got.Complete != c.want.Complete || got.Ran != c.want.Ran || got.Retry != c.want.Retry {
				t.Fatalf("answer %+v", got)
			}
			if r := s.entries[0].find(zinniasill.Key{Team: "team", Client: "c"}); r != nil {
				t.Fatalf("the refused job has a record in state %s", r.state)
			}
		})
	}
}

// TestMessagesPerTask guards against protocol changes that raise the number of messages for
// a task.
func TestMessagesPerTask(t *testing.T) {
	const tasks = 530
	s := newSimulation(1, 100, 10, 1)
	s.submit(s.entries[0], "a", "proof", tasks)
	sent := 0
	for range 200 {
		for len(s.inFlight) > 0 {
			if _, ok := s.inFlight[0].Body.(message.Result); !ok {
				sent++
			}
			s.deliver(0)
		}
		for _, agent := range s.agents {
			agent.finish()
		}
		s.advance(10 * time.Millisecond)
	}
	s.requireComplete(t, 1)
	// The fake agent sends one result for each task; offers are sent in batches.
	if perTask := float64(sent+tasks) / tasks; perTask > 4 {
		t.Fatalf("%.2f messages per task", perTask)
	}
}

// TestClaimMessagesForManyEpochs guards against a claim whose number of messages grows with
// the number of retained epochs although their members are the same.
func TestClaimMessagesForManyEpochs(t *testing.T) {
	s := newSimulation(1, 30, 10, 1)
	for range 15 {
		s.changeCatalog(s.newEpoch)
	}
	s.updateEntries()
	s.submit(s.entries[0], "a", "proof", 1)
	sent := 0
	for ; len(s.inFlight) > 0; sent++ {
		s.deliver(0)
	}
	for _, agent := range s.agents {
		agent.finish()
	}
	s.runFor(time.Second)
	s.requireComplete(t, 1)
	// Six messages for the claim with three members, an offer and its reply.
	if sent > 8 {
		t.Fatalf("%d messages up to the start of the task", sent)
	}
}
