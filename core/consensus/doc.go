// Package consensus is a replicated log with a leader: election with pre-vote,
// batched replication, snapshots, single-server membership changes, read index
// and leadership transfer.
//
// A Replica is a deterministic state machine. Its owner feeds it messages and
// ticks, carries out what Ready returns, and sends what Outbox returns:
//
//	replica.Receive(now, env)
//	for ready := replica.Ready(); !ready.Empty(); ready = replica.Ready() {
//		send(replica.Outbox()) // appends to followers overlap the local write
//		if err := folder.Save(ready); err != nil {
//			return err
//		}
//		replica.Persisted()
//		apply(ready.Restore, ready.Committed)
//	}
//	send(replica.Outbox())
//
// Messages that depend on a write appear in the outbox only after Persisted.
package consensus
