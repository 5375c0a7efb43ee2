package packet

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/flow"
)

// side selects the source or the destination of a packet.
type side uint8

const (
	source side = iota
	destination
)

// SetSource replaces the source address and, for TCP and UDP, the source port. It reports false
// and changes nothing if the endpoint has the other IP version.
func (p *Packet) SetSource(e flow.Endpoint) bool {
	_, ok := p.rewrite(&p.outer, source, e)
	return ok
}

// SetDestination replaces the destination address and, for TCP and UDP, the destination port.
// It reports false and changes nothing if the endpoint has the other IP version.
func (p *Packet) SetDestination(e flow.Endpoint) bool {
	_, ok := p.rewrite(&p.outer, destination, e)
	return ok
}

// SetEmbeddedSource replaces the source endpoint of the packet that an ICMP error quotes. It
// reports false and changes nothing if the packet is not an ICMP error or the endpoint has the
// other IP version.
func (p *Packet) SetEmbeddedSource(e flow.Endpoint) bool {
	return p.rewriteEmbedded(source, e)
}

// SetEmbeddedDestination replaces the destination endpoint of the packet that an ICMP error
// quotes. It reports false and changes nothing if the packet is not an ICMP error or the
// endpoint has the other IP version.
func (p *Packet) SetEmbeddedDestination(e flow.Endpoint) bool {
	return p.rewriteEmbedded(destination, e)
}

// TranslateErrorForTarget translates an ICMP error about a reply, which was addressed to the
// routed destination, for the target that sent the reply. It reports false and changes nothing
// if the packet is not an ICMP error or the endpoint has the other IP version.
func (p *Packet) TranslateErrorForTarget(target flow.Endpoint) bool {
	return p.SetEmbeddedSource(target) && p.SetDestination(target)
}

// TranslateErrorForClient translates an ICMP error about a packet that was forwarded to a target,
// so that the client sees the destination it addressed. If the target itself sent the error, its
// source is translated too. It reports false and changes nothing if the packet is not an ICMP
// error or the endpoint has the other IP version.
func (p *Packet) TranslateErrorForClient(routed flow.Endpoint) bool {
	target := p.embedded.endpoints[destination]
	sender := p.outer.endpoints[source]
	if !p.SetEmbeddedDestination(routed) {
		return false
	}
	if sender.Address16() == target.Address16() {
		return p.SetSource(routed)
	}
	return true
}

// rewriteEmbedded rewrites an endpoint of the quoted packet and updates the checksum of the
// ICMP message around it.
func (p *Packet) rewriteEmbedded(s side, e flow.Endpoint) bool {
	if p.embedded.version == 0 {
		return false
	}
	d, ok := p.rewrite(&p.embedded, s, e)
	if ok {
		d.updateChecksum(p.bytes[p.outer.checksum:][:2])
	}
	return ok
}

// rewrite replaces an endpoint and updates the checksums of its packet. It returns the
// difference over all bytes from the IP header on.
func (p *Packet) rewrite(h *header, s side, e flow.Endpoint) (checksumDelta, bool) {
	if e.Is4() != (h.version == 4) {
		return 0, false
	}
	a := e.Address16()
	if !h.hasPorts() {
		e = flow.EndpointFrom16(a, 0)
	}
	h.endpoints[s] = e
	if h.version == 6 {
		offset := h.network + ip6Source + ip6AddressSize*int(s)
		delta := replaceField(p.bytes[offset:offset+ip6AddressSize], a[:])
		return delta + p.rewriteTransport(h, s, delta, e), true
	}
	offset := h.network + ip4Source + ip4AddressSize*int(s)
	delta := replaceField(p.bytes[offset:offset+ip4AddressSize], a[12:])
	total := delta + delta.updateChecksum(p.bytes[h.network+ip4Checksum:][:2])
	return total + p.rewriteTransport(h, s, delta, e), true
}

// rewriteTransport replaces the port and updates the transport checksum, which also covers the
// addresses through the pseudo-header, except in ICMP over IPv4.
func (p *Packet) rewriteTransport(h *header, s side, addressDelta checksumDelta, e flow.Endpoint) checksumDelta {
	var portDelta checksumDelta
	if h.hasPorts() {
		var b [2]byte
		binary.BigEndian.PutUint16(b[:], e.Port())
		offset := h.transport + portSize*int(s)
		portDelta = replaceField(p.bytes[offset:offset+portSize], b[:])
	}
	if h.checksum == 0 || h.protocol == flow.ICMP {
		return portDelta
	}
	field := p.bytes[h.checksum : h.checksum+2]
	if h.protocol == flow.UDP {
		return portDelta + (addressDelta + portDelta).updateUDPChecksum(field)
	}
	return portDelta + (addressDelta + portDelta).updateChecksum(field)
}
