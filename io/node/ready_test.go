package node

import "testing"

// TestStoppingIsNotReady guards against a balancer that goes on sending jobs to a
// process whose graceful stop has begun.
func TestStoppingIsNotReady(t *testing.T) {
	p := &Process{}
	if err := p.Ready(); err != nil {
		t.Fatalf("a process without roles: %v", err)
	}
	p.stopping.Store(true)
	if p.Ready() == nil {
		t.Error("ready while stopping")
	}
}
