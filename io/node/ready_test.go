package node

import "testing"

// TestStoppingIsNotReady guards against a process that reports itself ready during its
// graceful stop, so that a load balancer keeps sending jobs to it.
func TestStoppingIsNotReady(t *testing.T) {
	p := &Process{}
	if err := p.Ready(); err != nil {
		t.Fatalf("process without roles is not ready: %v", err)
	}
	p.stopping.Store(true)
	if p.Ready() == nil {
		t.Error("process is ready while stopping")
	}
}
