package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// killGroup declares members of the current claim group of a key dead.
func (w *world) killGroup(key string, count int) {
	cat := w.versions[len(w.versions)-1]
	epoch := cat.Epochs[len(cat.Epochs)-1]
	for _, member := range claim.Group(zinniasill.Key{Team: "team", Client: key}, epoch)[:count] {
		w.killAgent(member.Node)
	}
}

func (w *world) killAgent(node zinniasill.Node) {
	for _, agent := range w.agents {
		agent.dead = agent.dead || agent.node == node
	}
	w.change(func(cat *catalog.Catalog) { delete(cat.Nodes, node.ID) })
	w.spread()
}

// Guards against refusals with a wrong code, a wrong claim on what ran, or advice
// that makes a caller repeat work or give up.
func TestRefusals(t *testing.T) {
	type edit func(w *world, sub *message.Submission)
	change := func(f func(cat *catalog.Catalog)) edit {
		return func(w *world, _ *message.Submission) { w.change(f); w.spread() }
	}
	long := make([]byte, message.MaxPayload)
	cases := map[string]struct {
		profile zinniasill.ProfileName
		edit    edit
		want    message.Answer
	}{
		"unknown profile": {"none", nil, message.Answer{Code: "unknown-profile", Ran: "not-run", Retry: "none"}},
		"no tasks": {
			"proof", func(_ *world, sub *message.Submission) { sub.Payloads = nil },
			message.Answer{Code: "bad-request", Ran: "not-run", Retry: "none"},
		},
		"too many tasks": {
			"proof", func(_ *world, sub *message.Submission) { sub.Payloads = make([][]byte, message.MaxTasks+1) },
			message.Answer{Code: "too-large", Ran: "not-run", Retry: "none"},
		},
		"large payload": {
			"proof", func(_ *world, sub *message.Submission) { sub.Payloads[0] = append(long, 0) },
			message.Answer{Code: "too-large", Ran: "not-run", Retry: "none"},
		},
		"large body": {
			"proof", func(_ *world, sub *message.Submission) {
				for range message.MaxBody/message.MaxPayload + 1 {
					sub.Payloads = append(sub.Payloads, long)
				}
			},
			message.Answer{Code: "too-large", Ran: "not-run", Retry: "none"},
		},
		"more tasks than the profile allows": {
			"proof", change(func(cat *catalog.Catalog) {
				profile := testProfiles[0]
				profile.MaxTasks = 1
				cat.Profiles["proof"] = profile
			}),
			message.Answer{Code: "too-large", Ran: "not-run", Retry: "none"},
		},
		"no stamp": {
			"pull", func(_ *world, sub *message.Submission) { sub.Stamp = 0 },
			message.Answer{Code: "epoch-required", Ran: "not-run", Retry: "same-key"},
		},
		"old stamp": {
			"pull", func(w *world, _ *message.Submission) {
				w.change(w.newEpoch)
				w.change(func(cat *catalog.Catalog) { cat.Epochs = cat.Epochs[1:] })
				w.spread()
			},
			message.Answer{Code: "key-expired", Ran: "unknown", Retry: "none"},
		},
		"claim group lost": {
			"proof", func(w *world, _ *message.Submission) { w.killGroup("a", 2) },
			message.Answer{Code: "record-lost", Ran: "unknown", Retry: "new-key"},
		},
		"earlier claim group lost": {
			"proof", func(w *world, _ *message.Submission) { w.killGroup("a", 2); w.change(w.newEpoch); w.spread() },
			message.Answer{Code: "record-lost", Ran: "unknown", Retry: "new-key"},
		},
		"domains out": {
			"proof", change(func(cat *catalog.Catalog) {
				for _, domain := range []zinniasill.Domain{"domain-0", "domain-1", "domain-2"} {
					cat.Domains[domain] = catalog.DomainEntry{Name: domain, State: catalog.DomainOutOfService}
				}
			}),
			message.Answer{Code: "no-endpoint", Ran: "not-run", Retry: "same-key"},
		},
		"team at its quota": {
			"proof", change(func(cat *catalog.Catalog) { cat.Teams["team"] = catalog.TeamEntry{Name: "team", Quota: 1} }),
			message.Answer{Code: "quota", Ran: "not-run", Retry: "same-key"},
		},
		"overload": {
			"proof", overload, message.Answer{Code: "overload", Ran: "not-run", Retry: "same-key"},
		},
		"overload, never repeated": {
			"pull", overload, message.Answer{Code: "overload", Ran: "not-run", Retry: "new-key"},
		},
		"lease expired": {
			"proof", func(w *world, _ *message.Submission) { w.entries[0].Tick(w.now); w.entries[0].lease.valid = false },
			message.Answer{Code: "lease-expired", Ran: "not-run", Retry: "same-key"},
		},
		"lease expired long ago": {
			"proof", func(w *world, _ *message.Submission) {
				w.entries[0].Tick(w.now)
				w.entries[0].lease.valid = false
				w.now = w.now.Add(staleLease + time.Second)
			},
			message.Answer{Code: "lease-expired", Ran: "unknown", Retry: "same-key"},
		},
		"shutting down": {
			"proof", func(w *world, _ *message.Submission) { w.entries[0].Drain(w.now) },
			message.Answer{Code: "shutting-down", Ran: "not-run", Retry: "same-key"},
		},
		"claim group silent": {
			"proof", func(w *world, _ *message.Submission) {
				for _, agent := range w.agents {
					agent.dead = true
				}
			},
			message.Answer{Code: "deadline", Ran: "unknown", Retry: "same-key"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 6, 2, 1)
			sub := w.submission(w.entries[0], "a", c.profile, 2)
			if c.edit != nil {
				c.edit(w, &sub)
			}
			w.submitTo(w.entries[0], sub)
			w.settleAll(4 * time.Second)
			w.check(t)
			if len(w.answers) != 1 {
				t.Fatalf("%d answers", len(w.answers))
			}
			got := w.answers[0]
			if got.Code != c.want.Code || got.Ran != c.want.Ran || got.Retry != c.want.Retry || got.Message == "" {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
			if w.counts[CounterRefused+"/"+string(c.want.Code)] != 1 {
				t.Fatalf("counters %v", w.counts)
			}
			if !w.entries[0].Idle() {
				t.Fatal("not idle after the answer")
			}
		})
	}
}

