package proctest_test

import (
	"testing"
	"time"

	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
)

// TestDomainOutAndBack guards against starts in a domain later than the bound after
// it was taken out, against jobs that fail because of the move, and against a
// domain that gets no work after its return.
func TestDomainOutAndBack(t *testing.T) {
	f := start(t, 6)
	l := f.startLoad(10, 50)
	f.setDomain(f.Domain(0), catalog.DomainOutOfService)
	out := time.Now()
	f.awaitBound(out)
	l.awaitMore(20)
	back := time.Now()
	f.setDomain(f.Domain(0), catalog.DomainInService)
	if late := f.lateStarts(out, back, 0, 3); len(late) > 0 {
		t.Errorf("%d late starts in the domain, the first %v", len(late), late[0])
	}
	f.await("work in the returned domain", func() bool {
		history := f.Stubs[0].History()
		return len(history) > 0 && history[len(history)-1].At.After(back)
	})
	l.stop(noFailure)
}

// TestDomainKilled guards against a cluster that a whole lost failure domain stops,
// or that starts work of the lost domain again.
func TestDomainKilled(t *testing.T) {
	f := start(t, 6)
	l := f.startLoad(10, 50)
	lost := []*localcluster.Process{f.Controls[0], f.Entries[0], f.Agents[0], f.Agents[3]}
	for _, p := range lost {
		p.Kill()
	}
	f.awaitDead(f.Agents[0])
	f.awaitDead(f.Agents[3])
	l.awaitMore(40)
	for _, p := range lost {
		f.must(p.Start())
	}
	f.must(f.AwaitReady(f.ctx, lost...))
	f.awaitEpoch()
	l.awaitMore(20)
	l.stop(lostWork)
}
