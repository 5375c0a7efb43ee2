package demo

import (
	"encoding/binary"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/entry"
	"github.com/almondflow/almondflow/geneve"
)

// openingLifetime is above the span for which a client of the demo tries to connect.
const openingLifetime = 9 * clock.Second

// fabricMTU leaves room for the encapsulation of the packets that clients send.
const fabricMTU = 9000

const secretSize = 32

// config returns what the daemon of one entry VM is told. Its ports are free ones.
func (w *world) config(name, domain string) entry.Config {
	free := netip.MustParseAddrPort(anyPort)
	return entry.Config{
		Name:              name,
		Domain:            domain,
		DataAddress:       free,
		PeerAddress:       free,
		OperatorAddress:   free,
		FabricAddress:     w.fabric.Address(),
		PlatformEndpoints: []string{w.platformAt},
		Keys:              w.keys,
		HashSeed:          w.seed,
		MTU:               fabricMTU,
		Workers:           1,
		OpeningLifetime:   openingLifetime,
	}
}

// newKeys derives the key of the fleet from the seed.
func newKeys(seed uint64) (*geneve.Keys, error) {
	secret := make([]byte, secretSize)
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
