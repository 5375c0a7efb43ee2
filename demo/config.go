package demo

import (
	"encoding/binary"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/entry"
	"github.com/almondflow/almondflow/geneve"
)

// openingLifetime exceeds dialTimeout, the time for which a client tries to connect.
const openingLifetime = 9 * clock.Second

// fabricMTU is the MTU of the fabric in bytes. It leaves room for the
// encapsulation of packets from clients.
const fabricMTU = 9000

// secretBytes is the length of a steering key.
const secretBytes = 32

// config returns the configuration of an entry VM, which listens on free ports.
func (e *environment) config(name, domain string) entry.Config {
	free := netip.MustParseAddrPort(anyPort)
	return entry.Config{
		Name:              name,
		Domain:            domain,
		DataAddress:       free,
		PeerAddress:       free,
		OperatorAddress:   free,
		FabricAddress:     e.fabric.Address(),
		PlatformEndpoints: []string{e.platformURL},
		Keys:              e.keys,
		HashSeed:          e.seed,
		MTU:               fabricMTU,
		Workers:           1,
		OpeningLifetime:   openingLifetime,
	}
}

// newKeys derives the steering key of all entry VMs from the seed.
func newKeys(seed uint64) (*geneve.Keys, error) {
	secret := make([]byte, secretBytes)
	binary.BigEndian.PutUint64(secret, seed)
	key, err := geneve.NewKey(1, secret)
	if err != nil {
		return nil, err
	}
	ring, err := geneve.NewKeyRing(key)
	if err != nil {
		return nil, err
	}
	return geneve.NewKeys(ring), nil
}
