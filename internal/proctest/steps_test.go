package proctest_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/internal/localcluster"
)

// hold lets the messages about one job pass until a number of them have been sent,
// and holds that one and all later ones until release. Those of a killed process are
// then lost, so that it has acted on what it received but told nobody.
type hold struct {
	key  string
	done chan struct{}
	// reached is closed when the messages are held.
	reached chan struct{}

	mu   sync.Mutex
	left int
	// runner is the agent that was sent the task, agents those that were sent
	// anything about the job.
	runner string
	agents []string
	// lost is the killed process.
	lost string
}

// holds has the present hold of a test with one job after the other.
type holds struct {
	mu      sync.Mutex
	present *hold
}

// hold starts to count the messages about a job. The held ones pass after release.
func (h *holds) hold(key string, after int) *hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.present = &hold{key: key, left: after, done: make(chan struct{}), reached: make(chan struct{})}
	return h.present
}

// pass implements Pass of localcluster.Network.
func (h *holds) pass(from, to string, data []byte) bool {
	h.mu.Lock()
	present := h.present
	h.mu.Unlock()
	if present == nil || !bytes.Contains(data, []byte(present.key)) || !present.count(to, data) {
		return true
	}
	select {
	case <-present.done:
		return true
	default:
	}
	<-present.done
	return present.lost == "" || present.lost != from && present.lost != to
}

// count counts a message and reports whether it is held.
func (h *hold) count(to string, data []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if strings.HasPrefix(to, "agent") {
		h.agents = append(h.agents, to)
		if bytes.Contains(data, []byte(localcluster.TaskID(h.key, 0))) {
			h.runner = to
		}
	}
	h.left--
	if h.left == 0 {
		close(h.reached)
	}
	return h.left <= 0
}

// release lets all messages pass, but for the held ones of a killed process.
func (h *hold) release(killed string) {
	h.lost = killed
	close(h.done)
}

// victim returns the process in a role of the held job, nil if there is none yet.
type victim func(f *fixture, h *hold) *localcluster.Process

func owner(f *fixture, _ *hold) *localcluster.Process { return f.Entries[0] }

func leader(f *fixture, _ *hold) *localcluster.Process { return f.leader() }

func runner(f *fixture, h *hold) *localcluster.Process {
	return f.agent(func(name string) bool { return name == h.runner }, h)
}

func member(f *fixture, h *hold) *localcluster.Process {
	return f.agent(func(name string) bool { return name != h.runner }, h)
}

// agent returns the first agent of the held job that is wanted.
func (f *fixture) agent(wanted func(name string) bool, h *hold) *localcluster.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range h.agents {
		for _, p := range f.Agents {
			if p.Name == name && wanted(name) {
				return p
			}
		}
	}
	return nil
}

// TestEachStep guards against a second start, a part of an answer or a false not-run
// when a process is killed at one step of a job: before the first message about it
// arrives, before the second, and so on until its answer. Its key is sent twice
// through the other entry at once.
func TestEachStep(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		victim victim
		// frozen has the victim stopped until the resubmissions are answered.
		frozen bool
		// queued has the task wait at its agent, so that it is fetched and granted.
		queued bool
	}{
		"owner killed":             {victim: owner},
		"owner killed, task waits": {victim: owner, queued: true},
		"owner frozen":             {victim: owner, frozen: true},
		"owner frozen, task waits": {victim: owner, frozen: true, queued: true},
		"agent killed":             {victim: runner},
		"agent killed, task waits": {victim: runner, queued: true},
		"claim group member":       {victim: member},
		"control leader":           {victim: leader, queued: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			steps := &holds{}
			f := startBehind(t, 3, &localcluster.Network{Pass: steps.pass})
			n, hit, answered := 1, 0, 0
			for try := 1; answered < lastTries; try++ {
				if tt.queued {
					f.fillSlots(try)
				}
				h := steps.hold(fmt.Sprintf("step-%03d", try), n)
				end := f.step(h, tt.victim, tt.frozen)
				switch end {
				case stepAnswered:
					answered++
				case stepStruck:
					hit++
					fallthrough
				case stepHeld:
					n++
					answered = 0
				case stepRefused:
				}
			}
			t.Logf("the job was answered before message %d; the process was lost at %d steps", n, hit)
			if hit == 0 {
				t.Error("no process was lost")
			}
		})
	}
}

