package identity

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill"
)

// Files are the paths of PEM files.
type Files struct {
	// Cert is the certificate, with the intermediate certificates behind it.
	Cert string
	// Key is the private key of the certificate.
	Key string
	// CA has the certificates of the trusted authorities.
	CA string
}

// IsSet reports whether any file is named.
func (f Files) IsSet() bool {
	return f != Files{}
}

// Config configures a Source. Files is required.
type Config struct {
	Files Files
	// Counters and Log may be nil.
	Counters zinniasill.Counters
	Log      logrus.FieldLogger
}

// Source is the certificate and the authorities of this process. It is safe for
// concurrent use. Use Open.
type Source struct {
	cfg Config

	mu      sync.Mutex
	seen    version
	current *material
}

// material is what one version of the files holds.
type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// version tells two states of the files apart without reading them.
type version [3]struct {
	modified time.Time
	size     int64
}

type noCounters struct{}

// Inc implements zinniasill.Counters.
func (noCounters) Inc(string, zinniasill.Reason) {}

// Open reads the files. It returns an error when one is missing or broken.
func Open(cfg Config) (*Source, error) {
	if cfg.Counters == nil {
		cfg.Counters = noCounters{}
	}
	if cfg.Log == nil {
		silent := logrus.New()
		silent.SetLevel(logrus.PanicLevel)
		cfg.Log = silent
	}
	s := &Source{cfg: cfg, seen: cfg.Files.version()}
	var err error
	s.current, err = cfg.Files.read()
	if err != nil {
		return nil, err
	}
	return s, nil
}

// version returns the state of the files; a missing file has the zero time.
func (f Files) version() version {
	var v version
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			v[i].modified = info.ModTime()
			v[i].size = info.Size()
		}
	}
	return v
}

func (f Files) read() (*material, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "read the certificate %s with the key %s", f.Cert, f.Key)
	}
	authorities, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, eris.Wrap(err, "read the certificates of the authorities")
	}
	m := &material{cert: cert, roots: x509.NewCertPool()}
	if !m.roots.AppendCertsFromPEM(authorities) {
		return nil, eris.Errorf("file %s holds no certificate of an authority", f.CA)
	}
	return m, nil
}

// material returns the content of the files. When a changed file cannot be used,
// the last good content stays in use, and the fault is counted and logged once.
func (s *Source) material() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The version is taken before the read, so that a change during the read is
	// found by the next call.
	now := s.cfg.Files.version()
	if now == s.seen {
		return s.current
	}
	s.seen = now
	fresh, err := s.cfg.Files.read()
	if err != nil {
		s.cfg.Counters.Inc(CounterFailedReloads, "")
		s.cfg.Log.WithError(err).Error("changed TLS files cannot be used; the last good ones stay in use")
		return s.current
	}
	s.current = fresh
	s.cfg.Counters.Inc(CounterReloads, "")
	s.cfg.Log.Info("TLS files were read again")
	return s.current
}

// Server returns the configuration for accepted connections. It accepts clients
// with a certificate of a trusted authority and does not look at their rights.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(s.material()), nil
		},
	}
}

func (s *Source) serverConfig(m *material) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.cert},
		// VerifyConnection checks the certificate, so that each cause is counted.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.refuse(m.check(state, x509.ExtKeyUsageClientAuth, ""))
		},
	}
}

// Client returns the configuration for a link to a node. The node is known by its
// name, because its address may change.
func (s *Source) Client(node zinniasill.NodeID) *tls.Config {
	m := s.material()
	return s.clientConfig(m, func(state tls.ConnectionState) *Error {
		if problem := m.check(state, x509.ExtKeyUsageServerAuth, ""); problem != nil {
			return problem
		}
		return checkPeer(state, node)
	})
}

func (s *Source) clientConfig(m *material, check func(state tls.ConnectionState) *Error) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.cert},
		// The standard check has no place for names of nodes; VerifyConnection
		// checks the whole chain instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.refuse(check(state))
		},
	}
}

// maxIdleConns bounds the idle connections to one host.
const maxIdleConns = 256

// Transport returns a transport for callers and operators. The server must hold a
// peer's certificate for the host name or IP address of the URL.
func (s *Source) Transport() *http.Transport {
	return &http.Transport{
		DialTLSContext:      s.dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
}

func (s *Source) dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "connect with TLS")
	}
	m := s.material()
	cfg := s.clientConfig(m, func(state tls.ConnectionState) *Error {
		if problem := m.check(state, x509.ExtKeyUsageServerAuth, host); problem != nil {
			return problem
		}
		return checkRight(state, Peer)
	})
	cfg.ServerName = host
	dialer := tls.Dialer{Config: cfg}
	return dialer.DialContext(ctx, network, address)
}

// HTTPLog returns the log for an HTTP server with TLS. Failed handshakes are
// counted and not logged, because strangers cause them; other lines are logged.
func (s *Source) HTTPLog() *log.Logger {
	return log.New(httpLog{s}, "", 0)
}

type httpLog struct {
	source *Source
}

// Write implements io.Writer.
func (l httpLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("TLS handshake error")) {
		l.source.cfg.Counters.Inc(CounterFailedHandshakes, "")
	} else {
		l.source.cfg.Log.Warn(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}
