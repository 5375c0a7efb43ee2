package standin

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// maxDatagram is the largest UDP datagram over IPv4 in bytes.
const maxDatagram = 65_507

// socketBuffer is the size asked of the kernel for the buffers of busy sockets, in bytes.
const socketBuffer = 4 << 20

// Pair is a routed destination and a target that a packet was sent to.
type Pair struct {
	// Destination is the endpoint that the client addressed.
	Destination netip.AddrPort
	// Target is the endpoint that an entry VM chose.
	Target netip.AddrPort
}

// Fabric stands for the packet-spraying fabric. Clients send UDP to its sockets, one for
// each routed destination. It hands each packet, inside Geneve, to a random entry VM, and
// delivers what comes back: to a target from a socket that stands for the client, and to
// the client from the socket of the destination.
type Fabric struct {
	log       *slog.Logger
	tunnel    *net.UDPConn
	allowed   func(Pair) bool
	refused   func(client netip.AddrPort)
	mu        sync.RWMutex
	vms       []netip.AddrPort
	routes    map[netip.AddrPort]*net.UDPConn
	clients   map[netip.AddrPort]*fabricClient
	misrouted atomic.Int64
	random    func(n int) int
	done      sync.WaitGroup
}

// FabricOption changes a Fabric.
type FabricOption func(*Fabric)

// WithAllowed sets the rule that says which targets serve a destination. Packets for
// others are delivered nonetheless and counted as misrouted.
func WithAllowed(allowed func(Pair) bool) FabricOption {
	return func(f *Fabric) { f.allowed = allowed }
}

// WithRefused sets what is called when an entry VM refuses a client's flow.
func WithRefused(refused func(client netip.AddrPort)) FabricOption {
	return func(f *Fabric) { f.refused = refused }
}

// WithFabricSeed fixes the sequence of random choices.
func WithFabricSeed(seed uint64) FabricOption {
	return func(f *Fabric) {
		var mu sync.Mutex
		source := rand.New(rand.NewPCG(seed, seed))
		f.random = func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return source.IntN(n)
		}
	}
}

// StartFabric binds the address for Geneve, where port 0 takes a free one.
func StartFabric(ctx context.Context, address string, log *slog.Logger, options ...FabricOption) (*Fabric, error) {
	tunnel, err := listenUDP(ctx, address)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		log:     log,
		tunnel:  tunnel,
		allowed: func(Pair) bool { return true },
		refused: func(netip.AddrPort) {},
		routes:  make(map[netip.AddrPort]*net.UDPConn),
		clients: make(map[netip.AddrPort]*fabricClient),
		random:  rand.IntN,
	}
	for _, option := range options {
		option(f)
	}
	f.done.Go(f.readTunnel)
	return f, nil
}

func listenUDP(ctx context.Context, address string) (*net.UDPConn, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, err
	}
	socket := conn.(*net.UDPConn)
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	return socket, nil
}

func localAddress(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Address returns where the fabric takes Geneve datagrams from entry VMs.
func (f *Fabric) Address() netip.AddrPort { return localAddress(f.tunnel) }

// Misrouted returns the number of packets that went to a target or client that they
// were not for.
func (f *Fabric) Misrouted() int64 { return f.misrouted.Load() }

// SetVMs sets the entry VMs over which packets are sprayed.
func (f *Fabric) SetVMs(vms []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append([]netip.AddrPort(nil), vms...)
}

// Route binds a routed destination, where port 0 takes a free one, and returns it.
func (f *Fabric) Route(ctx context.Context, address string) (netip.AddrPort, error) {
	socket, err := listenUDP(ctx, address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	destination := localAddress(socket)
	f.mu.Lock()
	f.routes[destination] = socket
	f.mu.Unlock()
	serving := context.WithoutCancel(ctx)
	f.done.Go(func() { f.readRoute(serving, socket, destination) })
	return destination, nil
}

// Close ends all sockets and goroutines.
func (f *Fabric) Close() {
	_ = f.tunnel.Close()
	f.mu.Lock()
	for _, socket := range f.routes {
		_ = socket.Close()
	}
	for _, client := range f.clients {
		_ = client.socket.Close()
	}
	f.mu.Unlock()
	f.done.Wait()
}

func (f *Fabric) readRoute(ctx context.Context, socket *net.UDPConn, destination netip.AddrPort) {
	payload := make([]byte, maxDatagram)
	var buffer []byte
	for {
		n, client, err := socket.ReadFromUDPAddrPort(payload)
		if err != nil {
			return
		}
		if _, err = f.client(ctx, client, destination); err != nil {
			f.log.Error("fabric_client", "client", client, "error", err)
			continue
		}
		buffer = appendDatagram(buffer[:0], client, destination, payload[:n])
		f.spray(buffer)
	}
}

// spray sends an encapsulated packet to a random entry VM.
func (f *Fabric) spray(datagram []byte) {
	f.mu.RLock()
	vms := f.vms
	f.mu.RUnlock()
	if len(vms) == 0 {
		return
	}
	_, _ = f.tunnel.WriteToUDPAddrPort(datagram, vms[f.random(len(vms))])
}

func (f *Fabric) readTunnel() {
	datagram := make([]byte, maxDatagram)
	for {
		n, _, err := f.tunnel.ReadFromUDPAddrPort(datagram)
		if err != nil {
			return
		}
		f.deliver(datagram[:n])
	}
}

func (f *Fabric) deliver(datagram []byte) {
	inner, err := openDatagram(datagram)
	if err != nil {
		f.log.Warn("fabric_undecodable", "error", err)
		return
	}
	if inner.unreachable {
		f.refused(inner.destination)
		return
	}
	f.mu.RLock()
	socket, isReply := f.routes[inner.source]
	f.mu.RUnlock()
	if isReply {
		f.deliverReply(socket, inner)
		return
	}
	f.deliverRequest(inner)
}

func (f *Fabric) deliverReply(socket *net.UDPConn, inner innerPacket) {
	f.mu.RLock()
	client, known := f.clients[inner.destination]
	f.mu.RUnlock()
	if known && client.destination != inner.source {
		f.misrouted.Add(1)
		f.log.Error("fabric_misrouted_reply", "source", inner.source, "client", inner.destination)
	}
	_, _ = socket.WriteToUDPAddrPort(inner.payload, inner.destination)
}
