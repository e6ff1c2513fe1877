package proctest_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
)

// TestRefusals guards against a refusal that says not-run for a job that runs: many
// callers send each key to both entries at once, above the capacity,
// while callers cancel, an agent dies, a domain moves and an entry stops.
func TestRefusals(t *testing.T) {
	f := start(t, 6)
	for _, repeat := range []catalog.RepeatPolicy{catalog.RepeatNever, catalog.RepeatResubmit} {
		_, err := f.Operator().PutProfile(f.ctx, catalog.Profile{
			Name: hurried(repeat), Kind: localcluster.Kind, AnswerWithin: 300 * time.Millisecond,
			ExpectedRunTime: 50 * time.Millisecond, Repeat: repeat, MaxTasks: 1000,
		}, localcluster.NewEdit(0))
		f.must(err)
	}
	f.awaitEpoch()
	const keys = 300
	clients := []*client.Client{f.client(0, 1), f.client(1, 0), f.client()}
	var wait sync.WaitGroup
	sent := make(chan struct{}, keys)
	slots := make(chan struct{}, 60)
	wait.Go(func() {
		for i := range keys {
			job := newJob(fmt.Sprintf("hurried-%d", i), 4, 50)
			job.Profile = hurried(catalog.RepeatNever)
			if i%2 == 1 {
				job.Profile = hurried(catalog.RepeatResubmit)
			}
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
		if number%waveEvery == 0 {
			last := number
			wait.Go(func() { f.cancelKeys(last-waveEvery, last) })
		}
		switch number {
		case keys / 5:
			f.Agents[1].Kill()
		case 2 * keys / 5:
			f.setDomain(f.Domain(0), catalog.DomainOutOfService)
		case 3 * keys / 5:
			f.setDomain(f.Domain(0), catalog.DomainInService)
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

// waveEvery is the number of keys after which a wave cancels half of them.
const waveEvery = 30

func hurried(repeat catalog.RepeatPolicy) zinniasill.ProfileName {
	return zinniasill.ProfileName("hurried-" + repeat)
}

// cancelKeys cancels every second pair of keys at once, so that both profiles are
// among them, each through one entry.
func (f *fixture) cancelKeys(from, to int) {
	var wait sync.WaitGroup
	for i := from; i < to; i++ {
		if i/2%2 == 0 {
			wait.Go(func() { _ = f.client(i/4%2).Cancel(f.ctx, fmt.Sprintf("hurried-%d", i)) })
		}
	}
	wait.Wait()
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
