package claim

import (
	"slices"

	"zinniasill/core/message"
)

// The encodings contain all state that a transition depends on, in a form that does not
// depend on the order of messages and votes. Node ids in the model have one byte.

// encodeValue returns the owner of a claim, which identifies the claim in the model.
func encodeValue(c message.Claim) []byte {
	if c.Owner.ID == "" {
		return []byte{0}
	}
	return []byte{c.Owner.ID[0]}
}

func encodeBallot(b message.Ballot) []byte {
	if b.Proposer == "" {
		return []byte{byte(b.Round), 0}
	}
	return []byte{byte(b.Round), b.Proposer[0]}
}

func encodeVote(b message.Ballot, c message.Claim) []byte {
	return append(encodeBallot(b), encodeValue(c)...)
}

func encodeRequest(env message.Envelope) []byte {
	out := []byte{env.From.ID[0], env.To.ID[0]}
	switch body := env.Body.(type) {
	case message.ClaimFast:
		out = append(out, 'f')
	case message.ClaimPrepare:
		out = append(out, 'p')
		out = append(out, encodeBallot(body.Ballot)...)
	case message.ClaimAccept:
		out = append(out, 'a')
		out = append(out, encodeVote(body.Ballot, body.Value)...)
	default:
		out = append(out, 'r')
	}
	return out
}

func encodeReply(r message.ClaimReply) []byte {
	out := append(encodeBallot(r.Ballot), flag(r.Prepare), flag(r.OK), flag(r.HasValue))
	out = append(out, encodeBallot(r.Promised)...)
	return append(out, encodeVote(r.Accepted, r.Value)...)
}

// flag encodes a bool.
func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// Key returns an encoding that identifies the state of the model.
func (m model) Key() []byte {
	out := make([]byte, 0, 256)
	for _, a := range m.acceptors {
		if a == nil {
			out = append(out, 'x')
			continue
		}
		state, _ := a.state(modelRegister)
		out = append(out, flag(state.HasValue))
		out = append(out, encodeBallot(state.Promised)...)
		out = append(out, encodeVote(state.Accepted, state.Value)...)
	}
	for _, p := range m.proposers {
		out = appendProposer(out, p)
	}
	out = append(out, byte(m.crashes), flag(m.chosenAtStart))
	out = appendSorted(out, slices.Clone(m.sentKeys))
	out = appendSorted(out, slices.Clone(m.votes))
	replies := make([]string, 0, len(m.delayed))
	for _, env := range m.delayed {
		reply := encodeReply(env.Body.(message.ClaimReply))
		replies = append(replies, string(env.From.ID+env.To.ID)+string(reply))
	}
	return appendSorted(out, replies)
}

// appendProposer appends the encoding of a proposer's state.
func appendProposer(out []byte, p *Proposer) []byte {
	// A finished proposer ignores all replies, so only its result matters.
	if p.phase == phaseDone {
		return append(append(out, '!', byte(p.status)), encodeValue(p.result)...)
	}
	out = append(out, byte(p.phase), byte(p.highestRound), byte(p.rounds))
	out = append(out, encodeVote(p.ballot, p.value)...)
	votes := make([]string, 0, len(p.votes))
	for _, v := range p.votes {
		votes = append(votes, string(append([]byte{byte(v.member)}, encodeVote(v.ballot, v.value)...)))
	}
	out = appendSorted(out, votes)
	for i := range p.replied {
		out = append(out, flag(p.replied[i]), flag(p.full[i]))
		if p.phase == phasePreparing && p.promises[i] != nil {
			out = append(out, encodeReply(*p.promises[i])...)
		}
	}
	return out
}

// appendSorted appends parts independent of their order.
func appendSorted(out []byte, parts []string) []byte {
	slices.Sort(parts)
	out = append(out, byte(len(parts)))
	for _, part := range parts {
		out = append(out, byte(len(part)))
		out = append(out, part...)
	}
	return out
}
