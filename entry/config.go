package entry

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/peers"
)

// Config holds the settings of a Daemon. Zero values of the fields that have a default
// below select the default. A listen address with port 0 binds a free port.
type Config struct {
	// Name is the name of this entry VM in the list of entry VMs.
	Name string
	// Domain is the failure domain of this entry VM.
	Domain string
	// DataAddress is the listen address for Geneve datagrams.
	DataAddress netip.AddrPort
	// PeerAddress is the listen address for gRPC calls of other daemons.
	PeerAddress netip.AddrPort
	// OperatorAddress is the listen address of the operator endpoint.
	OperatorAddress netip.AddrPort
	// FabricAddress is the address that packets for clients and targets are sent to.
	FabricAddress netip.AddrPort
	// PlatformEndpoints are the base URLs of the platform's service.
	PlatformEndpoints []string
	// SeedPeers are the daemons to pull the list and the tables from until the first list
	// arrives, so that the daemon can start while the platform is unavailable. Only their
	// names and peer addresses are used.
	SeedPeers []fleet.VM
	// FleetSize is the number of daemons to assume until the first list arrives.
	FleetSize int
	// VNI is the Geneve network identifier of the fabric.
	VNI geneve.VNI
	// MTU is the largest IP packet in bytes that the fabric carries.
	MTU int
	// Keys sign and verify the messages that daemons send each other in datagrams.
	Keys *geneve.Keys
	// PeerKeys authenticate daemons to each other in gRPC calls. If nil, the daemon trusts
	// every caller, and makes and accepts calls on loopback addresses only.
	PeerKeys *peers.IdentityHolder
	// HashSeed is the seed of flow hashes. All daemons of a fleet need the same seed.
	HashSeed uint64
	// Workers is the number of goroutines that read datagrams.
	Workers int
	// MaxFlows is the maximum number of flows in the flow table.
	MaxFlows int
	// ControlBytesPerSecond is the rate limit of the control traffic that the daemon sends.
	ControlBytesPerSecond int
	// OpeningLifetime is the longest time that an opening packet or a retransmission of
	// it can be in transit. A daemon that has run for less than this time takes no part
	// in decisions about non-repeatable flows.
	OpeningLifetime clock.Millis
	// StopTimeout is the maximum duration of a graceful shutdown.
	StopTimeout clock.Millis
	// StartTimeout is the maximum time that a daemon waits for the first tables and the
	// first list. Zero means no limit.
	StartTimeout clock.Millis
	// AuditEntries is the number of records that the audit trail keeps.
	AuditEntries int
}

// Default values of Config fields. Times are in milliseconds, DefaultMTU is in bytes and
// DefaultControlRate in bytes per second.
const (
	DefaultMTU             = 1500
	DefaultWorkers         = 2
	DefaultMaxFlows        = 1_000_000
	DefaultControlRate     = 24_000
	DefaultFleetSize       = 8
	DefaultOpeningLifetime = 120 * clock.Second
	DefaultStopTimeout     = 10 * clock.Second
)

// withDefaults returns the Config with the default of each field that has its zero value.
func (c Config) withDefaults() Config {
	setDefault(&c.MTU, DefaultMTU)
	setDefault(&c.Workers, DefaultWorkers)
	setDefault(&c.MaxFlows, DefaultMaxFlows)
	setDefault(&c.ControlBytesPerSecond, DefaultControlRate)
	setDefault(&c.FleetSize, DefaultFleetSize)
	setDefault(&c.OpeningLifetime, DefaultOpeningLifetime)
	setDefault(&c.StopTimeout, DefaultStopTimeout)
	setDefault(&c.AuditEntries, operator.DefaultAuditEntries)
	return c
}

// setDefault assigns value to a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
