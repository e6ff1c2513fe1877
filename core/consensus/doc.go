// Package consensus implements the Raft algorithm for a replicated log: leader election
// with pre-vote, batched replication, snapshots, single-server membership changes, read
// index and leadership transfer.
//
// A Replica is a deterministic state machine without I/O. Its owner passes messages and
// ticks to it, performs the writes that Ready returns, applies the committed entries, and
// sends the messages that Outbox returns:
//
//	replica.Receive(now, env)
//	for ready := replica.Ready(); !ready.Empty(); ready = replica.Ready() {
//		send(replica.Outbox()) // replication overlaps the local write
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
