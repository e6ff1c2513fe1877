// Package identity holds the TLS certificate of a process and the certificate authorities
// that it trusts, and checks the rights and names in the certificates of clients and peers.
//
//	source, err := identity.Open(identity.Config{Files: files, Counters: counters, Log: log})
//	listener = tls.NewListener(listener, source.Server())
//	handler = source.Require(identity.Operator, handler)
//
// A certificate carries its rights as organizational units, and the name of its node as
// the common name or a DNS name. The files are reloaded when they change.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"zinniasill"
)

// Right is a permission of the holder of a certificate.
type Right string

// Values of Right.
const (
	// Caller may submit, read and cancel jobs.
	Caller Right = "caller"
	// Operator may read and change the configuration.
	Operator Right = "operator"
	// Peer may act as a process of the cluster.
	Peer Right = "peer"
)

// Reasons for refusing the remote side of a connection.
const (
	ReasonNoCertificate    zinniasill.Reason = "no-certificate"
	ReasonExpired          zinniasill.Reason = "expired-certificate"
	ReasonUnknownAuthority zinniasill.Reason = "unknown-authority"
	ReasonBadCertificate   zinniasill.Reason = "bad-certificate"
	ReasonWrongRight       zinniasill.Reason = "wrong-right"
	ReasonWrongName        zinniasill.Reason = "wrong-name"
)

// Names of the counters.
const (
	// CounterRefusedCertificates counts refused certificates by reason.
	CounterRefusedCertificates = "tls_refused"
	// CounterFailedHandshakes counts failed TLS handshakes with HTTP clients for any cause,
	// including plain-text requests.
	CounterFailedHandshakes = "tls_handshakes_failed"
	// CounterReloads counts successful reloads of changed files.
	CounterReloads = "tls_reloads"
	// CounterFailedReloads counts changed files that could not be loaded.
	CounterFailedReloads = "tls_reloads_failed"
)

// Error describes why a certificate was refused.
type Error struct {
	Reason  zinniasill.Reason
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Reason) + ": " + e.Message
}

// check returns an error unless the remote certificate chain is valid for the usage and, if
// host is not empty, for the host.
func (c *credentials) check(state tls.ConnectionState, usage x509.ExtKeyUsage, host string) *Error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Reason: ReasonNoCertificate, Message: "the other side presented no certificate"}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: c.roots, Intermediates: intermediates, DNSName: host, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err == nil {
		return nil
	}
	reason := ReasonBadCertificate
	var invalid x509.CertificateInvalidError
	var authority x509.UnknownAuthorityError
	var hostname x509.HostnameError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		reason = ReasonExpired
	case errors.As(err, &authority):
		reason = ReasonUnknownAuthority
	case errors.As(err, &hostname):
		reason = ReasonWrongName
	}
	return &Error{Reason: reason, Message: fmt.Sprintf("certificate of %q: %v", leaf.Subject.CommonName, err)}
}

// checkRight returns an error unless the certificate carries the right.
func checkRight(state tls.ConnectionState, right Right) *Error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Reason: ReasonNoCertificate, Message: "the other side presented no certificate"}
	}
	subject := state.PeerCertificates[0].Subject
	if slices.Contains(subject.OrganizationalUnit, string(right)) {
		return nil
	}
	return &Error{Reason: ReasonWrongRight, Message: fmt.Sprintf(
		"the certificate of %q has the rights [%s] and lacks %q",
		subject.CommonName, strings.Join(subject.OrganizationalUnit, " "), right)}
}

// checkPeer returns an error unless the certificate has the peer right and the name of the
// node.
func checkPeer(state tls.ConnectionState, node zinniasill.NodeID) *Error {
	if problem := checkRight(state, Peer); problem != nil {
		return problem
	}
	leaf := state.PeerCertificates[0]
	if leaf.Subject.CommonName == string(node) || slices.Contains(leaf.DNSNames, string(node)) {
		return nil
	}
	return &Error{Reason: ReasonWrongName, Message: fmt.Sprintf(
		"the certificate of %q is not that of node %q", leaf.Subject.CommonName, node)}
}

// CheckPeer returns an error unless the remote side of a connection presented the
// certificate of the node with the peer right.
func (s *Source) CheckPeer(state tls.ConnectionState, node zinniasill.NodeID) error {
	return s.countRefusal(checkPeer(state, node))
}

// countRefusal counts a refusal and returns it. If problem is nil it returns an untyped
// nil, so that callers can compare the error with nil.
func (s *Source) countRefusal(problem *Error) error {
	if problem == nil {
		return nil
	}
	s.cfg.Counters.Inc(CounterRefusedCertificates, problem.Reason)
	return problem
}

// refusalBody is the response body for a request without the required right. It has the
// same fields as all errors of the callers' API. Ran is RanUnknown, because an earlier
// submission with the same key may have run.
type refusalBody struct {
	Code    zinniasill.Reason `json:"code"`
	Ran     zinniasill.Ran    `json:"ran"`
	Retry   zinniasill.Retry  `json:"retry"`
	Message string            `json:"message"`
}

// Require returns a handler that refuses requests whose client certificate lacks the right
// with status 403, and passes all others to next.
func (s *Source) Require(right Right, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var state tls.ConnectionState
		if r.TLS != nil {
			state = *r.TLS
		}
		problem := checkRight(state, right)
		if problem == nil {
			next.ServeHTTP(w, r)
			return
		}
		_ = s.countRefusal(problem)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusForbidden)
		// A disconnected client needs no response.
		_ = json.NewEncoder(w).Encode(refusalBody{
			Code: problem.Reason, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetryNone, Message: problem.Message,
		})
	})
}
