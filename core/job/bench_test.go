package job

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// benchNet answers a coordinator's messages at once, as agents with free slots
// would that finish each task immediately.
func benchNet(w *world, entry *worldEntry, byNode map[zinniasill.Node]*fakeAgent) {
	for {
		out := entry.Outbox()
		if len(out) == 0 {
			return
		}
		for _, env := range out {
			if offer, ok := env.Body.(message.Offer); ok {
				entry.Receive(w.now, message.Envelope{From: env.To, To: env.From, Body: benchResult(offer)})
			} else if batch, ok := env.Body.(message.ClaimBatch); ok {
				replies, _ := byNode[env.To].acceptor.HandleBatch(batch)
				entry.Receive(w.now, message.Envelope{From: env.To, To: env.From, Body: replies})
			} else if reply, ok := byNode[env.To].acceptor.Handle(env.Body); ok {
				entry.Receive(w.now, message.Envelope{From: env.To, To: env.From, Body: reply})
			}
		}
	}
}

func benchResult(offer message.Offer) message.OfferReply {
	reply := message.OfferReply{Key: offer.Key, Term: offer.Term, Load: message.Load{Slots: 10}}
	for _, t := range offer.Tasks {
		reply.Tasks = append(reply.Tasks, message.TaskStatus{
			Ref: t.Ref, State: message.TaskFinished, Outcome: &zinniasill.Outcome{OK: true},
		})
	}
	return reply
}

// BenchmarkJob includes the claim acceptors and the building of the answers of
// the stand-in agents.
func BenchmarkJob(b *testing.B) {
	cases := map[string]struct{ tasks, agents int }{
		"1-task":              {1, 10},
		"1-task-1400-agents":  {1, 1400},
		"530-tasks":           {530, 100},
		"530-tasks-1400-agts": {530, 1400},
	}
	for name, c := range cases {
		b.Run(name, func(b *testing.B) {
			w := newWorld(1, c.agents, 10, 1)
			entry := w.entries[0]
			sub := w.submission(entry, "a", "proof", c.tasks)
			byNode := map[zinniasill.Node]*fakeAgent{}
			for _, agent := range w.agents {
				byNode[agent.node] = agent
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				sub.Key.Client = fmt.Sprint(n)
				entry.Submit(w.now, RequestID(n), sub)
				benchNet(w, entry, byNode)
				if n%100 == 0 {
					w.now = w.now.Add(10 * time.Millisecond)
					entry.Tick(w.now)
				}
				for _, reply := range entry.Replies() {
					if !reply.Answer.Complete {
						b.Fatalf("answer %+v", reply.Answer)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*c.tasks), "ns/task")
		})
	}
}

// BenchmarkKept reports the heap that an entry keeps for each one-task job whose
// answer has been given and whose deadline has passed. The registers are kept by
// the agents and are not part of it.
func BenchmarkKept(b *testing.B) {
	const records = 50_000
	for b.Loop() {
		w := newWorld(1, 10, 10, 1)
		entry := w.entries[0]
		before := liveHeap()
		for i := range records {
			sub := w.submission(entry, fmt.Sprintf("%036d", i), "proof", 1)
			entry.Submit(w.now, RequestID(i), sub)
			acceptAll(w, entry)
			if i%1000 == 0 {
				w.now = w.now.Add(10 * time.Millisecond)
				entry.Tick(w.now)
			}
			for _, reply := range entry.Replies() {
				if !reply.Answer.Complete {
					b.Fatalf("answer %+v", reply.Answer)
				}
			}
		}
		w.now = w.now.Add(time.Minute)
		entry.Tick(w.now)
		b.ReportMetric(float64(liveHeap()-before)/records, "B/job")
		b.ReportMetric(float64(entry.RecordBytes())/records, "counted-B/job")
	}
}

// acceptAll answers claims without keeping a register, and offers with results.
func acceptAll(w *world, entry *worldEntry) {
	for out := entry.Outbox(); len(out) > 0; out = entry.Outbox() {
		for _, env := range out {
			var body any
			switch request := env.Body.(type) {
			case message.Offer:
				body = benchResult(request)
			case message.ClaimFast:
				body = message.ClaimReply{Register: request.Register, HasValue: true, OK: true, Value: request.Value}
			default:
				continue
			}
			entry.Receive(w.now, message.Envelope{From: env.To, To: env.From, Body: body})
		}
	}
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
