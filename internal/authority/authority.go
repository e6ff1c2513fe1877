// Package authority issues short-lived certificates for tests. Its key stays in
// memory.
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

// lifetime is the validity of a certificate, in both directions from now.
const lifetime = time.Hour

// Authority issues certificates. Use New.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Request describes a certificate. It is valid for 127.0.0.1.
type Request struct {
	Name   string
	Names  []string
	Rights []string
	// Expired makes a certificate that is no longer valid.
	Expired bool
}

// New returns a new authority.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make the key of an authority")
	}
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-2 * lifetime), NotAfter: time.Now().Add(lifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "make the certificate of an authority")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, eris.Wrap(err, "make the certificate of an authority")
}

func serial() *big.Int {
	var random [16]byte
	_, _ = rand.Read(random[:]) // crypto/rand never returns an error
	return new(big.Int).SetBytes(random[:])
}

// Write issues a certificate and writes it, its key and the authority's
// certificate into a folder. Files of an earlier call are replaced.
func (a *Authority) Write(folder string, r Request) (identity.Files, error) {
	files := identity.Files{
		Cert: filepath.Join(folder, "cert.pem"),
		Key:  filepath.Join(folder, "key.pem"),
		CA:   filepath.Join(folder, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "make a key")
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
		DNSNames:    r.Names, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, eris.Wrapf(err, "issue the certificate of %s", r.Name)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, eris.Wrap(err, "encode a key")
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