// overload makes the agents report long queues and the entry know the run time.
func overload(w *world, _ *message.Submission) {
	entry := w.entries[0]
	entry.Tick(w.now)
	for range 20 {
		entry.times.Observe("proof", 100*time.Millisecond)
		entry.times.Observe("pull", 100*time.Millisecond)
	}
	for _, agent := range w.agents {
		entry.views.Report(w.now, agent.node, message.Load{Slots: 2, Busy: 2, Queued: 200, QueuedWork: 20 * time.Second})
	}
}

// Guards against a final refusal that a delayed duplicate of the submission could
// get past at another entry or at the same one, and against an overload that fills
// the records of an entry with its refusals.
func TestFinalRefusalHolds(t *testing.T) {
	w := newWorld(2, 6, 2, 1)
	overload(w, nil)
	for _, entry := range []int{0, 1, 0} {
		w.submit(w.entries[entry], "a", "pull", 2)
		w.settleAll(time.Second)
	}
	w.check(t)
	if size := w.entries[0].RecordBytes(); size != 0 {
		t.Errorf("refusals take %d B of the records", size)
	}
	for _, answer := range w.answers {
		if answer.Code != zinniasill.ReasonOverload || answer.Retry != zinniasill.RetryNewKey {
			t.Fatalf("answers %+v", w.answers)
		}
	}
	if len(w.answers) != 3 || len(w.starts) > 0 {
		t.Fatalf("%d answers, starts %v", len(w.answers), w.starts)
	}
}

// Guards against advice that ignores the profile because the job came before the
// entry's first configuration, as after a restart.
func TestProfileLearnedLate(t *testing.T) {
	w := newWorld(1, 6, 2, 1)
	entry := w.entries[0]
	sub := w.submission(entry, "a", "proof", 1)
	w.versions = append([]*catalog.Catalog{catalog.New()}, w.versions...)
	entry.lease.valid = false
	w.submitTo(entry, sub)
	w.killGroup("a", 2)
	w.settleAll(time.Second)
	w.check(t)
	if len(w.answers) != 1 || w.answers[0].Code != zinniasill.ReasonRecordLost || w.answers[0].Retry != zinniasill.RetryNewKey {
		t.Fatalf("answers %+v", w.answers)
	}
}

// Guards against a refusal of a job that another entry has taken.
func TestRefusalJoinsAClaimedJob(t *testing.T) {
	w := newWorld(2, 6, 2, 1)
	w.submit(w.entries[0], "a", "proof", 2)
	w.settleAll(time.Second)
	w.entries[1].Tick(w.now)
	w.entries[1].lease.valid = false
	w.submit(w.entries[1], "a", "proof", 2)
	w.settleAll(time.Second)
	w.check(t)
	if len(w.answers) != 2 || !w.answers[1].Complete {
		t.Fatalf("answers %+v", w.answers)
	}
}

// Guards against a key that answers two bodies, and against a wrong body that
// arrives first at an entry and gets the right one refused.
func TestKeyReused(t *testing.T) {
	cases := map[string]struct{ settle bool }{
		"after the answer": {true},
		"at the same time": {false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2, 6, 2, 1)
			w.submit(w.entries[0], "a", "proof", 2)
			if c.settle {
				w.settleAll(time.Second)
			}
			wrong := w.submission(w.entries[1], "a", "proof", 1)
			wrong.Digest[0]++
			w.submitTo(w.entries[1], wrong)
			w.submit(w.entries[1], "a", "proof", 2)
			w.settleAll(2 * time.Second)
			w.check(t)
			reused, complete := 0, 0
			for _, answer := range w.answers {
				if answer.Code == zinniasill.ReasonKeyReused && answer.Ran == zinniasill.NotRun {
					reused++
				}
				if answer.Complete {
					complete++
				}
			}
			if reused != 1 || complete != 2 {
				t.Fatalf("answers %+v", w.answers)
			}
		})
	}
}
