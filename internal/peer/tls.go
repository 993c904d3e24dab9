package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"

	"cardamomhatch/internal/mesh"
)

// clientTLS demands that the server's certificate names the host. For a peer
// that is known by address alone, it demands the chain to the CA only.
func clientTLS(config *tls.Config, host mesh.Host) *tls.Config {
	c := config.Clone()
	c.ServerName = string(host)
	if host != "" {
		return c
	}
	// crypto/tls can skip the name only together with the chain, so the chain
	// is checked here.
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
