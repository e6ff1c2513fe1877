package consensus

import "testing"

// TestReadBatch guards against reads that load the leader one by one: leases of
// many nodes are renewed at a follower at the same time.
func TestReadBatch(t *testing.T) {
	s := newSim(t, 23, 3, true)
	leader := s.waitLeader()
	s.waitEqual()
	follower := s.procs[s.names[0]]
	if follower == leader {
		follower = s.procs[s.names[1]]
	}
	s.commit(leader, 1)
	for id := range ReadID(1000) {
		s.readFloor[id] = s.committed
		follower.replica.ReadIndex(s.now, id)
	}
	follower.replica.Ready()
	requests := 0
	for _, env := range follower.replica.Outbox() {
		if _, ok := env.Body.(ReadRequest); ok {
			requests++
			leader.replica.Receive(s.now, env)
		}
	}
	if requests != 1 {
		t.Fatalf("%d requests for reads made at once", requests)
	}
	round := leader.replica.leading.round
	s.until("all reads", 20*simStep, func() bool { return len(follower.reads) == 1000 })
	for id, result := range follower.reads {
		if !result.OK {
			t.Fatalf("read %d failed", id)
		}
	}
	if rounds := leader.replica.leading.round - round; rounds != 1 {
		t.Fatalf("%d quorum rounds for reads made at once", rounds)
	}
}
