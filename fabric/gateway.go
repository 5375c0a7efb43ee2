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
	// defaultMTU is the largest IP packet that the fabric carries, in bytes.
	defaultMTU = 9000
	// defaultBatch is the number of datagrams read by one system call.
	defaultBatch = 64
)

// sendFactor is how many datagrams may be sent for each one received before a batch is
// flushed early.
const sendFactor = 2

// Sizes in bytes of the headers around a Geneve header.
const (
	ip4HeaderSize = 20
	ip6HeaderSize = 40
	udpHeaderSize = 8
)

// Gateway holds what the workers of one entry VM share: addresses, keys, limits and the
// published list, by which entry VMs are found.
type Gateway struct {
	self   fleet.ID
	fabric netip.AddrPort
	keys   *geneve.Keys
	list   atomic.Pointer[fleet.List]
	vni    geneve.VNI
	mtu    int
	batch  int
	count  func(result.Code)
}

// Option changes a Gateway.
type Option func(*Gateway)

// WithVNI sets the network identifier, which is 0 by default.
func WithVNI(vni geneve.VNI) Option {
	return func(g *Gateway) { g.vni = vni }
}

// WithMTU sets the size in bytes of the largest IP packet that the fabric carries, with
// all encapsulation.
func WithMTU(mtu int) Option {
	return func(g *Gateway) { g.mtu = mtu }
}

// WithBatch sets the number of datagrams that are read by one system call.
func WithBatch(batch int) Option {
	return func(g *Gateway) { g.batch = batch }
}

// WithCount sets what is called with the result of each packet. It must be safe for
// concurrent use.
func WithCount(count func(result.Code)) Option {
	return func(g *Gateway) { g.count = count }
}

// NewGateway returns a Gateway for the entry VM self, which hands packets to the fabric
// at an address and tags messages to other entry VMs. Until SetList is called it finds
// no other entry VM.
func NewGateway(self fleet.ID, fabric netip.AddrPort, keys *geneve.Keys, options ...Option) *Gateway {
	g := &Gateway{
		self:   self,
		fabric: fabric,
		keys:   keys,
		mtu:    defaultMTU,
		batch:  defaultBatch,
		count:  func(result.Code) {},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// SetList sets the published list by which entry VMs are found.
func (g *Gateway) SetList(list *fleet.List) { g.list.Store(list) }

// find returns where an entry VM takes datagrams.
func (g *Gateway) find(id fleet.ID) (netip.AddrPort, bool) {
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

// limit returns the largest datagram in bytes that fits the MTU, without the headers of
// IP and UDP.
func (g *Gateway) limit() int {
	if g.fabric.Addr().Is4() {
		return g.mtu - ip4HeaderSize - udpHeaderSize
	}
	return g.mtu - ip6HeaderSize - udpHeaderSize
}
