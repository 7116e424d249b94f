package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// Config loads the certificate. It returns nil and no error when none is configured.
func (s ServerTLS) Config() (*tls.Config, error) {
	if s == (ServerTLS{}) {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile)
	if err != nil {
		return nil, trace.BadParameter("certificate_file and key_file: %v", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// Config loads the certificates for either side of a mutual TLS connection. It
// returns nil and no error when none is configured.
func (m MutualTLS) Config() (*tls.Config, error) {
	if m == (MutualTLS{}) {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(m.CertificateFile, m.KeyFile)
	if err != nil {
		return nil, trace.BadParameter("certificate_file and key_file: %v", err)
	}
	authority, err := os.ReadFile(m.CAFile)
	if err != nil {
		return nil, trace.BadParameter("ca_file: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, trace.BadParameter("ca_file: %s holds no certificate", m.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
