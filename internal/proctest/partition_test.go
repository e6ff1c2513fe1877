package proctest_test

import (
	"os"
	"testing"
	"time"

	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
)

// soakVariable is set by cmd/soak.
const soakVariable = "ZINNIASILL_SOAK"

// longCut returns the length of a long cut from control: longer than every lease and
// election, and minutes in make soak.
func longCut() time.Duration {
	if os.Getenv(soakVariable) != "" {
		return 3 * time.Minute
	}
	return 6 * time.Second
}

func (f *fixture) awaitLongCut(since time.Time) {
	f.Helper()
	f.await("a long cut", func() bool { return time.Since(since) > longCut() })
}

// controlNames are the names of the control replicas.
var controlNames = []string{"control-1", "control-2", "control-3"}

// TestAgentCutOffFromControl guards against an agent that can't hear of a domain
// taken out of service and goes on starting the tasks that wait in it. The entry that
// owns these tasks reaches the agent and can't hear of the change either, so that
// only the agent's own lease stops it, while the rest of the cluster works on.
func TestAgentCutOffFromControl(t *testing.T) {
	t.Parallel()
	tests := map[string]func(f *fixture){
		"both ways": func(f *fixture) { f.network.Partition("agent-1", controlNames...) },
		"replies lost": func(f *fixture) {
			for _, name := range controlNames {
				f.network.Block(name, "agent-1")
			}
		},
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			f := start(t, 6)
			l := f.startLoad(8, 50)
			// Enough tasks for about six seconds, well past the bound on late starts.
			waiting := []client.Job{newJob("waiting", 300, 500)}
			done := make(chan []error, 1)
			go func() { done <- f.submitAll(f.client(1), waiting) }()
			f.await("a task to start at the agent", func() bool { return countStarts(f.startedAt(0), "waiting") > 0 })
			f.network.Partition("entry-2", controlNames...)
			cut(f)
			f.setDomain(f.Domain(0), catalog.DomainOutOfService)
			out := time.Now()
			f.awaitBound(out)
			f.awaitDead(f.Agents[0])
			l.awaitMore(16)
			f.network.RestoreAll()
			f.await("the agent to return", func() bool {
				_, listed := f.node("agent-1")
				return listed
			})
			l.awaitMore(16)
			if late := f.lateStarts(out, time.Now(), 0, 3); len(late) > 0 {
				t.Errorf("%d late starts in the domain, the first %v", len(late), late[0])
			}
			l.stop(lostWork)
			<-done // the witness checks what the caller is told
		})
	}
}

// TestAllCutOffFromControl guards against entries and agents that together lose
// control and go on with the tasks that wait in a domain taken out meanwhile: the
// entry cannot tell the agent, so that only the agent's own lease stops it.
func TestAllCutOffFromControl(t *testing.T) {
	f := start(t, 3)
	// Enough tasks for about ten seconds, well past the bound on late starts.
	jobs := []client.Job{newJob("waiting", 240, 500)}
	done := make(chan []error, 1)
	go func() { done <- f.submitAll(f.client(0), jobs) }()
	f.await("tasks to start", func() bool { return len(f.startedAt(0)) > 0 })
	for _, p := range append(f.Entries[:2:2], f.Agents...) {
		f.network.Partition(p.Name, controlNames...)
	}
	f.setDomain(f.Domain(0), catalog.DomainOutOfService)
	out := time.Now()
	f.awaitLongCut(out)
	if late := f.lateStarts(out, time.Now(), 0); len(late) > 0 {
		t.Errorf("%d late starts in the domain, the first %v", len(late), late[0])
	}
	f.network.RestoreAll()
	// The job may fail, because its agents were declared dead; the witness checks
	// what the caller is told.
	<-done
	f.must(f.AwaitReady(f.ctx, f.Entries[1])) // the other one is in the domain
}

// TestAgentCutOff guards against tasks that are lost or started again when an agent
// is silently cut off from all others, in one or both directions, and returns.
func TestAgentCutOff(t *testing.T) {
	t.Parallel()
	tests := map[string]func(f *fixture){
		"both ways": func(f *fixture) { f.network.Partition("agent-1") },
		"inward":    func(f *fixture) { f.network.BlockInbound("agent-1") },
		"outward":   func(f *fixture) { f.network.BlockOutbound("agent-1") },
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			f := start(t, 6)
			l := f.startLoad(8, 50)
			cut(f)
			f.awaitDead(f.Agents[0])
			l.awaitMore(40)
			f.network.RestoreAll()
			f.must(f.AwaitReady(f.ctx, f.Agents[0]))
			before := len(f.startedAt(0))
			f.await("work at the returned agent", func() bool { return len(f.startedAt(0)) > before })
			l.stop(lostWork)
		})
	}
}

// TestControlCutOff guards against a control replica that, cut off silently in one
// or both directions, stops changes or work, or returns with an old configuration.
func TestControlCutOff(t *testing.T) {
	t.Parallel()
	tests := map[string]func(f *fixture, name string){
		"both ways": func(f *fixture, name string) { f.network.Partition(name) },
		"inward":    func(f *fixture, name string) { f.network.BlockInbound(name) },
		"outward":   func(f *fixture, name string) { f.network.BlockOutbound(name) },
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			f := start(t, 3)
			l := f.startLoad(4, 50)
			leader := f.leader()
			cut(f, leader.Name)
			f.away = append(f.away, leader)
			f.await("another leader", func() bool { return f.leader() != leader })
			for i := range 60 {
				f.putQuota(f.Operator(), "cut", 1000+i)
			}
			f.awaitLongCut(time.Now())
			l.awaitMore(16)
			f.network.RestoreAll()
			f.await("the replica to have the last change", func() bool {
				team, err := f.operatorOf(leader).Team(f.ctx, "cut")
				return err == nil && team.Quota == 1059
			})
			f.must(f.AwaitReady(f.ctx, append([]*localcluster.Process{leader}, f.Agents...)...))
			l.stop(noFailure)
		})
	}
}
