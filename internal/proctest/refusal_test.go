package proctest_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
)

// TestRefusals guards against a refusal that says not-run for a job that runs: many
// callers send each key to both entries at once, above the capacity,
// while an agent dies, a domain moves and an entry stops.
func TestRefusals(t *testing.T) {
	f := start(t, 6)
	_, err := f.Operator().PutProfile(f.ctx, catalog.Profile{
		Name: "hurried", Kind: localcluster.Kind, AnswerWithin: 300 * time.Millisecond,
		ExpectedRunTime: 50 * time.Millisecond, Repeat: catalog.RepeatNever, MaxTasks: 1000,
	}, localcluster.NewEdit(0))
	f.must(err)
	f.awaitEpoch()
	const keys = 300
	clients := []*client.Client{f.client(0, 1), f.client(1, 0), f.client()}
	var wait sync.WaitGroup
	sent := make(chan struct{}, keys)
	slots := make(chan struct{}, 60)
	wait.Go(func() {
		for i := range keys {
			job := newJob(fmt.Sprintf("hurried-%d", i), 4, 50)
			job.Profile = "hurried"
			slots <- struct{}{}
			wait.Go(func() {
				defer func() { <-slots }()
				f.sendEverywhere(clients, job)
			})
			sent <- struct{}{}
		}
		close(sent)
	})
	number := 0
	for range sent {
		number++
		switch number {
		case keys / 5:
			f.Agents[1].Kill()
		case 2 * keys / 5:
			f.setDomain(f.Domain(0), catalog.DomainOut)
		case 3 * keys / 5:
			f.setDomain(f.Domain(0), catalog.DomainIn)
		case 4 * keys / 5:
			f.must(f.Entries[0].Terminate(f.ctx))
		}
	}
	wait.Wait()
	if f.witness.NotRun() == 0 || len(f.Starts()) == 0 {
		t.Errorf("%d refusals with ran: not-run and %d starts to check", f.witness.NotRun(), len(f.Starts()))
	}
	t.Logf("refusals by code: %v", f.witness.Codes())
}

// sendEverywhere sends a job through all clients at once. Errors are checked by
// the witness.
func (f *fixture) sendEverywhere(clients []*client.Client, job client.Job) {
	var wait sync.WaitGroup
	for _, c := range clients {
		wait.Go(func() { _ = f.submit(c, job) })
	}
	wait.Wait()
}
