package standin

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// clientIdleTimeout is the time without replies after which the socket of a client is closed.
const clientIdleTimeout = 40 * time.Second

// fabricClient is the socket from which targets receive the packets of a client endpoint.
type fabricClient struct {
	endpoint    netip.AddrPort
	destination netip.AddrPort
	socket      *net.UDPConn
}

// ensureClient returns the socket of a client endpoint. It opens one if the endpoint has none or
// addresses another destination than before.
func (f *Fabric) ensureClient(ctx context.Context, endpoint, destination netip.AddrPort) (*fabricClient, error) {
	f.mu.RLock()
	c, known := f.clients[endpoint]
	f.mu.RUnlock()
	if known && c.destination == destination {
		return c, nil
	}
	socket, err := listenUDP(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	opened := &fabricClient{endpoint: endpoint, destination: destination, socket: socket}
	f.mu.Lock()
	f.clients[endpoint] = opened
	f.mu.Unlock()
	if known {
		_ = c.socket.Close()
	}
	f.goroutines.Go(func() { f.forwardReplies(opened) })
	return opened, nil
}

// forwardReplies sends the replies of targets through entry VMs until the socket is idle for
// clientIdleTimeout or closed.
func (f *Fabric) forwardReplies(c *fabricClient) {
	defer f.removeClient(c)
	payload := make([]byte, maxDatagramBytes)
	var buffer []byte
	for {
		_ = c.socket.SetReadDeadline(time.Now().Add(clientIdleTimeout))
		n, target, err := c.socket.ReadFromUDPAddrPort(payload)
		if err != nil {
			return
		}
		buffer = appendDatagram(buffer[:0], target, c.endpoint, payload[:n])
		f.spray(buffer)
	}
}

// removeClient closes a client's socket and removes it unless another took its place.
func (f *Fabric) removeClient(c *fabricClient) {
	_ = c.socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clients[c.endpoint] == c {
		delete(f.clients, c.endpoint)
	}
}

// deliverRequest sends a client's packet to the target that an entry VM selected.
func (f *Fabric) deliverRequest(inner innerPacket) {
	f.mu.RLock()
	c, known := f.clients[inner.source]
	f.mu.RUnlock()
	if !known {
		f.log.Warn("fabric_unknown_client", "client", inner.source, "target", inner.destination)
		return
	}
	if !f.isAllowed(Delivery{Destination: c.destination, Target: inner.destination}) {
		f.misrouted.Add(1)
		f.log.Error("fabric_misrouted", "client", inner.source, "destination", c.destination, "target", inner.destination)
	}
	_, _ = c.socket.WriteToUDPAddrPort(inner.payload, inner.destination)
}
