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

// Files holds the paths of the PEM files that a Source loads.
type Files struct {
	// Cert has the certificate, followed by the intermediate certificates.
	Cert string
	// Key has the private key of the certificate.
	Key string
	// CA has the certificates of the trusted certificate authorities.
	CA string
}

// IsSet reports whether any path is set.
func (f Files) IsSet() bool {
	return f != Files{}
}

// Config configures a Source. Files is required.
type Config struct {
	Files Files
	// Counters and Log may be nil, which discards counts and log lines.
	Counters zinniasill.Counters
	Log      logrus.FieldLogger
}

// Source provides the certificate and the trusted authorities of this process, and reloads
// them when the files change. It is safe for concurrent use. Use Open to create one.
type Source struct {
	cfg Config

	mu sync.Mutex
	// lastVersion is the version last read, whether it was valid or not.
	lastVersion version
	// current is the last valid content.
	current *credentials
}

// credentials is the content of one version of the files.
type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// version identifies a state of the files by their modification times and sizes, so that
// changes are detected without reading the files.
type version [3]struct {
	modified time.Time
	size     int64
}

// noCounters discards all counts.
type noCounters struct{}

// Inc implements zinniasill.Counters.
func (noCounters) Inc(string, zinniasill.Reason) {}

// Open loads the files. It returns an error if one of them is missing or invalid.
func Open(cfg Config) (*Source, error) {
	if cfg.Counters == nil {
		cfg.Counters = noCounters{}
	}
	if cfg.Log == nil {
		discard := logrus.New()
		discard.SetLevel(logrus.PanicLevel)
		cfg.Log = discard
	}
	s := &Source{cfg: cfg, lastVersion: cfg.Files.version()}
	var err error
	s.current, err = cfg.Files.load()
	if err != nil {
		return nil, err
	}
	return s, nil
}

// version returns the current version of the files. A missing file has the zero time.
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

// load reads and parses the files.
func (f Files) load() (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "read the certificate %s with the key %s", f.Cert, f.Key)
	}
	authorities, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, eris.Wrap(err, "read the certificates of the authorities")
	}
	c := &credentials{cert: cert, roots: x509.NewCertPool()}
	if !c.roots.AppendCertsFromPEM(authorities) {
		return nil, eris.Errorf("file %s holds no certificate of an authority", f.CA)
	}
	return c, nil
}

// credentials returns the content of the files and reloads them if they have changed. If
// changed files cannot be loaded, the last valid content stays in use, and the failure is
// counted and logged once for each change.
func (s *Source) credentials() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The version is taken before the files are read, so that the next call detects a
	// change during the read.
	now := s.cfg.Files.version()
	if now == s.lastVersion {
		return s.current
	}
	s.lastVersion = now
	fresh, err := s.cfg.Files.load()
	if err != nil {
		s.cfg.Counters.Inc(CounterFailedReloads, "")
		s.cfg.Log.WithError(err).Error("changed TLS files cannot be used; the last valid ones stay in use")
		return s.current
	}
	s.current = fresh
	s.cfg.Counters.Inc(CounterReloads, "")
	s.cfg.Log.Info("TLS files reloaded")
	return s.current
}

// Server returns the TLS configuration for incoming connections. It accepts clients with a
// certificate of a trusted authority and does not check their rights; see Require and
// CheckPeer.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(s.credentials()), nil
		},
	}
}

func (s *Source) serverConfig(c *credentials) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		// VerifyConnection verifies the certificate instead of crypto/tls, so that refusals
		// are counted by cause.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.countRefusal(c.check(state, x509.ExtKeyUsageClientAuth, ""))
		},
	}
}

// Client returns the TLS configuration for a connection to a node. The node is identified
// by its name and not by its address, which may change.
func (s *Source) Client(node zinniasill.NodeID) *tls.Config {
	c := s.credentials()
	return s.clientConfig(c, func(state tls.ConnectionState) *Error {
		if problem := c.check(state, x509.ExtKeyUsageServerAuth, ""); problem != nil {
			return problem
		}
		return checkPeer(state, node)
	})
}

func (s *Source) clientConfig(c *credentials, check func(state tls.ConnectionState) *Error) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		// The verification of crypto/tls does not support node names. VerifyConnection
		// verifies the whole chain instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.countRefusal(check(state))
		},
	}
}

// maxIdleConns is the maximum number of idle connections to one host.
const maxIdleConns = 256

// Transport returns an HTTP transport for callers and operators. The server must present a
// certificate with the peer right for the host name or IP address in the URL.
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
	c := s.credentials()
	cfg := s.clientConfig(c, func(state tls.ConnectionState) *Error {
		if problem := c.check(state, x509.ExtKeyUsageServerAuth, host); problem != nil {
			return problem
		}
		return checkRight(state, Peer)
	})
	cfg.ServerName = host
	dialer := tls.Dialer{Config: cfg}
	return dialer.DialContext(ctx, network, address)
}

// HTTPLog returns the error log for an HTTP server with TLS. Failed handshakes are counted
// but not logged, because any client on the network can cause them. Other lines are logged
// as warnings.
func (s *Source) HTTPLog() *log.Logger {
	return log.New(httpLog{s}, "", 0)
}

// httpLog is the writer behind HTTPLog.
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
