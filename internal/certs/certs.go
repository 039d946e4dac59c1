// Package certs issues and reads the certificates that the system's processes use to
// authenticate each other. A deployment has one certificate authority. The certificate of a
// host contains the host's name and role.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/host"
)

// serverName is the DNS name in every certificate issued by the authority. Peers connect by IP
// address, so TLS can't verify the host's own name, which is instead compared with the name in
// the host's hello message.
const serverName = "link.turmericbarrow.internal"

// ALPNProtocol is the ALPN protocol name of links.
const ALPNProtocol = "turmericbarrow/1"

const (
	// serialBits is the size of a certificate's random serial number.
	serialBits = 120
	// backdate moves the start of a certificate's validity back, because the clocks of hosts
	// differ.
	backdate = time.Hour
)

// Authority is the certificate authority that signs the certificates of hosts.
type Authority struct {
	CertPEM []byte
	KeyPEM  []byte
}

// Credentials holds a host's certificate and private key, and the certificate of the authority
// that signed it.
type Credentials struct {
	AuthorityPEM []byte
	CertPEM      []byte
	KeyPEM       []byte
}

// NewAuthority creates an authority whose certificate is valid for the given time.
func NewAuthority(valid time.Duration) (Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Authority{}, errors.Annotate(err, "generate authority key")
	}
	t, err := certTemplate("turmericbarrow authority", "", valid)
	if err != nil {
		return Authority{}, errors.Annotate(err, "create authority certificate")
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return Authority{}, errors.Annotate(err, "sign authority certificate")
	}
	keyPEM, err := encodeKey(key)
	return Authority{CertPEM: encodeCert(der), KeyPEM: keyPEM}, err
}

// IssueCredentials creates a key and a certificate for the host with the given name and role.
func (a Authority) IssueCredentials(name string, role host.Role, valid time.Duration) (Credentials, error) {
	ca, err := tls.X509KeyPair(a.CertPEM, a.KeyPEM)
	if err != nil {
		return Credentials{}, errors.Annotate(err, "read authority")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Credentials{}, errors.Annotatef(err, "generate key of %s", name)
	}
	t, err := certTemplate(name, string(role), valid)
	if err != nil {
		return Credentials{}, errors.Annotatef(err, "create certificate of %s", name)
	}
	t.DNSNames = []string{serverName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, ca.Leaf, &key.PublicKey, ca.PrivateKey)
	if err != nil {
		return Credentials{}, errors.Annotatef(err, "sign certificate of %s", name)
	}
	keyPEM, err := encodeKey(key)
	return Credentials{AuthorityPEM: a.CertPEM, CertPEM: encodeCert(der), KeyPEM: keyPEM}, err
}

func certTemplate(name, role string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	subject := pkix.Name{CommonName: name}
	if role != "" {
		subject.OrganizationalUnit = []string{role}
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(valid),
	}, nil
}

func encodeCert(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Annotate(err, "encode key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// TLSConfig returns the TLS configuration for both ends of a link. Each end requires a
// certificate signed by the same authority.
func (c Credentials) TLSConfig() (*tls.Config, error) {
	cert, err := tls.X509KeyPair(c.CertPEM, c.KeyPEM)
	if err != nil {
		return nil, errors.Annotate(err, "read certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(c.AuthorityPEM) {
		return nil, errors.New("read authority: PEM data contains no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{ALPNProtocol},
	}, nil
}

// Expiry returns the time at which the host's certificate expires.
func (c Credentials) Expiry() (time.Time, error) {
	cert, err := tls.X509KeyPair(c.CertPEM, c.KeyPEM)
	if err != nil {
		return time.Time{}, errors.Annotate(err, "read certificate")
	}
	return cert.Leaf.NotAfter, nil
}

// PeerIdentity returns the name and role in a peer's certificate. With the configuration from
// Credentials.TLSConfig, the handshake has verified the certificate. With SelfSignedTLSConfig,
// it has not, and name and role are only the peer's claim.
func PeerIdentity(s tls.ConnectionState) (string, host.Role, error) {
	if len(s.PeerCertificates) == 0 {
		return "", "", errors.New("peer has no certificate")
	}
	subject := s.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return "", "", errors.Errorf("certificate of %s must have exactly one organizational unit, the role", subject.CommonName)
	}
	return subject.CommonName, host.Role(subject.OrganizationalUnit[0]), nil
}
