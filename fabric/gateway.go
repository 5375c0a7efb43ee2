package fabric

import (
	"net/netip"
	"sync/atomic"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/result"
)

// Defaults of a Gateway.
const (
	// defaultMTU is the maximum size of an IP packet on the fabric, in bytes.
	defaultMTU = 9000
	// defaultBatchSize is the maximum number of datagrams read by one system call.
	defaultBatchSize = 64
)

// sendFactor is the ratio of the sizes of a Sender's batch and a received batch. A Sender
// flushes early if a handler sends more datagrams for each received one.
const sendFactor = 2

// Sizes in bytes of the headers in front of a Geneve header.
const (
	ip4HeaderSize = 20
	ip6HeaderSize = 40
	udpHeaderSize = 8
)

// Gateway holds what the workers of one entry VM share: addresses, keys, limits and the
// member list, from which it takes the addresses of other entry VMs.
type Gateway struct {
	self        fleet.ID
	fabric      netip.AddrPort
	keys        *geneve.Keys
	list        atomic.Pointer[fleet.List]
	vni         geneve.VNI
	mtu         int
	batchSize   int
	countResult func(result.Code)
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithVNI sets the network identifier, which is 0 by default.
func WithVNI(vni geneve.VNI) Option {
	return func(g *Gateway) { g.vni = vni }
}

// WithMTU sets the maximum size in bytes of an IP packet on the fabric, including the
// encapsulation. The default is 9000.
func WithMTU(mtu int) Option {
	return func(g *Gateway) { g.mtu = mtu }
}

// WithBatchSize sets the maximum number of datagrams that are read by one system call. The
// default is 64.
func WithBatchSize(batchSize int) Option {
	return func(g *Gateway) { g.batchSize = batchSize }
}

// WithResultFunc sets the function that is called with the result of each packet. It must be
// safe for concurrent use.
func WithResultFunc(count func(result.Code)) Option {
	return func(g *Gateway) { g.countResult = count }
}

// NewGateway returns a Gateway for the entry VM self, which sends packets to the fabric at
// the given address and tags messages to other entry VMs with keys. Until SetList is called
// it knows no other entry VM.
func NewGateway(self fleet.ID, fabric netip.AddrPort, keys *geneve.Keys, options ...Option) *Gateway {
	g := &Gateway{
		self:        self,
		fabric:      fabric,
		keys:        keys,
		mtu:         defaultMTU,
		batchSize:   defaultBatchSize,
		countResult: func(result.Code) {},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// SetList sets the member list that the addresses of other entry VMs are taken from.
func (g *Gateway) SetList(list *fleet.List) { g.list.Store(list) }

// peerAddress returns the address at which an entry VM receives datagrams. It returns false
// if the VM is not in the list.
func (g *Gateway) peerAddress(id fleet.ID) (netip.AddrPort, bool) {
	list := g.list.Load()
	if list == nil {
		return netip.AddrPort{}, false
	}
	vm, ok := list.Find(id)
	if !ok {
		return netip.AddrPort{}, false
	}
	return vm.DataAddress(), true
}

// maxDatagramSize returns the maximum size in bytes of a datagram that fits into the MTU,
// without the headers of IP and UDP.
func (g *Gateway) maxDatagramSize() int {
	if g.fabric.Addr().Is4() {
		return g.mtu - ip4HeaderSize - udpHeaderSize
	}
	return g.mtu - ip6HeaderSize - udpHeaderSize
}
