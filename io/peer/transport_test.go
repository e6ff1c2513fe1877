package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/internal/countertest"
	"zinniasill/io/daemon"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testNode is a transport with its counters and the envelopes that it has received.
type testNode struct {
	*Transport
	counts *countertest.Counters
	inbox  chan message.Envelope
}

// addressBook is the resolver shared by all transports of one test.
type addressBook struct {
	mu   sync.Mutex
	byID map[zinniasill.NodeID]string
}

func (a *addressBook) set(id zinniasill.NodeID, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = map[zinniasill.NodeID]string{}
	}
	a.byID[id] = address
}

func (a *addressBook) lookup(id zinniasill.NodeID) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	address, ok := a.byID[id]
	return address, ok
}

// start runs a transport until the end of the test. Its counters and its inbox are those
// of the returned node; edit may change the configuration.
func start(t testing.TB, id zinniasill.NodeID, book *addressBook, edit func(*Config)) *testNode {
	t.Helper()
	p := &testNode{counts: countertest.New(), inbox: make(chan message.Envelope, 1<<16)}
	cfg := Config{
		Self:                func() zinniasill.Node { return zinniasill.Node{ID: id, Incarnation: 1} },
		Listen:              "127.0.0.1:0",
		Resolve:             book.lookup,
		Deliver:             func(env message.Envelope) { p.inbox <- env },
		Clock:               daemon.SystemClock{},
		Counters:            p.counts,
		Seed:                20261204,
		UnresponsiveTimeout: time.Minute,
	}
	if edit != nil {
		edit(&cfg)
	}
	transport, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p.Transport = transport
	ctx, cancel := context.WithCancel(context.Background())
	ended := transport.Start(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p
}

// shortTimeouts makes a transport replace unresponsive links quickly. Tests that use it
// must resend until an envelope arrives, because on a busy machine a working link can
// exceed the timeout.
func shortTimeouts(cfg *Config) {
	cfg.PingInterval = 20 * time.Millisecond
	cfg.UnresponsiveTimeout = 200 * time.Millisecond
}

// grant returns an envelope to a node, with a body that n identifies.
func grant(to zinniasill.NodeID, n int) message.Envelope {
	return message.Envelope{
		To:   zinniasill.Node{ID: to},
		Body: message.Grant{Key: zinniasill.Key{Team: "t", Client: fmt.Sprint(n)}},
	}
}

// sendUntil resends an envelope with number n every few milliseconds until it arrives, as
// the protocols do.
func sendUntil(t *testing.T, from, to *testNode, id zinniasill.NodeID, n int) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			from.Send(grant(id, n))
		case env := <-to.inbox:
			if body, ok := env.Body.(message.Grant); ok && body.Key.Client == fmt.Sprint(n) {
				return
			}
		}
	}
}

