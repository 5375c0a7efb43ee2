// Package peers carries messages between the daemons of a fleet over grpc with mutual
// TLS 1.3: membership, pulls of documents and flow records for repair.
package peers

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"

	"google.golang.org/grpc/credentials"

	"github.com/almondflow/almondflow/fleet"
)

// Identity is what a daemon proves itself with and checks others by.
type Identity interface {
	// Certificate returns the chain whose leaf names the daemon's VM in its first DNS
	// name, with its private key.
	Certificate() tls.Certificate
	// Authorities returns what signs the certificates of the daemons.
	Authorities() *x509.CertPool
}

// Keys holds the identity in use, which may be replaced while connections are open. It
// is safe for concurrent use.
type Keys struct {
	current atomic.Pointer[keyGeneration]
}

type keyGeneration struct {
	number   uint64
	identity Identity
}

// NewKeys returns Keys that use an identity.
func NewKeys(identity Identity) *Keys {
	k := &Keys{}
	k.current.Store(&keyGeneration{number: 1, identity: identity})
	return k
}

// Replace takes a new identity into use for connections that open from now on. Clients
// reopen theirs at the next call, so that a removed authority is no longer trusted.
func (k *Keys) Replace(identity Identity) {
	for {
		old := k.current.Load()
		if k.current.CompareAndSwap(old, &keyGeneration{number: old.number + 1, identity: identity}) {
			return
		}
	}
}

// serverCredentials demand a certificate of the fleet from every caller.
func (k *Keys) serverCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			identity := k.current.Load().identity
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

// clientCredentials demand that the server is the VM of the name.
func (g *keyGeneration) clientCredentials(name string) credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{g.identity.Certificate()},
		RootCAs:      g.identity.Authorities(),
		ServerName:   name,
	})
}

// callerID returns the identity that a verified caller's certificate names.
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
