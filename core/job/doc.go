// Package job implements the state machine of jobs at an entry, both for the jobs that
// the entry owns and for those that it is attached to.
//
// A Coordinator claims the key of a submission, offers its tasks to agents, collects
// their results and sends one answer for the whole job. It reads no clock and opens no
// connection; its outputs are messages and replies:
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
// A submission starts by looking up the register of term 1 in every epoch of the
// retention window and claiming it in the current epoch, all in one round trip. The
// claim in the earliest epoch is the valid one. The owner offers the tasks to the
// candidates named in its claim. An entry that finds the job owned by another entry
// attaches to the owner, and takes the job over by claiming the next term when the
// owner is dead or unresponsive.
package job
