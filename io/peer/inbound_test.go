package peer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/core/message"
)

// stranger opens a connection that is closed at the end of the test.
func stranger(t *testing.T, address string) net.Conn {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	return raw
}

// openRawLink opens a link to a node without the code of this package and returns its
// connection after the handshake.
func openRawLink(t *testing.T, to *testNode, id zinniasill.NodeID) net.Conn {
	t.Helper()
	raw := stranger(t, to.Address())
	client := drpcconn.New(raw)
	t.Cleanup(func() { _ = client.Close() })
	stream, err := client.NewStream(context.Background(), streamMethod, nil)
	if err != nil {
		t.Fatal(err)
	}
	codec, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	content := hello{Version: message.Version, From: zinniasill.Node{ID: "stranger"}, To: id}
	link, ok := stream.(*drpcstream.Stream)
	if !ok {
		t.Fatalf("stream of type %T", stream)
	}
	if err := link.RawWrite(drpcwire.KindMessage, rawFrame(t, codec, &frame{kind: frameHello, hello: content})); err != nil {
		t.Fatal(err)
	}
	if err := link.RawFlush(); err != nil {
		t.Fatal(err)
	}
	if _, err := link.RawRecv(); err != nil {
		t.Fatal(err)
	}
	return raw
}

// sendPart sends the first part bytes of a drpc frame of 8 MiB.
func sendPart(raw net.Conn, part int) {
	// Kind message with the done bit, stream 1, message 99, the length as a varint.
	header := []byte{0x05, 0x01, 0x63, 0x80, 0x80, 0x80, 0x04}
	_, _ = raw.Write(append(header, make([]byte, part)...))
}

// waitFor waits until check succeeds.
func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(time.Minute)
	for !check() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// largeGrant returns an envelope of more than size bytes.
func largeGrant(to zinniasill.NodeID, size int) message.Envelope {
	return message.Envelope{
		To:   zinniasill.Node{ID: to},
		Body: message.Grant{Key: zinniasill.Key{Team: "t", Client: strings.Repeat("c", size)}},
	}
}

// TestSilentStrangersAreGivenUp guards against strangers that send no hello and keep the
// peers out, or that take all descriptors.
func TestSilentStrangersAreGivenUp(t *testing.T) {
	const pending, strangers = 4, 40
	book := &addressBook{}
	b := start(t, "b", book, func(cfg *Config) { cfg.MaxPending = pending })
	book.set("b", b.Address())
	for range strangers {
		stranger(t, b.Address())
	}
	a := start(t, "a", book, nil)
	sendUntil(t, a, b, "b", 1)
	if got := b.inbound.open(); got > pending+1 {
		t.Errorf("%d accepted connections are open, want at most %d", got, pending+1)
	}
	if got := b.counts.WaitReason("peer_refused_total"); got != string(reasonTooMany) {
		t.Errorf("refused as %q", got)
	}
}

// TestInboundLimit guards against strangers that complete their hello and take all
// descriptors.
func TestInboundLimit(t *testing.T) {
	const limit, strangers = 3, 12
	book := &addressBook{}
	b := start(t, "b", book, func(cfg *Config) { cfg.MaxInbound = limit })
	book.set("b", b.Address())
	for range strangers {
		openRawLink(t, b, "b")
	}
	a := start(t, "a", book, nil)
	sendUntil(t, a, b, "b", 1)
	if got := b.inbound.open(); got > limit {
		t.Errorf("%d accepted connections are open, want at most %d", got, limit)
	}
}

// TestIncompleteMessagesAreCharged guards against messages that strangers never complete and
// that use memory without limit, and against bytes that are not returned.
func TestIncompleteMessagesAreCharged(t *testing.T) {
	const part = 1 << 20
	shared := budget.New(budget.Config{Limit: 64 << 20})
	b := start(t, "b", &addressBook{}, func(cfg *Config) { cfg.Budget = shared })
	raw := openRawLink(t, b, "b")
	sendPart(raw, part)
	waitFor(t, "the part to be charged", func() bool { return shared.Used(budget.Peers) >= part-unchargedBytes })
	_ = raw.Close()
	waitFor(t, "the charge to be returned", func() bool { return shared.Used(budget.Peers) == 0 })
}

