package identity

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
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
	// lastRead is the content last read, whether it was valid or not.
	lastRead content
	// current is the last valid content.
	current *credentials
}

// credentials is the parsed content of the files.
type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// content is the content of the files. The reloads depend on it and not on modification
// times, which a copy may keep and which follow the time of day.
type content struct {
	cert, key, authorities []byte
}

func (c content) equal(other content) bool {
	return bytes.Equal(c.cert, other.cert) && bytes.Equal(c.key, other.key) &&
		bytes.Equal(c.authorities, other.authorities)
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
	read, err := cfg.Files.read()
	if err != nil {
		return nil, err
	}
	current, err := cfg.Files.parse(read)
	if err != nil {
		return nil, err
	}
	return &Source{cfg: cfg, lastRead: read, current: current}, nil
}

// read reads the files. On an error the content has those that could be read.
func (f Files) read() (content, error) {
	var c content
	var problems []error
	for _, file := range []struct {
		path string
		data *[]byte
	}{{f.Cert, &c.cert}, {f.Key, &c.key}, {f.CA, &c.authorities}} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			problems = append(problems, eris.Wrap(err, "read the TLS files"))
		}
		*file.data = data
	}
	return c, errors.Join(problems...)
}

// parse parses the content of the files.
func (f Files) parse(read content) (*credentials, error) {
	cert, err := tls.X509KeyPair(read.cert, read.key)
	if err != nil {
		return nil, eris.Wrapf(err, "read the certificate %s with the key %s", f.Cert, f.Key)
	}
	c := &credentials{cert: cert, roots: x509.NewCertPool()}
	if !c.roots.AppendCertsFromPEM(read.authorities) {
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
	read, err := s.cfg.Files.read()
	if read.equal(s.lastRead) {
		return s.current
	}
	s.lastRead = read
	var fresh *credentials
	if err == nil {
		fresh, err = s.cfg.Files.parse(read)
	}
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
