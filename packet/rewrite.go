package packet

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/flow"
)

// side is an end of a packet's way.
type side uint8

const (
	source side = iota
	destination
)

// SetSource writes another source address and, for TCP and UDP, port. It reports false
// and changes nothing when the endpoint is of the other IP version.
func (p *Packet) SetSource(e flow.Endpoint) bool {
	_, ok := p.rewrite(&p.outer, source, e)
	return ok
}

// SetDestination writes another destination address and, for TCP and UDP, port. It
// reports false and changes nothing when the endpoint is of the other IP version.
func (p *Packet) SetDestination(e flow.Endpoint) bool {
	_, ok := p.rewrite(&p.outer, destination, e)
	return ok
}

// SetEmbeddedSource writes another source endpoint into the packet that an ICMP error
// quotes. It reports false and changes nothing when there is none, or when the endpoint
// is of the other IP version.
func (p *Packet) SetEmbeddedSource(e flow.Endpoint) bool {
	return p.rewriteEmbedded(source, e)
}

// SetEmbeddedDestination writes another destination endpoint into the packet that an
// ICMP error quotes. It reports false and changes nothing when there is none, or when
// the endpoint is of the other IP version.
func (p *Packet) SetEmbeddedDestination(e flow.Endpoint) bool {
	return p.rewriteEmbedded(destination, e)
}

// ErrorToTarget translates an ICMP error about a reply, which was addressed to the
// routed destination, so that it reaches the target that sent the reply. It reports
// false and changes nothing when the packet is no ICMP error or of the other IP version.
func (p *Packet) ErrorToTarget(target flow.Endpoint) bool {
	return p.SetEmbeddedSource(target) && p.SetDestination(target)
}

// ErrorToClient translates an ICMP error about a packet that was sent on to a target,
// so that the client finds the destination it addressed. The error's own source changes
// too when the target sent it. It reports false and changes nothing when the packet is
// no ICMP error or of the other IP version.
func (p *Packet) ErrorToClient(routed flow.Endpoint) bool {
	target := p.embedded.ends[destination]
	sender := p.outer.ends[source]
	if !p.SetEmbeddedDestination(routed) {
		return false
	}
	if sender.Address16() == target.Address16() {
		return p.SetSource(routed)
	}
	return true
}

// rewriteEmbedded also corrects the checksum of the ICMP message around the packet.
func (p *Packet) rewriteEmbedded(s side, e flow.Endpoint) bool {
	if p.embedded.version == 0 {
		return false
	}
	c, ok := p.rewrite(&p.embedded, s, e)
	if ok {
		c.adjust(p.bytes[p.outer.checksum:][:2])
	}
	return ok
}

// rewrite writes an endpoint and corrects the checksums of its packet. It returns the
// change of all the bytes from the IP header on.
func (p *Packet) rewrite(h *header, s side, e flow.Endpoint) (change, bool) {
	if e.Is4() != (h.version == 4) {
		return 0, false
	}
	a := e.Address16()
	if !h.hasPorts() {
		e = flow.EndpointOf(a, 0)
	}
	h.ends[s] = e
	if h.version == 6 {
		from := h.network + ip6Source + ip6AddressSize*int(s)
		c := replace(p.bytes[from:from+ip6AddressSize], a[:])
		return c + p.rewriteTransport(h, s, c, e), true
	}
	from := h.network + ip4Source + ip4AddressSize*int(s)
	c := replace(p.bytes[from:from+ip4AddressSize], a[12:])
	total := c + c.adjust(p.bytes[h.network+ip4Checksum:][:2])
	return total + p.rewriteTransport(h, s, c, e), true
}

// rewriteTransport writes the port and corrects the transport checksum, which covers
// the addresses through the pseudo-header except in ICMP over IPv4.
func (p *Packet) rewriteTransport(h *header, s side, address change, e flow.Endpoint) change {
	var port change
	if h.hasPorts() {
		var b [2]byte
		binary.BigEndian.PutUint16(b[:], e.Port())
		from := h.transport + portSize*int(s)
		port = replace(p.bytes[from:from+portSize], b[:])
	}
	if h.checksum == 0 || h.protocol == flow.ICMP {
		return port
	}
	field := p.bytes[h.checksum : h.checksum+2]
	if h.protocol == flow.UDP {
		return port + (address + port).adjustUDP(field)
	}
	return port + (address + port).adjust(field)
}
