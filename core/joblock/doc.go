// Package joblock keeps two entries from working on the same job at the same time.
//
// A caller whose connection breaks may send its job again at once, through another entry,
// before the first one has noticed. Each job id has a home entry, chosen by rendezvous
// hashing, that grants the lock of the job to one entry after another. An entry holds the
// lock until all tasks of the job have ended.
//
// An entry tells each home all locks that it wants there, so that lost messages do no harm.
// A lock whose holder is no longer heard expires once all leases of its tasks have ended. If
// a home does not answer, the next in the ranking takes its place. Locks are kept in memory
// only. A home that has just started grants none until the other entries have told it which are
// held. After a home has ended or changed, the next one does not know those that are held until
// their holders have told of them, within some hundred milliseconds. A holder
// that can no longer reach the home, while others can, goes on with its lock. Without any home
// that answers, jobs begin at once. An entry that was paused must end its jobs, since its
// locks have expired. It is a state machine without I/O:
//
//	locks := joblock.New(joblock.Config{Self: node})
//	locks.SetEntries(entries)
//	locks.Acquire(now, id)
//	for _, event := range locks.Events() { ... }
package joblock
