package stream_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill/core/stream"
)

// packet is one message of the test's link.
type packet struct {
	first uint64
	items []int
}

// TestOrder guards against items that are lost, doubled or handled out of order
// when the link drops, repeats and reorders messages.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		var sender stream.Sender[int]
		var receiver stream.Receiver
		var link []packet
		var got []int
		pushed := 0
		deliver := func(i int) {
			got = append(got, stream.Accept(&receiver, link[i].first, link[i].items)...)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(40 * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				pushed++
				sender.Push(pushed)
			case 1:
				first, items := sender.Batch(now)
				link = append(link, packet{first: first, items: slices.Clone(items)})
			case 2:
				if len(link) > 0 {
					deliver(rapid.IntRange(0, len(link)-1).Draw(t, "packet"))
				}
			case 3:
				sender.Ack(now, receiver.Last())
			}
		}
		for sender.Pending() > 0 {
			now = now.Add(stream.ResendTimeout)
			first, items := sender.Batch(now)
			link = append(link, packet{first: first, items: items})
			deliver(len(link) - 1)
			sender.Ack(now, receiver.Last())
		}
		for i, item := range got {
			if item != i+1 {
				t.Fatalf("item %d is %d", i, item)
			}
		}
		if len(got) != pushed {
			t.Fatalf("%d of %d items arrived", len(got), pushed)
		}
	})
}
