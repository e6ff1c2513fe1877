package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// killGroup kills members of the current claim group of a key.
func (s *simulation) killGroup(key string, count int) {
	cat := s.versions[len(s.versions)-1]
	epoch := cat.Epochs[len(cat.Epochs)-1]
	for _, member := range claim.Group(zinniasill.Key{Team: "team", Client: key}, epoch)[:count] {
		s.killAgent(member.Node)
	}
}

// killAgent stops an agent and declares it dead.
func (s *simulation) killAgent(node zinniasill.Node) {
	for _, agent := range s.agents {
		agent.dead = agent.dead || agent.node == node
	}
	s.changeCatalog(func(cat *catalog.Catalog) { delete(cat.Nodes, node.ID) })
	s.updateEntries()
}

// TestRefusals guards against refusals with a wrong code, a wrong report of what ran, or
// advice that makes a caller repeat work or abandon the job without need.
func TestRefusals(t *testing.T) {
	type edit func(s *simulation, sub *message.Submission)
	changeCatalog := func(f func(cat *catalog.Catalog)) edit {
		return func(s *simulation, _ *message.Submission) { s.changeCatalog(f); s.updateEntries() }
	}
	long := make([]byte, message.MaxPayload)
	cases := map[string]struct {
		profile zinniasill.ProfileName
		edit    edit
		want    message.Answer
	}{
		"unknown profile": {"none", nil, message.Answer{Code: "unknown-profile", Ran: "not-run", Retry: "none"}},
		"no tasks": {
			"proof", func(_ *simulation, sub *message.Submission) { sub.Payloads = nil },
			message.Answer{Code: "bad-request", Ran: "not-run", Retry: "none"},
		},
		"too many tasks": {
			"proof", func(_ *simulation, sub *message.Submission) { sub.Payloads = make([][]byte, message.MaxTasks+1) },
			message.Answer{Code: "too-large", Ran: "not-run", Retry: "none"},
		},
		"large payload": {
			"proof", func(_ *simulation, sub *message.Submission) { sub.Payloads[0] = append(long, 0) },
			message.Answer{Code: "too-large", Ran: "not-run", Retry: "none"},
		},
		"large body": {
			"proof", func(_ *simulation, sub *message.Submission) {
				for range message.MaxBody/message.MaxPayload + 1 {
					sub.Payloads = append(sub.Payloads, long)
				}
			},
			message.Answer{Code: "too-large", Ran: "not-run", Retry: "none"},
		},
		"more tasks than the profile allows": {
			"proof", changeCatalog(func(cat *catalog.Catalog) {
				profile := testProfiles[0]
				profile.MaxTasks = 1
				cat.Profiles["proof"] = profile
			}),
			message.Answer{Code: "too-large", Ran: "not-run", Retry: "none"},
		},
		"no stamp": {
			"pull", func(_ *simulation, sub *message.Submission) { sub.Stamp = 0 },
			message.Answer{Code: "epoch-required", Ran: "not-run", Retry: "same-key"},
		},
		"old stamp": {
			"pull", func(s *simulation, _ *message.Submission) {
				s.changeCatalog(s.newEpoch)
				s.changeCatalog(func(cat *catalog.Catalog) { cat.Epochs = cat.Epochs[1:] })
				s.updateEntries()
			},
			message.Answer{Code: "key-expired", Ran: "unknown", Retry: "none"},
		},
		"claim group lost": {
			"proof", func(s *simulation, _ *message.Submission) { s.killGroup("a", 2) },
			message.Answer{Code: "record-lost", Ran: "unknown", Retry: "new-key"},
		},
		"earlier claim group lost": {
			"proof", func(s *simulation, _ *message.Submission) {
				s.killGroup("a", 2)
				s.changeCatalog(s.newEpoch)
				s.updateEntries()
			},
			message.Answer{Code: "record-lost", Ran: "unknown", Retry: "new-key"},
		},
		"domains out": {
			"proof", changeCatalog(func(cat *catalog.Catalog) {
				for _, domain := range []zinniasill.Domain{"domain-0", "domain-1", "domain-2"} {
					cat.Domains[domain] = catalog.DomainEntry{Name: domain, State: catalog.DomainOutOfService}
				}
			}),
			message.Answer{Code: "no-endpoint", Ran: "not-run", Retry: "same-key"},
		},
		"team at its quota": {
			"proof", changeCatalog(func(cat *catalog.Catalog) { cat.Teams["team"] = catalog.TeamEntry{Name: "team", Quota: 1} }),
			message.Answer{Code: "quota", Ran: "not-run", Retry: "same-key"},
		},
		"overload": {
			"proof", overload, message.Answer{Code: "overload", Ran: "not-run", Retry: "same-key"},
		},
		"overload, never repeated": {
			"pull", overload, message.Answer{Code: "overload", Ran: "not-run", Retry: "new-key"},
		},
		"lease expired": {
			"proof", func(s *simulation, _ *message.Submission) { s.entries[0].Tick(s.now); s.entries[0].lease.valid = false },
			message.Answer{Code: "lease-expired", Ran: "not-run", Retry: "same-key"},
		},
		"lease expired long ago": {
			"proof", func(s *simulation, _ *message.Submission) {
				s.entries[0].Tick(s.now)
				s.entries[0].lease.valid = false
				s.now = s.now.Add(staleLeaseAge + time.Second)
			},
			message.Answer{Code: "lease-expired", Ran: "unknown", Retry: "same-key"},
		},
		"shutting down": {
			"proof", func(s *simulation, _ *message.Submission) { s.entries[0].Drain(s.now) },
			message.Answer{Code: "shutting-down", Ran: "not-run", Retry: "same-key"},
		},
		"claim group unresponsive": {
			"proof", func(s *simulation, _ *message.Submission) {
				for _, agent := range s.agents {
					agent.dead = true
				}
			},
			message.Answer{Code: "deadline", Ran: "unknown", Retry: "same-key"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 6, 2, 1)
			sub := s.submission(s.entries[0], "a", c.profile, 2)
			if c.edit != nil {
				c.edit(s, &sub)
			}
			s.submitTo(s.entries[0], sub)
			s.runFor(4 * time.Second)
			s.requireNoFailures(t)
			if len(s.answers) != 1 {
				t.Fatalf("%d answers", len(s.answers))
			}
			got := s.answers[0]
			if got.Code != c.want.Code || got.Ran != c.want.Ran || got.Retry != c.want.Retry || got.Message == "" {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
			if s.counters[CounterRefused+"/"+string(c.want.Code)] != 1 {
				t.Fatalf("counters %v", s.counters)
			}
			if !s.entries[0].Idle() {
				t.Fatal("not idle after the answer")
			}
		})
	}
}