// TestDeliveredMessagesAreReturned guards against links that lose a part of the budget with
// each message until they receive no more.
func TestDeliveredMessagesAreReturned(t *testing.T) {
	const size, rounds = 1 << 20, 20
	shared := budget.New(budget.Config{Limit: 8 << 20})
	book := &addressBook{}
	b := start(t, "b", book, func(cfg *Config) { cfg.Budget = shared })
	book.set("b", b.Address())
	a := start(t, "a", book, nil)
	for range rounds {
		a.Send(largeGrant("b", size))
		<-b.inbox
	}
	waitFor(t, "the charges to be returned", func() bool { return shared.Used(budget.Peers) == linkBytes })
}

// TestCallersDoNotStarvePeers guards against callers that hold the whole budget and keep
// messages between processes from being received.
func TestCallersDoNotStarvePeers(t *testing.T) {
	const size = 1 << 20
	shared := budget.New(budget.Config{Limit: 16 << 20, LargestRequest: 16 << 20})
	held, err := shared.Open(time.Now(), budget.Request{Class: budget.Callers, Client: "x"})
	if err != nil {
		t.Fatal(err)
	}
	for grant := int64(1 << 20); grant > 0; {
		if held.Grow(time.Now(), grant) != nil {
			grant /= 2
		}
	}
	book := &addressBook{}
	b := start(t, "b", book, func(cfg *Config) { cfg.Budget = shared })
	book.set("b", b.Address())
	a := start(t, "a", book, nil)
	a.Send(largeGrant("b", size))
	<-b.inbox
}

// TestLinkWaitsForMemory guards against a link that is closed, and loses its messages, because
// another one holds the memory of its class for a moment.
func TestLinkWaitsForMemory(t *testing.T) {
	const part = 3 << 20
	shared := budget.New(budget.Config{Limit: 8 << 20})
	book := &addressBook{}
	b := start(t, "b", book, func(cfg *Config) { cfg.Budget = shared })
	book.set("b", b.Address())
	raw := openRawLink(t, b, "b")
	sendPart(raw, part)
	waitFor(t, "the part to be charged", func() bool { return shared.Used(budget.Peers) >= part-unchargedBytes })
	a := start(t, "a", book, nil)
	a.Send(largeGrant("b", part))
	waitFor(t, "the link to be refused memory", func() bool { return b.inbound.refused() })
	_ = raw.Close()
	<-b.inbox
}

// TestStrangersWithoutMemory guards against connections without a hello that are accepted
// although the memory of the peers is exhausted.
func TestStrangersWithoutMemory(t *testing.T) {
	shared := budget.New(budget.Config{Limit: 8 << 20})
	peers, err := shared.Open(time.Now(), budget.Request{Class: budget.Peers, Client: "x", Size: 4<<20 - linkBytes})
	if err != nil {
		t.Fatal(err)
	}
	b := start(t, "b", &addressBook{}, func(cfg *Config) { cfg.Budget = shared })
	sendPart(stranger(t, b.Address()), maxHelloBytes/2)
	if got := b.counts.WaitReason("peer_refused_total"); got != string(reasonMemory) {
		t.Errorf("refused as %q", got)
	}
	peers.Close()
}

// open returns the number of accepted connections.
func (s *inboundSet) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending.Len() + s.established.Len()
}

// refused reports whether a link waits for memory that it was refused.
func (s *inboundSet) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for element := s.established.Front(); element != nil; element = element.Next() {
		if c, ok := element.Value.(*conn); ok && c.account.isShort() {
			return true
		}
	}
	return false
}

// isShort reports whether more bytes were received than granted.
func (l *linkAccount) isShort() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incomplete-unchargedBytes > l.granted
}
