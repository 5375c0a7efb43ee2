package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/quic-go/quic-go/http3"
)

// serverName is the DNS name in the certificate of stand-in targets.
const serverName = "target.almondflow.test"

// certificateLifetime far exceeds any run of the stand-ins.
const certificateLifetime = 24 * time.Hour

// Certificates holds the TLS settings of stand-in targets and of clients that trust them. The
// private key is kept in memory only.
type Certificates struct {
	server *tls.Config
	client *tls.Config
}

// NewCertificates creates a self-signed certificate that is valid for 24 hours.
func NewCertificates() (*Certificates, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	trusted := x509.NewCertPool()
	trusted.AddCert(leaf)
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
	return &Certificates{
		server: &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, NextProtos: []string{http3.NextProtoH3}},
		client: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: trusted, ServerName: serverName, NextProtos: []string{http3.NextProtoH3}},
	}, nil
}

// Client returns the TLS settings for a client of the targets.
func (c *Certificates) Client() *tls.Config { return c.client.Clone() }
