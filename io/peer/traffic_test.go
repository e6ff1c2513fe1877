package peer

import (
	"strings"
	"testing"

	"zinniasill"
	"zinniasill/core/message"
)

// TestTransportCountsBytes guards against bytes of a link that are not counted, or that
// are counted for the wrong direction.
func TestTransportCountsBytes(t *testing.T) {
	const size = 64 << 10
	book := &addressBook{}
	from, to := start(t, "a", book, nil), start(t, "b", book, nil)
	book.set("b", to.Address())
	large := message.Grant{Key: zinniasill.Key{Team: "t", Client: strings.Repeat("x", size)}}
	from.Send(message.Envelope{To: zinniasill.Node{ID: "b"}, Body: large})
	<-to.inbox
	// The first write is counted before the second one begins.
	from.Send(grant("b", 2))
	<-to.inbox
	sent, received := from.Stats(), to.Stats()
	if sent.SentBytes < size || received.ReceivedBytes < size {
		t.Errorf("sent %d and received %d bytes, want at least %d", sent.SentBytes, received.ReceivedBytes, size)
	}
	// The reverse direction carries the hello and pongs only.
	if received.SentBytes == 0 || received.SentBytes >= size || sent.ReceivedBytes >= size {
		t.Errorf("%d bytes sent and %d received in the reverse direction", received.SentBytes, sent.ReceivedBytes)
	}
}
