package message

import "zinniasill"

const (
	// bundleBytes limits the estimated size of a bundle. Larger messages are sent alone,
	// so that bundling never delays claim messages.
	bundleBytes = 16 << 10
	// partBytes is the estimated size of a message or task status, excluding its payload
	// and output.
	partBytes = 128
)

// Bundle carries several messages to one process, which handles them in order.
type Bundle struct {
	Bodies []any `cbor:"1,keyasint"`
}

// Join combines the small messages to each process into bundles. A bundle takes the
// place of its first message. Large messages, and messages that concern neither claims
// nor tasks, are left as they are. All messages must have the same sender.
func Join(out []Envelope) []Envelope {
	if len(out) < 2 {
		return out
	}
	type openBundle struct{ at, bytes int }
	bundles := make(map[zinniasill.Node]openBundle, len(out))
	joined := out[:0]
	for _, env := range out {
		bytes, ok := estimate(env.Body)
		last, found := bundles[env.To]
		if !ok || bytes > bundleBytes {
			joined = append(joined, env)
			continue
		}
		if !found || last.bytes+bytes > bundleBytes {
			bundles[env.To] = openBundle{at: len(joined), bytes: bytes}
			joined = append(joined, env)
			continue
		}
		bundle, ok := joined[last.at].Body.(Bundle)
		if !ok {
			bundle.Bodies = append(bundle.Bodies, joined[last.at].Body)
		}
		bundle.Bodies = append(bundle.Bodies, env.Body)
		joined[last.at].Body = bundle
		bundles[env.To] = openBundle{at: last.at, bytes: last.bytes + bytes}
	}
	clear(out[len(joined):])
	return joined
}

// Split undoes Join.
func Split(out []Envelope) []Envelope {
	parts := make([]Envelope, 0, len(out))
	for _, env := range out {
		bundle, ok := env.Body.(Bundle)
		if !ok {
			parts = append(parts, env)
			continue
		}
		for _, body := range bundle.Bodies {
			env.Body = body
			parts = append(parts, env)
		}
	}
	return parts
}

// estimate returns the approximate size of a message in bytes, and whether the message
// can be part of a bundle.
func estimate(body any) (int, bool) {
	switch m := body.(type) {
	case ClaimFast, ClaimPrepare, ClaimAccept, ClaimRead, ClaimReply:
		return partBytes, true
	case ClaimBatch:
		return len(m.Requests) * partBytes, true
	case ClaimReplies:
		return len(m.Replies) * partBytes, true
	case LoadReport, Fetch, Grant, Withdraw, Fence, ResultAck:
		return partBytes, true
	case Offer:
		bytes := partBytes
		for _, task := range m.Tasks {
			bytes += len(task.Payload) + partBytes
		}
		return bytes, true
	case OfferReply:
		return statusBytes(m.Tasks), true
	case WithdrawReply:
		return statusBytes(m.Tasks), true
	case FenceReply:
		return statusBytes(m.Tasks), true
	case Result:
		return statusBytes(m.Tasks), true
	default:
		return 0, false
	}
}

func statusBytes(statuses []TaskStatus) int {
	bytes := partBytes
	for _, status := range statuses {
		bytes += partBytes
		if status.Outcome != nil {
			bytes += len(status.Outcome.Output) + len(status.Outcome.Error)
		}
	}
	return bytes
}
