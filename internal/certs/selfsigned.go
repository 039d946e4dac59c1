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

// SelfSignedTLSConfig returns the settings of links for a deployment without an authority.
// Links are encrypted and each end shows a certificate of its own making; whoever
// reaches the links' port can pretend to be any host, so it has to be closed to
// outsiders.
func SelfSignedTLSConfig(name string, role host.Role, valid clock.Millis) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotatef(err, "make key of %s", name)
	}
	t, err := template(name, string(role), valid.Duration())
	if err != nil {
		return nil, errors.Annotatef(err, "make certificate of %s", name)
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