// overload makes the agents report long queues and gives the entry run times to estimate
// from.
func overload(s *simulation, _ *message.Submission) {
	entry := s.entries[0]
	entry.Tick(s.now)
	for range 20 {
		entry.runTimes.Observe("proof", 100*time.Millisecond)
		entry.runTimes.Observe("pull", 100*time.Millisecond)
	}
	for _, agent := range s.agents {
		entry.views.Report(s.now, agent.node, message.Load{Slots: 2, Busy: 2, Queued: 200, QueuedWork: 20 * time.Second})
	}
}

// TestFinalRefusalHolds guards against a final refusal that a delayed duplicate of the
// submission circumvents at the same or another entry, and against an overload that fills
// the records of an entry with refusals.
func TestFinalRefusalHolds(t *testing.T) {
	s := newSimulation(2, 6, 2, 1)
	overload(s, nil)
	for _, entry := range []int{0, 1, 0} {
		s.submit(s.entries[entry], "a", "pull", 2)
		s.runFor(time.Second)
	}
	s.requireNoFailures(t)
	if size := s.entries[0].RecordBytes(); size != 0 {
		t.Errorf("refusals take %d B of the records", size)
	}
	for _, answer := range s.answers {
		if answer.Code != zinniasill.ReasonOverload || answer.Retry != zinniasill.RetryNewKey {
			t.Fatalf("answers %+v", s.answers)
		}
	}
	if len(s.answers) != 3 || len(s.starts) > 0 {
		t.Fatalf("%d answers, starts %v", len(s.answers), s.starts)
	}
}

// TestProfileReceivedLate guards against retry advice that ignores the profile because the
// job arrived before the entry's first catalog, as after a restart.
func TestProfileReceivedLate(t *testing.T) {
	s := newSimulation(1, 6, 2, 1)
	entry := s.entries[0]
	sub := s.submission(entry, "a", "proof", 1)
	s.versions = append([]*catalog.Catalog{catalog.New()}, s.versions...)
	entry.lease.valid = false
	s.submitTo(entry, sub)
	s.killGroup("a", 2)
	s.runFor(time.Second)
	s.requireNoFailures(t)
	if len(s.answers) != 1 || s.answers[0].Code != zinniasill.ReasonRecordLost || s.answers[0].Retry != zinniasill.RetryNewKey {
		t.Fatalf("answers %+v", s.answers)
	}
}

// TestRefusalJoinsAClaimedJob guards against the refusal of a job that another entry has
// claimed.
func TestRefusalJoinsAClaimedJob(t *testing.T) {
	s := newSimulation(2, 6, 2, 1)
	s.submit(s.entries[0], "a", "proof", 2)
	s.runFor(time.Second)
	s.entries[1].Tick(s.now)
	s.entries[1].lease.valid = false
	s.submit(s.entries[1], "a", "proof", 2)
	s.runFor(time.Second)
	s.requireNoFailures(t)
	if len(s.answers) != 2 || !s.answers[1].Complete {
		t.Fatalf("answers %+v", s.answers)
	}
}

// TestKeyReused guards against a key that is answered for two bodies, and against a wrong
// body that arrives first at an entry and causes the refusal of the right one.
func TestKeyReused(t *testing.T) {
	cases := map[string]struct{ answered bool }{
		"after the answer": {true},
		"at the same time": {false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(2, 6, 2, 1)
			s.submit(s.entries[0], "a", "proof", 2)
			if c.answered {
				s.runFor(time.Second)
			}
			wrong := s.submission(s.entries[1], "a", "proof", 1)
			wrong.Digest[0]++
			s.submitTo(s.entries[1], wrong)
			s.submit(s.entries[1], "a", "proof", 2)
			s.runFor(2 * time.Second)
			s.requireNoFailures(t)
			reused, complete := 0, 0
			for _, answer := range s.answers {
				if answer.Code == zinniasill.ReasonKeyReused && answer.Ran == zinniasill.NotRun {
					reused++
				}
				if answer.Complete {
					complete++
				}
			}
			if reused != 1 || complete != 2 {
				t.Fatalf("answers %+v", s.answers)
			}
		})
	}
}
