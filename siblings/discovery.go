package siblings

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
)

const (
	// discoveryTime is how long a VM that started takes to learn which VMs read the store before
	// it, in a large deployment whose VMs all start at the same time.
	discoveryTime = 5 * clock.Second
	// discoverySpread is the number of ranks over which VMs spread that know no other VM yet.
	discoverySpread = 16
)

// Discovery assumes a rank for a VM that has just started and knows few other VMs. All VMs know the
// seeds, so these read the store first. The others assume a random rank after them. Otherwise all
// VMs that start together would read at the same time.
type Discovery struct {
	assumedRank int
}

// NewDiscovery returns the discovery of the VM with the given address. Its rank among the seeds is
// its position in the list.
func NewDiscovery(self netip.Addr, seeds []netip.AddrPort, random *rand.Rand) Discovery {
	position := slices.IndexFunc(seeds, func(seed netip.AddrPort) bool { return seed.Addr() == self })
	if position >= 0 {
		return Discovery{assumedRank: position}
	}
	return Discovery{assumedRank: len(seeds) + random.IntN(discoverySpread)}
}

// Rank returns how many VMs read the store before this one, given the time since the start of this
// VM and its rank among the VMs that it knows.
func (d Discovery) Rank(sinceStart clock.Millis, known int) int {
	if sinceStart >= discoveryTime {
		return known
	}
	return max(known, d.assumedRank)
}
