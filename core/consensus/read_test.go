package consensus

import "testing"

// TestReadBatch guards against a request and a heartbeat round for each single read. The
// leases of many nodes are renewed at a follower at the same time, and each renewal is a
// read.
func TestReadBatch(t *testing.T) {
	c := newTestCluster(t, 23, 3, true)
	leader := c.waitLeader()
	c.waitAllApplied()
	follower := c.procs[c.names[0]]
	if follower == leader {
		follower = c.procs[c.names[1]]
	}
	c.commit(leader, 1)
	for id := range ReadID(1000) {
		c.minReadIndex[id] = c.committed
		follower.replica.ReadIndex(c.now, id)
	}
	follower.replica.Ready()
	requests := 0
	for _, env := range follower.replica.Outbox() {
		if _, ok := env.Body.(ReadRequest); ok {
			requests++
			leader.replica.Receive(c.now, env)
		}
	}
	if requests != 1 {
		t.Fatalf("%d requests for a batch of reads, want 1", requests)
	}
	round := leader.replica.leading.round
	c.runUntil("all reads", 20*tickInterval, func() bool { return len(follower.reads) == 1000 })
	for id, result := range follower.reads {
		if !result.OK {
			t.Fatalf("read %d failed", id)
		}
	}
	if rounds := leader.replica.leading.round - round; rounds != 1 {
		t.Fatalf("%d heartbeat rounds for a batch of reads, want 1", rounds)
	}
}
