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

// maxDatagramBytes is the size of the largest UDP payload over IPv4.
const maxDatagramBytes = 65_507

// socketBufferBytes is the size requested for the kernel buffers of each socket.
const socketBufferBytes = 4 << 20

// Delivery is a packet from a client that an entry VM sent to a target.
type Delivery struct {
	// Destination is the endpoint that the client addressed.
	Destination netip.AddrPort
	// Target is the endpoint that the entry VM selected.
	Target netip.AddrPort
}

// Fabric is a stand-in for the packet-spraying fabric. Clients send UDP to its sockets, one for
// each routed destination. It encapsulates each packet in Geneve and sends it to a random entry
// VM. Packets from entry VMs go to a target from a socket kept for the client, or to the client
// from the socket of the destination.
type Fabric struct {
	log        *slog.Logger
	tunnel     *net.UDPConn
	isAllowed  func(Delivery) bool
	onRefusal  func(client netip.AddrPort)
	mu         sync.RWMutex
	vms        []netip.AddrPort
	routes     map[netip.AddrPort]*net.UDPConn
	clients    map[netip.AddrPort]*fabricClient
	misrouted  atomic.Int64
	random     func(n int) int
	goroutines sync.WaitGroup
}

// FabricOption configures a Fabric.
type FabricOption func(*Fabric)

// WithDeliveryCheck sets a function that reports whether a target serves a destination.
// Deliveries that fail the check are still made, but counted as misrouted. By default all pass.
func WithDeliveryCheck(isAllowed func(Delivery) bool) FabricOption {
	return func(f *Fabric) { f.isAllowed = isAllowed }
}

// WithRefusalHandler sets a function to call when an entry VM refuses a client's flow.
func WithRefusalHandler(onRefusal func(client netip.AddrPort)) FabricOption {
	return func(f *Fabric) { f.onRefusal = onRefusal }
}

// WithFabricSeed makes the sequence of randomly selected entry VMs reproducible.
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

// StartFabric listens for Geneve datagrams on an address and serves until Close. Port 0 selects
// a free port.
func StartFabric(ctx context.Context, address string, log *slog.Logger, options ...FabricOption) (*Fabric, error) {
	tunnel, err := listenUDP(ctx, address)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		log:       log,
		tunnel:    tunnel,
		isAllowed: func(Delivery) bool { return true },
		onRefusal: func(netip.AddrPort) {},
		routes:    make(map[netip.AddrPort]*net.UDPConn),
		clients:   make(map[netip.AddrPort]*fabricClient),
		random:    rand.IntN,
	}
	for _, option := range options {
		option(f)
	}
	f.goroutines.Go(f.readTunnel)
	return f, nil
}

// listenUDP opens an IPv4 UDP socket with large buffers.
func listenUDP(ctx context.Context, address string) (*net.UDPConn, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, err
	}
	socket := conn.(*net.UDPConn)
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return socket, nil
}

func localAddress(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Address returns the address that receives Geneve datagrams from entry VMs.
func (f *Fabric) Address() netip.AddrPort { return localAddress(f.tunnel) }

// Misrouted returns the number of packets that were sent to a wrong target or client.
func (f *Fabric) Misrouted() int64 { return f.misrouted.Load() }

// SetVMs sets the entry VMs over which packets are sprayed.
func (f *Fabric) SetVMs(vms []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append([]netip.AddrPort(nil), vms...)
}

// Route listens for UDP from clients on the address of a routed destination and returns the
// destination. Port 0 selects a free port.
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
	f.goroutines.Go(func() { f.readRoute(serving, socket, destination) })
	return destination, nil
}

// Close closes all sockets and waits for the goroutines to end.
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
	f.goroutines.Wait()
}

// readRoute forwards packets from clients to entry VMs until the socket is closed.
func (f *Fabric) readRoute(ctx context.Context, socket *net.UDPConn, destination netip.AddrPort) {
	payload := make([]byte, maxDatagramBytes)
	var buffer []byte
	for {
		n, client, err := socket.ReadFromUDPAddrPort(payload)
		if err != nil {
			return
		}
		if _, err = f.ensureClient(ctx, client, destination); err != nil {
			f.log.Error("fabric_client", "client", client, "error", err)
			continue
		}
		buffer = appendDatagram(buffer[:0], client, destination, payload[:n])
		f.spray(buffer)
	}
}

// spray sends an encapsulated packet to a random entry VM, or drops it if there is none.
func (f *Fabric) spray(datagram []byte) {
	f.mu.RLock()
	vms := f.vms
	f.mu.RUnlock()
	if len(vms) == 0 {
		return
	}
	_, _ = f.tunnel.WriteToUDPAddrPort(datagram, vms[f.random(len(vms))])
}

// readTunnel delivers packets from entry VMs until the tunnel is closed.
func (f *Fabric) readTunnel() {
	datagram := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.tunnel.ReadFromUDPAddrPort(datagram)
		if err != nil {
			return
		}
		f.deliver(datagram[:n])
	}
}

// deliver handles a datagram from an entry VM: a refusal, a reply or a client's packet.
func (f *Fabric) deliver(datagram []byte) {
	inner, err := decodeDatagram(datagram)
	if err != nil {
		f.log.Warn("fabric_undecodable", "error", err)
		return
	}
	if inner.unreachable {
		f.onRefusal(inner.destination)
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

// deliverReply sends a reply to its client from the socket of the destination.
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
