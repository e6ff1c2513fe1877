package agent_test

import (
	"strconv"
	"testing"

	"zinniasill"
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
