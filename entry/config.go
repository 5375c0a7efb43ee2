package entry

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/peers"
)

// Config is what a daemon knows before it has heard anything. Addresses with port 0
// bind a free port.
type Config struct {
	// Name is the name of the entry VM in the published list.
	Name string
	// Domain is the failure domain.
	Domain string
	// DataAddress is where Geneve datagrams arrive.
	DataAddress netip.AddrPort
	// PeerAddress is where other daemons call.
	PeerAddress netip.AddrPort
	// OperatorAddress is where operators query and scrape.
	OperatorAddress netip.AddrPort
	// FabricAddress is where inner packets go that leave the entry VMs.
	FabricAddress netip.AddrPort
	// PlatformEndpoints are the base URLs of the platform's service.
	PlatformEndpoints []string
	// SeedPeers are daemons to ask when the platform gives no list. Of them the name and
	// the peer address count.
	SeedPeers []fleet.VM
	// FleetSize is the number of daemons expected before the list is known.
	FleetSize int
	// Network is the Geneve network of the fabric.
	Network geneve.VNI
	// MTU is the largest IP packet in bytes that the fabric carries.
	MTU int
	// Keys sign and check what daemons send each other.
	Keys *geneve.Keys
	// PeerKeys are what daemons prove themselves to each other with. With nil they trust
	// every caller and use loopback addresses only.
	PeerKeys *peers.Keys
	// HashSeed is the seed of flow hashes, the same at every daemon of the fleet.
	HashSeed uint64
	// Workers is the number of goroutines that read datagrams.
	Workers int
	// MaxFlows is the largest number of flows held.
	MaxFlows int
	// ControlRate bounds control traffic, in bytes a second.
	ControlRate int
	// OpeningLifetime is the longest span for which an opening packet or a
	// retransmission of it can be under way, and the age below which a daemon takes no
	// part in decisions about flows that may not be repeated.
	OpeningLifetime clock.Millis
	// StopTimeout is the longest span that a graceful stop takes.
	StopTimeout clock.Millis
	// StartTimeout is the longest span that a daemon waits for the first tables and the
	// first list. Zero means without end.
	StartTimeout clock.Millis
	// AuditEntries is the number of changes that the audit trail keeps.
	AuditEntries int
}

// Defaults of a Config.
const (
	DefaultMTU             = 1500
	DefaultWorkers         = 2
	DefaultMaxFlows        = 1_000_000
	DefaultControlRate     = 24_000
	DefaultFleetSize       = 8
	DefaultOpeningLifetime = 120 * clock.Second
	DefaultStopTimeout     = 10 * clock.Second
)

// withDefaults fills in what is not set.
func (c Config) withDefaults() Config {
	fill(&c.MTU, DefaultMTU)
	fill(&c.Workers, DefaultWorkers)
	fill(&c.MaxFlows, DefaultMaxFlows)
	fill(&c.ControlRate, DefaultControlRate)
	fill(&c.FleetSize, DefaultFleetSize)
	fill(&c.OpeningLifetime, DefaultOpeningLifetime)
	fill(&c.StopTimeout, DefaultStopTimeout)
	fill(&c.AuditEntries, operator.DefaultTrailSize)
	return c
}

func fill[T comparable](field *T, value T) {
	var unset T
	if *field == unset {
		*field = value
	}
}