const (
	// lastTries is the number of jobs in succession that are answered before the same
	// message at the end: one that was late for the taken slots needs fewer messages.
	lastTries = 3
	// fillMS is the time in milliseconds for which all slots are taken.
	fillMS = 300
)

// fillSlots has all slots taken for a while. Verdicts don't depend on its success.
func (f *fixture) fillSlots(try int) {
	f.Helper()
	job := newJob(fmt.Sprintf("filler-%03d", try), len(f.Agents)*slots, fillMS)
	done := make(chan struct{})
	f.Cleanup(func() { <-done })
	go func() {
		defer close(done)
		_ = f.submit(f.client(1), job) // fails when an agent is killed
	}()
	f.await("all slots to be taken", func() bool {
		select {
		case <-done:
			return true
		default:
			return countStarts(f.Starts(), job.Key) == len(job.Tasks)
		}
	})
}

// stepEnd is how a step ended.
type stepEnd int

const (
	// stepRefused is the end of a job that was refused before the message, for
	// example because the machine was too slow for the leases.
	stepRefused stepEnd = iota
	// stepAnswered is the end of a job that was answered before the message.
	stepAnswered
	// stepHeld had no process in the role, stepStruck had one.
	stepHeld
	stepStruck
)

// step submits a job, strikes the victim when the job's messages are held, and sends
// the key again.
func (f *fixture) step(h *hold, victim victim, frozen bool) stepEnd {
	f.Helper()
	job := newJob(h.key, 1, 10)
	epoch, err := f.client(1).Stamp(f.ctx)
	f.must(err)
	job.Epoch = epoch
	first := make(chan error, 1)
	go func() { first <- f.submit(f.client(0), job) }()
	select {
	case <-h.reached:
	case err := <-first:
		h.release("")
		f.checkTold(err)
		if err != nil {
			return stepRefused
		}
		return stepAnswered
	}
	p := victim(f, h)
	if p != nil {
		f.strike(h, p, job, frozen)
	} else {
		h.release("")
	}
	f.checkTold(<-first)
	if p == nil {
		return stepHeld
	}
	f.must(f.AwaitReady(f.ctx, p))
	f.awaitEpoch()
	switch {
	case slices.Contains(f.Controls, p):
		f.awaitRenewed()
	case slices.Contains(f.Agents, p):
		f.await("the epoch with the restarted agent", func() bool { return f.epoch() > epoch })
	}
	return stepStruck
}

// strike stops a process while the job's messages are held, sends the job twice
// through the other entry, and starts the process again.
func (f *fixture) strike(h *hold, p *localcluster.Process, job client.Job, frozen bool) {
	f.Helper()
	if frozen {
		p.Signal(syscall.SIGSTOP)
		h.release("")
	} else {
		p.Kill()
		h.release(p.Name)
	}
	var again sync.WaitGroup
	for range 2 {
		again.Go(func() { f.checkTold(f.submit(f.client(1), job)) })
	}
	if frozen {
		again.Wait()
		p.Signal(syscall.SIGCONT)
	} else {
		f.must(p.Start())
	}
	again.Wait()
}

// awaitRenewed waits until every node has renewed its lease after this call, so that
// no lease ends because two control leaders in succession are killed.
func (f *fixture) awaitRenewed() {
	f.Helper()
	revision := f.putQuota(f.Operator(), "renewed", 1000)
	for _, p := range append(f.Entries[:2:2], f.Agents...) {
		f.await(p.Name+" to renew its lease", func() bool { return p.Revision(f.ctx) >= revision })
	}
}

// checkTold checks that a failed job was told what is known. The witness checks it
// against the starts.
func (f *fixture) checkTold(err error) {
	f.Helper()
	var refused *client.RefusalError
	if err != nil && (!errors.As(err, &refused) || !lostWork(refused)) {
		f.Errorf("resubmission: %v", err)
	}
}

// epoch returns the current epoch at control, 0 if it doesn't answer.
func (f *fixture) epoch() zinniasill.Epoch {
	status, _ := f.Operator().Status(f.ctx)
	return status.Epoch
}
