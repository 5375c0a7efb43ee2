package fabric

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Batch holds datagrams in buffers that are allocated once and reused.
type Batch struct {
	slots  []slot
	length int
	// messages describes the slots for package ipv4. Package ipv6 uses the same type.
	messages []ipv4.Message
	receiver receiver
}

// slot holds one datagram.
type slot struct {
	buffer  []byte
	length  int
	address netip.AddrPort
	// isTruncated reports whether the datagram was longer than buffer.
	isTruncated bool
	// to is address as package ipv4 expects it. Its IP refers to ip.
	to net.UDPAddr
	ip [16]byte
}

// NewBatch returns an empty batch with buffers for count datagrams of at most size bytes.
func NewBatch(count, size int) *Batch {
	b := &Batch{slots: make([]slot, count), messages: make([]ipv4.Message, count)}
	buffers := make([]byte, count*size)
	for i := range b.slots {
		s := &b.slots[i]
		s.buffer, buffers = buffers[:size:size], buffers[size:]
		b.messages[i].Buffers = make([][]byte, 1)
		b.messages[i].Addr = &s.to
	}
	b.receiver.init(b.slots)
	return b
}

// Len returns the number of datagrams held.
func (b *Batch) Len() int { return b.length }

// IsFull reports whether no buffer is left.
func (b *Batch) IsFull() bool { return b.length == len(b.slots) }

// Reset removes all datagrams.
func (b *Batch) Reset() { b.length = 0 }

// Datagram returns datagram i. It is valid until the batch changes.
func (b *Batch) Datagram(i int) []byte { return b.slots[i].buffer[:b.slots[i].length] }

// Address returns the source of datagram i in a received batch, and the destination in a
// batch to be sent.
func (b *Batch) Address(i int) netip.AddrPort { return b.slots[i].address }

// IsTruncated reports whether datagram i was longer than its buffer.
func (b *Batch) IsTruncated(i int) bool { return b.slots[i].isTruncated }

// Next returns an empty buffer to which the next datagram can be appended. The batch
// must not be full.
func (b *Batch) Next() []byte { return b.slots[b.length].buffer[:0] }

// Add adds the datagram that was appended to the buffer of Next. If the datagram is longer
// than the buffer, Add adds nothing and returns false.
func (b *Batch) Add(datagram []byte, to netip.AddrPort) bool {
	s := &b.slots[b.length]
	if len(datagram) > len(s.buffer) {
		return false
	}
	s.set(len(datagram), to)
	b.length++
	return true
}

// set describes the datagram that was written to the buffer.
func (s *slot) set(length int, address netip.AddrPort) {
	s.length, s.address, s.isTruncated = length, address, false
}

// outgoing returns the messages that describe the datagrams of the batch.
func (b *Batch) outgoing() []ipv4.Message {
	for i := range b.length {
		s := &b.slots[i]
		s.ip = s.address.Addr().As16()
		s.to.IP, s.to.Port = s.ip[:], int(s.address.Port())
		b.messages[i].Buffers[0] = s.buffer[:s.length]
	}
	return b.messages[:b.length]
}
