package peer

import (
	"bytes"
	"testing"

	"zinniasill"
	"zinniasill/core/message"
)

// oneTaskJob returns the envelopes sent for a job of one task, without retransmissions.
func oneTaskJob() []message.Envelope {
	entry := zinniasill.Node{ID: "entry-1", Incarnation: 0xa1b2c3d4e5f60718}
	key := zinniasill.Key{Team: "load", Client: "c3kq1s-123456"}
	register := message.Register{Key: key, Term: 1, Epoch: 12}
	var agents []zinniasill.Node
	for _, id := range []zinniasill.NodeID{"agent-1", "agent-2", "agent-3"} {
		agents = append(agents, zinniasill.Node{ID: id, Incarnation: 0xc1b2c3d4e5f60719})
	}
	claim := message.Claim{Owner: entry, Digest: zinniasill.Digest{1}, Candidates: agents, Sequence: 123456}
	load := message.Load{Slots: 32, Busy: 7, RunningWork: 350_000_000, Succeeded: 41234}
	refs := []message.TaskRef{{Attempt: 1}}
	finished := message.TaskStatus{
		Ref: refs[0], State: message.TaskFinished, Took: 51_234_567,
		Outcome: &zinniasill.Outcome{OK: true, Output: make([]byte, 32), Ran: zinniasill.DidRun},
	}
	var sent []message.Envelope
	add := func(from, to zinniasill.Node, body any) {
		sent = append(sent, message.Envelope{
			Version: message.Version, Cluster: "0123456789abcdef0123456789abcdef", From: from, To: to, Body: body,
		})
	}
	for _, agent := range agents {
		add(entry, agent, message.ClaimBatch{Requests: []any{message.ClaimFast{Register: register, Value: claim}}})
		add(agent, entry, message.ClaimReplies{Replies: []message.ClaimReply{
			{Register: register, OK: true, HasValue: true, Value: claim},
		}})
	}
	add(entry, agents[0], message.Offer{
		Key: key, Term: 1, Epoch: 12, Profile: "load", Kind: "stub", ExpectedRunTime: 50_000_000,
		Tasks: []message.TaskOffer{{Ref: refs[0], Payload: make([]byte, 48)}},
	})
	running := []message.TaskStatus{{Ref: refs[0], State: message.TaskRunning}}
	add(agents[0], entry, message.OfferReply{Key: key, Term: 1, Tasks: running, Load: load})
	add(agents[0], entry, message.Result{Key: key, Term: 1, Tasks: []message.TaskStatus{finished}, Load: load})
	add(entry, agents[0], message.ResultAck{Key: key, Term: 1, Tasks: refs})
	return sent
}

// link identifies the link from one node to another.
type link struct{ from, to zinniasill.NodeID }

// BenchmarkOneTaskJob measures encoding and decoding of the messages of a job of one
// task, on links that have already carried such a job.
func BenchmarkOneTaskJob(b *testing.B) {
	codec := newCodec(b)
	sent := oneTaskJob()
	encoders, decoders := map[link]*encoder{}, map[link]*decoder{}
	for _, env := range sent {
		direction := link{env.From.ID, env.To.ID}
		encoders[direction], decoders[direction] = &encoder{codec: codec}, &decoder{codec: codec}
	}
	var buf bytes.Buffer
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		size = 0
		for _, env := range sent {
			direction := link{env.From.ID, env.To.ID}
			buf.Reset()
			if err := encoders[direction].encode(&buf, env); err != nil {
				b.Fatal(err)
			}
			encoders[direction].commit()
			size += buf.Len()
			if _, _, err := decoders[direction].decode(buf.Bytes()); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(size), "B/job")
}
