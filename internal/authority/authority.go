// Package authority provides a certificate authority that issues short-lived
// certificates for tests. The authority's private key is kept in memory only.
//
//	ca := authority.New()
//	files, err := ca.Write(folder, authority.Request{Name: "entry-1", Rights: []string{"peer"}})
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill/io/identity"
)

// lifetime is how long before and after its issue a certificate is valid.
const lifetime = time.Hour

// Authority issues certificates signed by its own CA. Use New to create one.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Request describes a certificate to issue. Every certificate is valid for the IP
// address 127.0.0.1.
type Request struct {
	// Name is the common name.
	Name string
	// DNSNames are the DNS subject alternative names.
	DNSNames []string
	Rights   []string
	// Expired requests a certificate that is no longer valid.
	Expired bool
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the CA key")
	}
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-2 * lifetime), NotAfter: time.Now().Add(lifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create the CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, eris.Wrap(err, "parse the CA certificate")
}

// serial returns a random 128-bit serial number.
func serial() *big.Int {
	var random [16]byte
	_, _ = rand.Read(random[:]) // crypto/rand never returns an error
	return new(big.Int).SetBytes(random[:])
}

// Write issues a certificate and writes it, its private key and the CA certificate as
// PEM files into folder. Files of an earlier call are replaced. The returned paths are
// set even if an error is returned.
func (a *Authority) Write(folder string, r Request) (identity.Files, error) {
	files := identity.Files{
		Cert: filepath.Join(folder, "cert.pem"),
		Key:  filepath.Join(folder, "key.pem"),
		CA:   filepath.Join(folder, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "generate a key")
	}
	until := time.Now().Add(lifetime)
	if r.Expired {
		until = time.Now().Add(-lifetime / 2)
	}
	template := &x509.Certificate{
		SerialNumber: serial(),
		Subject:      pkix.Name{CommonName: r.Name, OrganizationalUnit: r.Rights},
		NotBefore:    time.Now().Add(-lifetime), NotAfter: until,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		DNSNames:    r.DNSNames, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, eris.Wrapf(err, "create the certificate of %s", r.Name)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, eris.Wrap(err, "encode the private key")
	}
	blocks := map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "EC PRIVATE KEY", Bytes: private},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	}
	for path, block := range blocks {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return files, eris.Wrap(err, "write a PEM file")
		}
	}
	return files, nil
}
