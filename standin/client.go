package standin

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// clientIdle is the span without replies after which the socket of a client is closed.
const clientIdle = 40 * time.Second

// fabricClient is the socket that stands for one client endpoint before the targets.
type fabricClient struct {
	endpoint    netip.AddrPort
	destination netip.AddrPort
	socket      *net.UDPConn
}

// client returns the socket of a client endpoint that addresses a destination.
func (f *Fabric) client(ctx context.Context, endpoint, destination netip.AddrPort) (*fabricClient, error) {
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
	fresh := &fabricClient{endpoint: endpoint, destination: destination, socket: socket}
	f.mu.Lock()
	f.clients[endpoint] = fresh
	f.mu.Unlock()
	if known {
		_ = c.socket.Close()
	}
	f.done.Go(func() { f.readTargets(fresh) })
	return fresh, nil
}

// readTargets sends what targets answer to the client over the entry VMs.
func (f *Fabric) readTargets(c *fabricClient) {
	defer f.forget(c)
	payload := make([]byte, maxDatagram)
	var buffer []byte
	for {
		_ = c.socket.SetReadDeadline(time.Now().Add(clientIdle))
		n, target, err := c.socket.ReadFromUDPAddrPort(payload)
		if err != nil {
			return
		}
		buffer = appendDatagram(buffer[:0], target, c.endpoint, payload[:n])
		f.spray(buffer)
	}
}

func (f *Fabric) forget(c *fabricClient) {
	_ = c.socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clients[c.endpoint] == c {
		delete(f.clients, c.endpoint)
	}
}

// deliverRequest sends a client's packet to the target that an entry VM chose.
func (f *Fabric) deliverRequest(inner innerPacket) {
	f.mu.RLock()
	c, known := f.clients[inner.source]
	f.mu.RUnlock()
	if !known {
		f.log.Warn("fabric_unknown_client", "client", inner.source, "target", inner.destination)
		return
	}
	if !f.allowed(Pair{Destination: c.destination, Target: inner.destination}) {
		f.misrouted.Add(1)
		f.log.Error("fabric_misrouted", "client", inner.source, "destination", c.destination, "target", inner.destination)
	}
	_, _ = c.socket.WriteToUDPAddrPort(inner.payload, inner.destination)
}
