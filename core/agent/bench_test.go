package agent_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/message"
)

// BenchmarkTask is the life of a one-task job from its offer to the acknowledged
// result, with a free slot.
func BenchmarkTask(b *testing.B) {
	f := newFixture(1, nil)
	output := []byte("output")
	b.ReportAllocs()
	for i := range b.N {
		client := strconv.Itoa(i)
		f.receive(owner, offer(client, 1, ref(0, 1)))
		f.finish(f.runs[0], zinniasill.Outcome{OK: true, Output: output})
		f.receive(owner, message.ResultAck{Key: key(client), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}})
		f.runs, f.out = f.runs[:0], f.out[:0]
	}
}

// BenchmarkKept reports the heap that an agent keeps for each one-task start whose
// result is acknowledged, with its part of the claims: three registers with a claim
// and, for each earlier epoch of the window, three with a tombstone. Outputs are
// empty, since they have a budget of their own.
func BenchmarkKept(b *testing.B) {
	const records = 50_000
	for _, epochs := range []int{1, 3, 16} {
		b.Run(strconv.Itoa(epochs)+"-epochs", func(b *testing.B) {
			for b.Loop() {
				f := newFixture(1, func(cfg *agent.Config) { cfg.RecordLimit = 1 << 30 })
				before := liveHeap()
				for i := range records {
					keepStart(f, i, epochs)
				}
				f.tick(time.Second)
				b.ReportMetric(float64(liveHeap()-before)/records, "B/start")
				b.ReportMetric(float64(f.agent.RecordBytes())/records, "counted-B/start")
			}
		})
	}
}

func keepStart(f *fixture, i, epochs int) {
	client := uuid("a", i)
	f.receive(owner, offer(client, 1, ref(0, 1)))
	f.finish(f.runs[0], zinniasill.Outcome{OK: true})
	f.receive(owner, message.ResultAck{Key: key(client), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}})
	for _, other := range []string{"b", "c", "d"} {
		value := message.Claim{
			Owner: owner, Digest: zinniasill.Digest{byte(i)}, Sequence: uint64(i),
			Candidates: []zinniasill.Node{{ID: zinniasill.NodeID("agent-" + strconv.Itoa(i%1400)), Incarnation: 1}, self, spare},
		}
		for epoch := range epochs {
			register := message.Register{Key: key(uuid(other, i)), Term: 1, Epoch: zinniasill.Epoch(5 + epoch)}
			f.receive(owner, message.ClaimFast{Register: register, Value: value})
			value = message.Claim{Owner: owner, Tombstone: true}
		}
	}
	f.runs, f.out = f.runs[:0], f.out[:0]
}

// spare is the last candidate of the claims.
var spare = zinniasill.Node{ID: "agent-9", Incarnation: 9}

// uuid returns a client key as long as a UUID.
func uuid(kind string, i int) string { return fmt.Sprintf("%s%035d", kind, i) }

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
