package peer

import (
	"crypto/tls"
	"net"
	"testing"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/internal/authority"
	"zinniasill/internal/countertest"
	"zinniasill/io/identity"
)

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	ca, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// secured returns an edit that gives a transport a certificate.
func secured(t *testing.T, ca *authority.Authority, r authority.Request, counted *countertest.Counters) func(*Config) {
	t.Helper()
	files, err := ca.Write(t.TempDir(), r)
	if err != nil {
		t.Fatal(err)
	}
	source, err := identity.Open(identity.Config{Files: files, Counters: counted})
	if err != nil {
		t.Fatal(err)
	}
	return func(cfg *Config) { cfg.Security = source }
}

func peerNamed(name string) authority.Request {
	return authority.Request{Name: name, Rights: []string{"peer"}}
}

// TestTLSBothWays guards against links that do not come up with TLS, and against a
// node that is not known by the DNS names of its certificate.
func TestTLSBothWays(t *testing.T) {
	ca := newAuthority(t)
	book := &addresses{}
	a := start(t, "a", book, secured(t, ca, peerNamed("a"), countertest.New()))
	b := start(t, "b", book, secured(t, ca, authority.Request{
		Name: "host", DNSNames: []string{"c", "b"}, Rights: []string{"operator", "peer"},
	}, countertest.New()))
	book.set("b", b.Address())
	a.Send(grant("b", 1))
	if got := <-b.inbox; got.From.ID != "a" {
		t.Fatalf("got %+v", got)
	}
	b.Send(grant("a", 2))
	if got := <-a.inbox; got.From.ID != "b" {
		t.Fatalf("got %+v", got)
	}
}

// TestTLSRefusesOpener guards against an acceptor that takes messages from a
// process without a peer's certificate for its own name.
func TestTLSRefusesOpener(t *testing.T) {
	ca, stranger := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		issuer  *authority.Authority
		request authority.Request
		// refused is the reason at the certificate check, link at the transport.
		refused, link string
	}{
		"name of another":   {ca, peerNamed("c"), "tls_refused/wrong-name", "identity"},
		"caller":            {ca, authority.Request{Name: "a", Rights: []string{"caller"}}, "tls_refused/wrong-right", "identity"},
		"expired":           {ca, authority.Request{Name: "a", Rights: []string{"peer"}, Expired: true}, "tls_refused/expired-certificate", ""},
		"unknown authority": {stranger, peerNamed("a"), "tls_refused/unknown-authority", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			book := &addresses{}
			checked := countertest.New()
			b := start(t, "b", book, secured(t, ca, peerNamed("b"), checked))
			book.set("b", b.Address())
			a := start(t, "a", book, func(cfg *Config) {
				secured(t, tt.issuer, tt.request, countertest.New())(cfg)
				cfg.Security = trusting{Security: cfg.Security}
			})
			a.Send(grant("b", 1))
			checked.WaitForMore(tt.refused, 0)
			if reason := b.counts.WaitReason("peer_refused_total"); tt.link != "" && reason != tt.link {
				t.Errorf("the link was refused with %q, want %q", reason, tt.link)
			}
			if len(b.inbox) > 0 {
				t.Errorf("delivered %+v", <-b.inbox)
			}
		})
	}
}

// trusting opens links without a check of the acceptor, so that only the
// acceptor's check can refuse.
type trusting struct {
	Security
}

// Client implements Security.
func (s trusting) Client(node zinniasill.NodeID) *tls.Config {
	cfg := s.Security.Client(node)
	cfg.VerifyConnection = nil
	return cfg
}

// TestTLSRefusesAcceptor guards against an opener that sends messages to a node
// that took over the address of another.
func TestTLSRefusesAcceptor(t *testing.T) {
	ca := newAuthority(t)
	book := &addresses{}
	checked := countertest.New()
	a := start(t, "a", book, secured(t, ca, peerNamed("a"), checked))
	// The acceptor says that it is b and holds the certificate of c.
	b := start(t, "b", book, secured(t, ca, peerNamed("c"), countertest.New()))
	book.set("b", b.Address())
	a.Send(grant("b", 1))
	checked.WaitForMore("tls_refused/wrong-name", 0)
	if len(b.inbox) > 0 {
		t.Errorf("delivered %+v", <-b.inbox)
	}
}

// TestTLSForgedSender guards against a peer that sends in the name of another node
// over its own link.
func TestTLSForgedSender(t *testing.T) {
	ca := newAuthority(t)
	book := &addresses{}
	a := start(t, "a", book, secured(t, ca, peerNamed("a"), countertest.New()))
	b := start(t, "b", book, secured(t, ca, peerNamed("b"), countertest.New()))
	book.set("b", b.Address())
	forged := grant("b", 1)
	forged.From = zinniasill.Node{ID: "c", Incarnation: 1}
	a.Send(forged)
	a.Send(grant("b", 2))
	if got := <-b.inbox; got.Body.(message.Grant).Key.Client != "2" {
		t.Errorf("got %+v", got)
	}
	b.counts.WaitForMore("peer_dropped_total/wrong-sender", 0)
}

// TestTLSHostAnswers guards against answers of the host of a stopped agent's records
// that are dropped because they carry that agent's name.
func TestTLSHostAnswers(t *testing.T) {
	ca := newAuthority(t)
	book := &addresses{}
	a := start(t, "a", book, secured(t, ca, peerNamed("a"), countertest.New()))
	stopped := zinniasill.Node{ID: "c", Incarnation: 1}
	secure := secured(t, ca, peerNamed("b"), countertest.New())
	b := start(t, "b", book, func(cfg *Config) {
		secure(cfg)
		cfg.Route = func(to zinniasill.Node) zinniasill.NodeID {
			if to == stopped {
				return "a"
			}
			return to.ID
		}
	})
	book.set("b", b.Address())
	answer := grant("b", 1)
	answer.From = stopped
	a.Send(answer)
	if got := <-b.inbox; got.From != stopped {
		t.Errorf("got %+v", got)
	}
}

// TestTLSPlainText guards against a plain-text stranger that is served.
func TestTLSPlainText(t *testing.T) {
	book := &addresses{}
	b := start(t, "b", book, secured(t, newAuthority(t), peerNamed("b"), countertest.New()))
	stranger, err := net.Dial("tcp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stranger.Close() }()
	if _, err := stranger.Write([]byte("GET / HTTP/1.1\r\nHost: b\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if reason := b.counts.WaitReason("peer_refused_total"); reason != "tls" {
		t.Errorf("refused with %q", reason)
	}
}

// TestTLSPlainPeer guards against a process without TLS that joins a cluster with
// TLS.
func TestTLSPlainPeer(t *testing.T) {
	book := &addresses{}
	b := start(t, "b", book, secured(t, newAuthority(t), peerNamed("b"), countertest.New()))
	book.set("b", b.Address())
	a := start(t, "a", book, nil)
	a.Send(grant("b", 1))
	if reason := b.counts.WaitReason("peer_refused_total"); reason != "tls" {
		t.Errorf("refused with %q", reason)
	}
	if len(b.inbox) > 0 {
		t.Errorf("delivered %+v", <-b.inbox)
	}
}
