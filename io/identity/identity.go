// Package identity holds a process's certificate and the authorities that it
// trusts, and checks the rights and names in the certificates of others.
//
//	source, err := identity.Open(identity.Config{Files: files, Counters: counters, Log: log})
//	listener = tls.NewListener(listener, source.Server())
//	handler = source.Require(identity.Operator, handler)
//
// A certificate carries its rights as organisational units, and the name of its
// node as common name or DNS name. The files are read again when they change.
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

// Right is what the holder of a certificate may do.
type Right string

// Values of Right.
const (
	// Caller may submit, read and cancel jobs.
	Caller Right = "caller"
	// Operator may read and change the configuration.
	Operator Right = "operator"
	// Peer may take part as a process of the system.
	Peer Right = "peer"
)

// Reasons for refusing the other end of a connection.
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
	// CounterFailedHandshakes counts failed handshakes with HTTP clients, whatever the
	// cause, plain text included.
	CounterFailedHandshakes = "tls_handshakes_failed"
	// CounterReloads counts new files that were put into use.
	CounterReloads = "tls_reloads"
	// CounterFailedReloads counts new files that could not be used.
	CounterFailedReloads = "tls_reloads_failed"
)

// Error is the error for a refused certificate.
type Error struct {
	Reason  zinniasill.Reason
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Reason) + ": " + e.Message
}

// check returns why a chain of certificates is not accepted, or nil.
func (m *material) check(state tls.ConnectionState, usage x509.ExtKeyUsage, host string) *Error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Reason: ReasonNoCertificate, Message: "the other side presented no certificate"}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: m.roots, Intermediates: intermediates, DNSName: host, KeyUsages: []x509.ExtKeyUsage{usage},
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

// checkPeer returns an error unless the certificate belongs to the node.
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

// CheckPeer returns an error unless the other end of a link holds a peer's
// certificate for the node.
func (s *Source) CheckPeer(state tls.ConnectionState, node zinniasill.NodeID) error {
	return s.refuse(checkPeer(state, node))
}

// refuse counts a refusal. It returns an untyped nil for none.
func (s *Source) refuse(problem *Error) error {
	if problem == nil {
		return nil
	}
	s.cfg.Counters.Inc(CounterRefusedCertificates, problem.Reason)
	return problem
}

// refusal is the body of the answer to a request without the right. It has the
// fields of all errors. Whether an earlier submission of the key ran is not known.
type refusal struct {
	Code    zinniasill.Reason `json:"code"`
	Ran     zinniasill.Ran    `json:"ran"`
	Retry   zinniasill.Retry  `json:"retry"`
	Message string            `json:"message"`
}

// Require returns a handler that answers requests whose client certificate lacks
// the right with status 403, and hands all others to next.
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
		_ = s.refuse(problem)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusForbidden)
		// A client that is gone needs no answer.
		_ = json.NewEncoder(w).Encode(refusal{
			Code: problem.Reason, Ran: zinniasill.RanUnknown, Retry: zinniasill.RetryNone, Message: problem.Message,
		})
	})
}
