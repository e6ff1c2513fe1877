package claim

import (
	"zinniasill"
	"zinniasill/core/message"
)

// HandleBatch answers the requests of a batch. It returns false when none of them is
// a claim message.
func (a *Acceptor) HandleBatch(batch message.ClaimBatch) (message.ClaimReplies, bool) {
	var replies message.ClaimReplies
	for _, request := range batch.Requests {
		if reply, ok := a.Handle(request); ok {
			replies.Replies = append(replies.Replies, reply)
		}
	}
	return replies, len(replies.Replies) > 0
}

// Batch joins the claim messages to each agent into one message, in the place of
// the first of them. Other messages stay as they are.
func Batch(out []message.Envelope) []message.Envelope {
	first := map[zinniasill.Node]int{}
	joined := out[:0]
	for _, env := range out {
		if !isClaim(env.Body) {
			joined = append(joined, env)
			continue
		}
		at, ok := first[env.To]
		if !ok {
			first[env.To] = len(joined)
			joined = append(joined, env)
			continue
		}
		batch, ok := joined[at].Body.(message.ClaimBatch)
		if !ok {
			batch.Requests = append(batch.Requests, joined[at].Body)
		}
		batch.Requests = append(batch.Requests, env.Body)
		joined[at].Body = batch
	}
	return joined
}

func isClaim(body any) bool {
	switch body.(type) {
	case message.ClaimFast, message.ClaimPrepare, message.ClaimAccept, message.ClaimRead:
		return true
	default:
		return false
	}
}
