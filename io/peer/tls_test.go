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

// withTLS returns a configuration edit that enables TLS with a certificate.
func withTLS(t *testing.T, ca *authority.Authority, r authority.Request, counted *countertest.Counters) func(*Config) {
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

// peerRequest requests the certificate of a node that may open and accept links.
func peerRequest(name string) authority.Request {
	return authority.Request{Name: name, Rights: []string{"peer"}}
}

// TestTLSBothWays guards against links that cannot be opened with TLS, and against a
// node that is refused although its id is a DNS name of its certificate.
func TestTLSBothWays(t *testing.T) {
	ca := newAuthority(t)
	book := &addressBook{}
	a := start(t, "a", book, withTLS(t, ca, peerRequest("a"), countertest.New()))
	b := start(t, "b", book, withTLS(t, ca, authority.Request{
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

// TestTLSRefusesOpener guards against an acceptor that receives messages from a process
// without a valid peer certificate for its own name.
func TestTLSRefusesOpener(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		issuer  *authority.Authority
		request authority.Request
		// refused is the counter of the certificate check, link the reason label of the
		// transport's peer_refused_total, not checked if empty.
		refused, link string
	}{
		"name of another":   {ca, peerRequest("c"), "tls_refused/wrong-name", "identity"},
		"caller":            {ca, authority.Request{Name: "a", Rights: []string{"caller"}}, "tls_refused/wrong-right", "identity"},
		"expired":           {ca, authority.Request{Name: "a", Rights: []string{"peer"}, Expired: true}, "tls_refused/expired-certificate", ""},
		"unknown authority": {otherCA, peerRequest("a"), "tls_refused/unknown-authority", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			book := &addressBook{}
			checked := countertest.New()
			b := start(t, "b", book, withTLS(t, ca, peerRequest("b"), checked))
			book.set("b", b.Address())
			a := start(t, "a", book, func(cfg *Config) {
				withTLS(t, tt.issuer, tt.request, countertest.New())(cfg)
				cfg.Security = withoutServerCheck{Security: cfg.Security}
			})
			a.Send(grant("b", 1))
			checked.WaitForMore(tt.refused, 0)
			if reason := b.counts.WaitReason("peer_refused_total"); tt.link != "" && reason != tt.link {
				t.Errorf("the link was refused with reason %q, want %q", reason, tt.link)
			}
			if len(b.inbox) > 0 {
				t.Errorf("delivered %+v", <-b.inbox)
			}
		})
	}
}

// withoutServerCheck opens links without verifying the acceptor, so that only the
// acceptor can refuse a link.
type withoutServerCheck struct {
	Security
}

// Client implements Security.
func (s withoutServerCheck) Client(node zinniasill.NodeID) *tls.Config {
	cfg := s.Security.Client(node)
	cfg.VerifyConnection = nil
	return cfg
}

// TestTLSRefusesAcceptor guards against an opener that sends messages to a node that has
// taken over the address of another.
func TestTLSRefusesAcceptor(t *testing.T) {
	ca := newAuthority(t)
	book := &addressBook{}
	checked := countertest.New()
	a := start(t, "a", book, withTLS(t, ca, peerRequest("a"), checked))
	// The acceptor claims to be b, but has the certificate of c.
	b := start(t, "b", book, withTLS(t, ca, peerRequest("c"), countertest.New()))
	book.set("b", b.Address())
	a.Send(grant("b", 1))
	checked.WaitForMore("tls_refused/wrong-name", 0)
	if len(b.inbox) > 0 {
		t.Errorf("delivered %+v", <-b.inbox)
	}
}

// TestTLSForgedSender guards against a peer that sends envelopes with another node as
// their sender over its own link.
func TestTLSForgedSender(t *testing.T) {
	ca := newAuthority(t)
	book := &addressBook{}
	a := start(t, "a", book, withTLS(t, ca, peerRequest("a"), countertest.New()))
	b := start(t, "b", book, withTLS(t, ca, peerRequest("b"), countertest.New()))
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

// TestTLSHostAnswers guards against replies from the host of a stopped agent's records
// that are dropped because their sender is that agent.
func TestTLSHostAnswers(t *testing.T) {
	ca := newAuthority(t)
	book := &addressBook{}
	a := start(t, "a", book, withTLS(t, ca, peerRequest("a"), countertest.New()))
	stopped := zinniasill.Node{ID: "c", Incarnation: 1}
	secure := withTLS(t, ca, peerRequest("b"), countertest.New())
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
	reply := grant("b", 1)
	reply.From = stopped
	a.Send(reply)
	if got := <-b.inbox; got.From != stopped {
		t.Errorf("got %+v", got)
	}
}

// TestTLSPlainText guards against a plain-text client that is served, or is refused with
// the wrong reason.
func TestTLSPlainText(t *testing.T) {
	book := &addressBook{}
	b := start(t, "b", book, withTLS(t, newAuthority(t), peerRequest("b"), countertest.New()))
	client, err := net.Dial("tcp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: b\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if reason := b.counts.WaitReason("peer_refused_total"); reason != "tls" {
		t.Errorf("refused with reason %q, want tls", reason)
	}
}

// TestTLSPlainPeer guards against a process without TLS that opens a link to one with
// TLS.
func TestTLSPlainPeer(t *testing.T) {
	book := &addressBook{}
	b := start(t, "b", book, withTLS(t, newAuthority(t), peerRequest("b"), countertest.New()))
	book.set("b", b.Address())
	a := start(t, "a", book, nil)
	a.Send(grant("b", 1))
	if reason := b.counts.WaitReason("peer_refused_total"); reason != "tls" {
		t.Errorf("refused with reason %q, want tls", reason)
	}
	if len(b.inbox) > 0 {
		t.Errorf("delivered %+v", <-b.inbox)
	}
}
