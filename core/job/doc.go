// Package job keeps jobs at the entry that owns them or is attached to them.
//
// A Coordinator claims the key of a submission, places its tasks on agents,
// collects their results and answers once for the whole job. It reads no clock
// and opens no connection; its outputs are messages and replies:
//
//	coordinator := job.New(job.Config{Self: self, Lease: lease, Picker: picker, Rand: random, Counters: counters})
//	coordinator.Submit(now, request, submission)
//	for _, env := range coordinator.Outbox() {
//		link.Send(env)
//	}
//	coordinator.Receive(now, envelope)
//	for _, reply := range coordinator.Replies() {
//		answer(reply.Request, reply.Answer)
//	}
//
// A job passes through these steps. The register of term 1 is looked up in every
// epoch of the retention window and claimed in the current one, all in one round
// trip; the claim of the earliest epoch counts. The owner offers the tasks to the
// candidates that its claim names. Another entry attaches to the owner, and takes
// the job over by claiming the next term when the owner is dead or silent.
package job
