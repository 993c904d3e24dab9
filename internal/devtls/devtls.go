// Package devtls creates a temporary CA and certificates, so that tests and the
// development mesh use the same mutual TLS as a production fleet.
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

// validity is the lifetime of the CA certificate and of the certificates it issues.
const validity = 24 * time.Hour

// Authority is a CA whose private key is only kept in memory.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

// New creates a CA with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the key of the development CA")
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
		return nil, errors.Wrap(err, "create the certificate of the development CA")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse the certificate of the development CA")
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &Authority{certificate: certificate, key: key, pool: pool}, nil
}

// newTemplate returns a certificate template with the given common name and a random
// serial number, valid for the validity period from now.
func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Wrap(err, "generate a certificate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour), // tolerates clock skew
		NotAfter:     now.Add(validity),
	}, nil
}

// CertPool returns a pool with the CA as its only root.
func (a *Authority) CertPool() *x509.CertPool { return a.pool }

// IssueCertificate returns a certificate for the host name and the loopback addresses,
// for use by servers and clients.
func (a *Authority) IssueCertificate(host mesh.Host) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "generate the key of host %s", host)
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
		return tls.Certificate{}, errors.Wrapf(err, "create the certificate of host %s", host)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// PeerConfig returns the TLS configuration of a host for connections to and from other
// nodes. The node sets ClientAuth for its peer listener.
func (a *Authority) PeerConfig(host mesh.Host) (*tls.Config, error) {
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

// ServerConfig returns the TLS configuration of a listener that requests no client
// certificate, such as the caller listener.
func (a *Authority) ServerConfig(host mesh.Host) (*tls.Config, error) {
	certificate, err := a.IssueCertificate(host)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}, nil
}
