// Package devtls makes a throw-away CA and certificates, so that tests and the
// development mesh use the same mutual TLS as a real fleet.
package devtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

// validity is the lifetime of the CA and of all certificates.
const validity = 24 * time.Hour

// Authority is a CA whose key exists in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

// New makes a CA.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "CA key")
	}
	template, err := newTemplate("cardamomhatch development CA")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "CA certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &Authority{certificate: certificate, key: key, pool: pool}, nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Wrap(err, "serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour), // tolerates skewed clocks
		NotAfter:     now.Add(validity),
	}, nil
}

// CertPool returns the CA as a pool of roots.
func (a *Authority) CertPool() *x509.CertPool { return a.pool }

// IssueCertificate returns a certificate that names the host and the loopback addresses.
func (a *Authority) IssueCertificate(host mesh.Host) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "key of %s", host)
	}
	template, err := newTemplate(string(host))
	if err != nil {
		return tls.Certificate{}, err
	}
	template.DNSNames = []string{string(host)}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "certificate of %s", host)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// Peer returns the TLS configuration of a host towards and for other nodes.
func (a *Authority) Peer(host mesh.Host) (*tls.Config, error) {
	certificate, err := a.IssueCertificate(host)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      a.pool,
		ClientCAs:    a.pool,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// Server returns the TLS configuration of a listener that asks for no
// certificate, such as that for callers.
func (a *Authority) Server(host mesh.Host) (*tls.Config, error) {
	certificate, err := a.IssueCertificate(host)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}, nil
}
