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

// process is a transport with its inbox.
type process struct {
	*Transport
	counts *countertest.Counters
	inbox  chan message.Envelope
}

// addresses is the resolver that the processes of one test share.
type addresses struct {
	mu sync.Mutex
	of map[zinniasill.NodeID]string
}

func (a *addresses) set(id zinniasill.NodeID, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.of == nil {
		a.of = map[zinniasill.NodeID]string{}
	}
	a.of[id] = address
}

func (a *addresses) lookup(id zinniasill.NodeID) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	address, ok := a.of[id]
	return address, ok
}

func start(t testing.TB, id zinniasill.NodeID, book *addresses, edit func(*Config)) *process {
	t.Helper()
	p := &process{counts: countertest.New(), inbox: make(chan message.Envelope, 1<<16)}
	cfg := Config{
		Self:        func() zinniasill.Node { return zinniasill.Node{ID: id, Incarnation: 1} },
		Listen:      "127.0.0.1:0",
		Resolve:     book.lookup,
		Deliver:     func(env message.Envelope) { p.inbox <- env },
		Clock:       daemon.SystemClock{},
		Counters:    p.counts,
		Seed:        20261204,
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

// impatient makes a transport replace links soon. Tests that use it send until an
// envelope arrives, because a busy machine can make a sound link look silent.
func impatient(cfg *Config) {
	cfg.PingInterval = 20 * time.Millisecond
	cfg.UnresponsiveTimeout = 200 * time.Millisecond
}

func grant(to zinniasill.NodeID, n int) message.Envelope {
	return message.Envelope{
		To:   zinniasill.Node{ID: to},
		Body: message.Grant{Key: zinniasill.Key{Team: "t", Client: fmt.Sprint(n)}},
	}
}

// sendUntil sends every few milliseconds until an envelope with number n arrives,
// as the protocols do.
func sendUntil(t *testing.T, from, to *process, id zinniasill.NodeID, n int) {
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

// Guards against envelopes that arrive changed, without their sender, or only in
// one direction when just one side knows the other's address.
func TestTransportBothWays(t *testing.T) {
	book := &addresses{}
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

// Guards against a link that stays in use after the network drops its bytes
// without closing it, in one direction or both.
func TestTransportReplacesSilentLink(t *testing.T) {
	tests := map[string]struct{ up, down bool }{
		"both ways":          {true, true},
		"opener to acceptor": {true, false},
		"acceptor to opener": {false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			book := &addresses{}
			a := start(t, "a", book, impatient)
			b := start(t, "b", book, impatient)
			middle := newProxy(t, b.Address())
			book.set("b", middle.address())
			sendUntil(t, a, b, "b", 1)
			middle.each(func(link *proxied) {
				link.dropUp.Store(test.up)
				link.dropDown.Store(test.down)
			})
			// Either side may find the silence first, so the end of the link is the
			// event and not the counter of one side.
			a.counts.WaitForMore("peer_links_ended_total/", 0)
			sendUntil(t, a, b, "b", 2)
		})
	}
}

// Guards against a peer that stops reading and thereby blocks the sender or the
// traffic to others.
func TestTransportReplacesStalledLink(t *testing.T) {
	book := &addresses{}
	a := start(t, "a", book, impatient)
	b := start(t, "b", book, impatient)
	c := start(t, "c", book, nil)
	middle := newProxy(t, b.Address())
	book.set("b", middle.address())
	book.set("c", c.Address())
	sendUntil(t, a, b, "b", 1)
	middle.each(func(link *proxied) { link.stop.Store(true) })
	load := message.Offer{Tasks: []message.TaskOffer{{Payload: make([]byte, 4<<20)}}}
	for range 16 {
		a.Send(message.Envelope{To: zinniasill.Node{ID: "b"}, Body: load})
	}
	sendUntil(t, a, c, "c", 2)
	a.counts.WaitForMore("peer_links_ended_total/", 0)
	sendUntil(t, a, b, "b", 3)
}

// Guards against a restart of the peer, at another address, that is not noticed.
func TestTransportFollowsRestart(t *testing.T) {
	book := &addresses{}
	a := start(t, "a", book, nil)
	t.Run("first life", func(t *testing.T) {
		b := start(t, "b", book, nil)
		book.set("b", b.Address())
		sendUntil(t, a, b, "b", 1)
	})
	b := start(t, "b", book, nil)
	book.set("b", b.Address())
	sendUntil(t, a, b, "b", 2)
}

// Guards against an unreachable peer that makes Send block or holds memory
// without bound, and against losses that are not counted.
func TestTransportDropsAndCounts(t *testing.T) {
	book := &addresses{}
	// Its queue is never emptied, so that the count doesn't depend on how fast the
	// test sends.
	patient := start(t, "patient", book, func(cfg *Config) { cfg.UnreachableTimeout = time.Hour })
	for n := range queueSize + 100 {
		patient.Send(grant("nowhere", n))
	}
	if got := patient.counts.Get("peer_dropped_total/queue-full"); got != 100 {
		t.Errorf("%d envelopes dropped by the full queue, want 100", got)
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

// Guards against large messages that are cut or that close the link.
func TestTransportCarriesLargeEnvelopes(t *testing.T) {
	book := &addresses{}
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

// Guards against connections of other programs that crash the listener, stay open
// or are not counted.
func TestTransportRefusesStrangers(t *testing.T) {
	tests := map[string]struct {
		send string
		want string
	}{
		"HTTP client":  {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "no-hello"},
		"silence":      {"", "no-hello"},
		"garbage":      {"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "no-hello"},
		"other method": {"\x03\x01\x01\x04/foo", "method"},
		"many bytes":   {string(make([]byte, helloBudget+1)), "no-hello"},
	}
	book := &addresses{}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := start(t, "b", book, impatient)
			stranger, err := net.Dial("tcp", b.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stranger.Close() }()
			_, _ = stranger.Write([]byte(test.send))
			buf := make([]byte, 4096)
			for err == nil {
				_, err = stranger.Read(buf)
			}
			if got := b.counts.WaitReason("peer_refused_total"); got != test.want {
				t.Fatalf("refused as %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a peer that holds another's address and takes its messages.
func TestTransportRefusesWrongNode(t *testing.T) {
	book := &addresses{}
	a := start(t, "a", book, nil)
	b := start(t, "b", book, nil)
	book.set("c", b.Address())
	a.Send(grant("c", 1))
	b.counts.WaitForMore("peer_refused_total/wrong-node", 0)
}

// Guards against a process in a program with all roles that is not reached, and
// against envelopes for others that are not passed on.
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
		t.Fatal("an envelope for a node that left was delivered")
	}
}

// BenchmarkTransport measures envelopes over one link on loopback.
func BenchmarkTransport(b *testing.B) {
	book := &addresses{}
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
