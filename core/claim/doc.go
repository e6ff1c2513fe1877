// Package claim records the owner of a job in write-once registers. Each register is
// replicated in the memory of a claim group of up to 3 agents.
//
// Each register is decided by single-decree Paxos with a fast first round: in round 0
// an acceptor accepts the first value that it receives, and a value is chosen when all
// members have accepted it. Otherwise classic rounds with majority quorums follow.
//
//	groups := claim.NewGroups(epoch)
//	proposer := claim.NewProposer(claim.Config{
//		Register: register,
//		Self:     self,
//		Group:    groups.Of(register.Key),
//		Value:    message.Claim{Owner: self, Digest: digest, Candidates: agents},
//		Rand:     random,
//	})
//	proposer.Start(now)
//	for _, env := range proposer.Outbox() {
//		link.Send(env)
//	}
//	proposer.Receive(now, from, reply)
//	if chosen, ok := proposer.Result(); ok && chosen.Owner == self {
//		// This entry owns the job.
//	}
//
// A message for an agent that has handed its registers over is still addressed to the
// agent's (id, incarnation). Only the network address that the link sends it to is that
// of the host.
package claim
