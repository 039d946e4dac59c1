package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
)

// SelfSignedTLSConfig returns the TLS configuration of links for a deployment without an
// authority. Links are encrypted, but each end presents a self-signed certificate that the
// other end does not verify. Anyone who can connect to the link port can impersonate any host,
// so the port must not be reachable from outside the deployment.
func SelfSignedTLSConfig(name string, role host.Role, valid clock.Millis) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotatef(err, "generate key of %s", name)
	}
	t, err := certTemplate(name, string(role), valid.Duration())
	if err != nil {
		return nil, errors.Annotatef(err, "create certificate of %s", name)
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Annotatef(err, "sign certificate of %s", name)
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		InsecureSkipVerify: true,
		ClientAuth:         tls.RequireAnyClientCert,
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{ALPNProtocol},
	}, nil
}
