// Package claim binds the key of a job to its owner by write-once registers that
// claim groups of up to 3 agents hold in memory.
//
// Each register is decided by single-decree Paxos with a fast first round: in
// round 0 an acceptor accepts the first value it sees, and a value is chosen
// when all members accepted it. Otherwise classic rounds on a majority follow.
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
//		// The job is this entry's.
//	}
//
// A message for an agent that handed its registers over keeps the agent's
// (id, incarnation) as its receiver; only the address that the link sends it to
// is the host's.
package claim
