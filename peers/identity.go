// Package peers implements the gRPC calls between the daemons of a fleet over mutual TLS 1.3.
// Daemons exchange membership messages, pull documents and send flow records for repair.
package peers

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"

	"google.golang.org/grpc/credentials"

	"github.com/almondflow/almondflow/fleet"
)

// Identity provides the certificate of a daemon and the authorities that it trusts.
type Identity interface {
	// Certificate returns the certificate chain of the daemon with its private key. The
	// first DNS name of the leaf certificate is the name of the daemon's VM.
	Certificate() tls.Certificate
	// Authorities returns the authorities that sign the certificates of the daemons.
	Authorities() *x509.CertPool
}

// IdentityHolder holds the identity in use, which can be replaced while connections are
// open. It is safe for concurrent use.
type IdentityHolder struct {
	current atomic.Pointer[identityGeneration]
}

// identityGeneration is an identity with a number that increases with each replacement.
type identityGeneration struct {
	number   uint64
	identity Identity
}

// NewIdentityHolder returns an IdentityHolder with an initial identity.
func NewIdentityHolder(identity Identity) *IdentityHolder {
	h := &IdentityHolder{}
	h.current.Store(&identityGeneration{number: 1, identity: identity})
	return h
}

// Replace replaces the identity for new connections. Clients reopen their connections at the
// next call, so that they no longer trust an authority that was removed.
func (h *IdentityHolder) Replace(identity Identity) {
	for {
		old := h.current.Load()
		if h.current.CompareAndSwap(old, &identityGeneration{number: old.number + 1, identity: identity}) {
			return
		}
	}
}

// serverCredentials returns credentials that require every caller to have a certificate of
// the fleet. They use the identity in use at the time of each handshake.
func (h *IdentityHolder) serverCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			identity := h.current.Load().identity
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{identity.Certificate()},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    identity.Authorities(),
				NextProtos:   []string{"h2"},
			}, nil
		},
	})
}

// clientCredentials returns credentials that require the server's certificate to be valid
// for the VM of the given name.
func (g *identityGeneration) clientCredentials(name string) credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{g.identity.Certificate()},
		RootCAs:      g.identity.Authorities(),
		ServerName:   name,
	})
}

// callerID returns the ID of the VM that the certificate of a caller names. It returns false
// if the certificate is not verified or has no DNS name.
func callerID(state *tls.ConnectionState) (fleet.ID, bool) {
	if len(state.VerifiedChains) == 0 {
		return 0, false
	}
	names := state.PeerCertificates[0].DNSNames
	if len(names) == 0 {
		return 0, false
	}
	return fleet.NewID(names[0]), true
}
