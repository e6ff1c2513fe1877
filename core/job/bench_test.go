package job

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// deliverBench replies to the messages of a coordinator at once, like agents with free
// slots that finish each task immediately.
func deliverBench(s *simulation, entry *simEntry, byNode map[zinniasill.Node]*fakeAgent) {
	for {
		out := entry.Outbox()
		if len(out) == 0 {
			return
		}
		for _, env := range out {
			if offer, ok := env.Body.(message.Offer); ok {
				entry.Receive(s.now, message.Envelope{From: env.To, To: env.From, Body: benchResult(offer)})
			} else if batch, ok := env.Body.(message.ClaimBatch); ok {
				replies, _ := byNode[env.To].acceptor.HandleBatch(batch)
				entry.Receive(s.now, message.Envelope{From: env.To, To: env.From, Body: replies})
			} else if reply, ok := byNode[env.To].acceptor.Handle(env.Body); ok {
				entry.Receive(s.now, message.Envelope{From: env.To, To: env.From, Body: reply})
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

// BenchmarkJob measures the time for each task, including the claim acceptors and the
// replies of the stub agents.
func BenchmarkJob(b *testing.B) {
	cases := map[string]struct{ tasks, agents int }{
		"1-task":              {1, 10},
		"1-task-1400-agents":  {1, 1400},
		"530-tasks":           {530, 100},
		"530-tasks-1400-agts": {530, 1400},
	}
	for name, c := range cases {
		b.Run(name, func(b *testing.B) {
			s := newSimulation(1, c.agents, 10, 1)
			entry := s.entries[0]
			sub := s.submission(entry, "a", "proof", c.tasks)
			byNode := map[zinniasill.Node]*fakeAgent{}
			for _, agent := range s.agents {
				byNode[agent.node] = agent
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				sub.Key.Client = fmt.Sprint(n)
				entry.Submit(s.now, RequestID(n), sub)
				deliverBench(s, entry, byNode)
				if n%100 == 0 {
					s.now = s.now.Add(10 * time.Millisecond)
					entry.Tick(s.now)
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

// BenchmarkArchivedJobs reports the heap that an entry retains for each one-task job that
// is answered and whose deadline has passed. The registers are not included, since the
// agents hold them.
func BenchmarkArchivedJobs(b *testing.B) {
	const records = 50_000
	for b.Loop() {
		s := newSimulation(1, 10, 10, 1)
		entry := s.entries[0]
		before := liveHeap()
		for i := range records {
			sub := s.submission(entry, fmt.Sprintf("%036d", i), "proof", 1)
			entry.Submit(s.now, RequestID(i), sub)
			acceptOffersAndClaims(s, entry)
			if i%1000 == 0 {
				s.now = s.now.Add(10 * time.Millisecond)
				entry.Tick(s.now)
			}
			for _, reply := range entry.Replies() {
				if !reply.Answer.Complete {
					b.Fatalf("answer %+v", reply.Answer)
				}
			}
		}
		s.now = s.now.Add(time.Minute)
		entry.Tick(s.now)
		b.ReportMetric(float64(liveHeap()-before)/records, "B/job")
		b.ReportMetric(float64(entry.RecordBytes())/records, "counted-B/job")
	}
}

// acceptOffersAndClaims accepts claims without storing a register, and replies to offers
// with results.
func acceptOffersAndClaims(s *simulation, entry *simEntry) {
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
			entry.Receive(s.now, message.Envelope{From: env.To, To: env.From, Body: body})
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
