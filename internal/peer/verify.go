package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"
)

// verifyPeer returns a function that verifies the peer's certificate against
// base.RootCAs, for servers and clients alike. For clients, crypto/tls also verifies
// it against ClientCAs.
func verifyPeer(base *tls.Config) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return trace.AccessDenied("the peer showed no certificate")
		}
		options := x509.VerifyOptions{
			Roots:         base.RootCAs,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		for _, certificate := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return trace.Wrap(err)
	}
}
