package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

// clientTLS returns a copy of config that requires the server's certificate to name
// the host. If host is empty, because the peer is known only by its address, the copy
// requires only a valid chain to the CA.
func clientTLS(config *tls.Config, host mesh.Host) *tls.Config {
	c := config.Clone()
	c.ServerName = string(host)
	if host != "" {
		return c
	}
	// crypto/tls can skip the check of the name only together with that of the chain,
	// so the chain is verified here.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, cert := range s.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: c.RootCAs, Intermediates: intermediates})
		return err
	}
	return c
}