// Guards against envelopes that arrive modified or without their sender, and against
// envelopes that are not delivered to a node whose address is only in its hello.
func TestTransportBothWays(t *testing.T) {
	book := &addressBook{}
	a := start(t, "a", book, nil)
	b := start(t, "b", book, nil)
	book.set("b", b.Address())
	a.Send(grant("b", 1))
	got := <-b.inbox
	if got.From != (zinniasill.Node{ID: "a", Incarnation: 1}) || got.Version != message.Version {
		t.Fatalf("got %+v", got)
	}
	b.Send(grant("a", 2))
	if got := <-a.inbox; got.Body.(message.Grant).Key.Client != "2" {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a link that stays in use after the network has started to drop its
// traffic in one or both directions without closing the connection.
func TestTransportReplacesSilentLink(t *testing.T) {
	tests := map[string]struct{ toServer, toClient bool }{
		"both directions":    {true, true},
		"opener to acceptor": {true, false},
		"acceptor to opener": {false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			book := &addressBook{}
			a := start(t, "a", book, shortTimeouts)
			b := start(t, "b", book, shortTimeouts)
			proxy := newProxy(t, b.Address())
			book.set("b", proxy.address())
			sendUntil(t, a, b, "b", 1)
			proxy.forEach(func(link *proxyLink) {
				link.dropToServer.Store(test.toServer)
				link.dropToClient.Store(test.toClient)
			})
			// Either side may close the link first, so the test waits for the end of the
			// link and not for the peer_closed_total counter of one side.
			a.counts.WaitForMore("peer_links_ended_total/", 0)
			sendUntil(t, a, b, "b", 2)
		})
	}
}

// Guards against a peer that stops reading and thereby blocks the sender or the traffic
// to other peers.
func TestTransportReplacesStalledLink(t *testing.T) {
	book := &addressBook{}
	a := start(t, "a", book, shortTimeouts)
	b := start(t, "b", book, shortTimeouts)
	c := start(t, "c", book, nil)
	proxy := newProxy(t, b.Address())
	book.set("b", proxy.address())
	book.set("c", c.Address())
	sendUntil(t, a, b, "b", 1)
	proxy.forEach(func(link *proxyLink) { link.stalled.Store(true) })
	load := message.Offer{Tasks: []message.TaskOffer{{Payload: make([]byte, 4<<20)}}}
	for range 16 {
		a.Send(message.Envelope{To: zinniasill.Node{ID: "b"}, Body: load})
	}
	sendUntil(t, a, c, "c", 2)
	a.counts.WaitForMore("peer_links_ended_total/", 0)
	sendUntil(t, a, b, "b", 3)
}

// Guards against a sender that does not reconnect after its peer has restarted at
// another address.
func TestTransportReconnectsAfterRestart(t *testing.T) {
	book := &addressBook{}
	a := start(t, "a", book, nil)
	t.Run("first incarnation", func(t *testing.T) {
		b := start(t, "b", book, nil)
		book.set("b", b.Address())
		sendUntil(t, a, b, "b", 1)
	})
	b := start(t, "b", book, nil)
	book.set("b", b.Address())
	sendUntil(t, a, b, "b", 2)
}

// Guards against an unreachable peer that makes Send block or the queue grow without
// bound, and against dropped envelopes that are not counted.
func TestTransportDropsAndCounts(t *testing.T) {
	book := &addressBook{}
	// The timeout is never reached, so that the queue is not emptied and the count does
	// not depend on how fast the test sends.
	noTimeout := start(t, "no-timeout", book, func(cfg *Config) { cfg.UnreachableTimeout = time.Hour })
	for n := range queueSize + 100 {
		noTimeout.Send(grant("nowhere", n))
	}
	if got := noTimeout.counts.Get("peer_dropped_total/queue-full"); got != 100 {
		t.Errorf("%d envelopes dropped because of a full queue, want 100", got)
	}
	a := start(t, "a", book, func(cfg *Config) { cfg.UnreachableTimeout = 50 * time.Millisecond })
	a.Send(grant("nowhere", 1))
	a.counts.WaitForMore("peer_dropped_total/unreachable", 0)
	a.Send(message.Envelope{To: zinniasill.Node{ID: "b"}, Body: "text"})
	a.counts.WaitForMore("peer_dropped_total/unregistered", 0)
	b := start(t, "b", book, func(cfg *Config) {
		cfg.Cluster = func() zinniasill.ClusterID { return "other" }
	})
	book.set("b", b.Address())
	foreign := grant("b", 1)
	foreign.Cluster = "mine"
	a.Send(foreign)
	b.counts.WaitForMore("peer_dropped_total/foreign-cluster", 0)
	big := message.Offer{Tasks: []message.TaskOffer{{Payload: make([]byte, MaxFrameSize)}}}
	a.Send(message.Envelope{To: zinniasill.Node{ID: "b"}, Body: big})
	a.counts.WaitForMore("peer_dropped_total/oversized", 0)
}

// Guards against large messages that are truncated or close the link.
func TestTransportCarriesLargeEnvelopes(t *testing.T) {
	book := &addressBook{}
	a := start(t, "a", book, nil)
	b := start(t, "b", book, nil)
	book.set("b", b.Address())
	sizes := []int{1, MaxFrameSize - 1024, 100, 9 << 20, 9 << 20}
	for _, size := range sizes {
		body := message.Offer{Tasks: []message.TaskOffer{{Payload: make([]byte, size)}}}
		a.Send(message.Envelope{To: zinniasill.Node{ID: "b"}, Body: body})
	}
	for _, size := range sizes {
		env := <-b.inbox
		if got := len(env.Body.(message.Offer).Tasks[0].Payload); got != size {
			t.Fatalf("got a payload of %d bytes, want %d", got, size)
		}
	}
}

// Guards against connections from other programs that crash the listener, stay open or
// are not counted.
func TestTransportRefusesStrangers(t *testing.T) {
	tests := map[string]struct {
		send string
		want string
	}{
		"HTTP client":  {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "no-hello"},
		"no data":      {"", "no-hello"},
		"garbage":      {"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "no-hello"},
		"other method": {"\x03\x01\x01\x04/foo", "method"},
		"many bytes":   {string(make([]byte, maxHelloBytes+1)), "no-hello"},
	}
	book := &addressBook{}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := start(t, "b", book, shortTimeouts)
			client, err := net.Dial("tcp", b.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			_, _ = client.Write([]byte(test.send))
			buf := make([]byte, 4096)
			for err == nil {
				_, err = client.Read(buf)
			}
			if got := b.counts.WaitReason("peer_refused_total"); got != test.want {
				t.Fatalf("refused as %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a node that accepts messages for another node whose address it has.
func TestTransportRefusesWrongNode(t *testing.T) {
	book := &addressBook{}
	a := start(t, "a", book, nil)
	b := start(t, "b", book, nil)
	book.set("c", b.Address())
	a.Send(grant("c", 1))
	b.counts.WaitForMore("peer_refused_total/wrong-node", 0)
}

// Guards against envelopes to a role in the same process that are not delivered, and
// against envelopes to other nodes that are not forwarded.
func TestLoopback(t *testing.T) {
	inbox := make(chan message.Envelope, 1)
	outer := &Loopback{}
	outer.Register("far", func(env message.Envelope) { inbox <- env })
	inner := &Loopback{Next: outer}
	inner.Register("near", func(env message.Envelope) { inbox <- env })
	for _, id := range []zinniasill.NodeID{"near", "far"} {
		inner.Send(grant(id, 1))
		if env := <-inbox; env.To.ID != id {
			t.Fatalf("got %+v, want one for %s", env, id)
		}
	}
	inner.Unregister("near")
	inner.Send(grant("near", 1))
	if len(inbox) != 0 {
		t.Fatal("an envelope for an unregistered node was delivered")
	}
}

// BenchmarkTransport measures the throughput of envelopes over one link on the loopback
// interface.
func BenchmarkTransport(b *testing.B) {
	book := &addressBook{}
	from := start(b, "a", book, nil)
	to := start(b, "b", book, nil)
	book.set("b", to.Address())
	body := message.Offer{
		Key:     zinniasill.Key{Team: "team", Client: "0123456789abcdef"},
		Term:    1,
		Profile: "proof",
		Kind:    "print",
		Tasks:   []message.TaskOffer{{Ref: message.TaskRef{Attempt: 1}, Payload: make([]byte, 100)}},
	}
	env := message.Envelope{Cluster: "0123456789abcdef", To: zinniasill.Node{ID: "b"}, Body: body}
	window := make(chan struct{}, 1024)
	b.ReportAllocs()
	b.ResetTimer()
	go func() {
		for range b.N {
			window <- struct{}{}
			from.Send(env)
		}
	}()
	for range b.N {
		<-to.inbox
		<-window
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "envelopes/s")
	b.ReportMetric(float64(b.N)/float64(from.Stats().Frames), "envelopes/frame")
}
