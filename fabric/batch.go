package fabric

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Batch holds datagrams in buffers that are made once and used again.
type Batch struct {
	slots  []slot
	length int
	// messages describe the slots to package ipv4, whose type IPv6 shares.
	messages []ipv4.Message
	receiver receiver
}

// slot is the room for one datagram.
type slot struct {
	buffer  []byte
	length  int
	address netip.AddrPort
	// isCut says that the datagram was longer than its buffer.
	isCut bool
	// to and ip are address in the form that package ipv4 takes.
	to net.UDPAddr
	ip [16]byte
}

// NewBatch returns an empty batch for a number of datagrams of a size in bytes.
func NewBatch(count, size int) *Batch {
	b := &Batch{slots: make([]slot, count), messages: make([]ipv4.Message, count)}
	room := make([]byte, count*size)
	for i := range b.slots {
		s := &b.slots[i]
		s.buffer, room = room[:size:size], room[size:]
		b.messages[i].Buffers = make([][]byte, 1)
		b.messages[i].Addr = &s.to
	}
	b.receiver.init(b.slots)
	return b
}

// Len returns the number of datagrams held.
func (b *Batch) Len() int { return b.length }

// IsFull reports whether there is no room left.
func (b *Batch) IsFull() bool { return b.length == len(b.slots) }

// Reset makes the batch empty.
func (b *Batch) Reset() { b.length = 0 }

// Datagram returns datagram i. It is valid until the batch changes.
func (b *Batch) Datagram(i int) []byte { return b.slots[i].buffer[:b.slots[i].length] }

// Address returns where datagram i came from or goes to.
func (b *Batch) Address(i int) netip.AddrPort { return b.slots[i].address }

// IsCut reports whether datagram i was longer than its buffer.
func (b *Batch) IsCut(i int) bool { return b.slots[i].isCut }

// Next returns an empty buffer to which the next datagram can be appended. The batch
// must not be full.
func (b *Batch) Next() []byte { return b.slots[b.length].buffer[:0] }

// Add adds the datagram that was appended to the buffer of Next. It reports false and
// adds nothing when the datagram outgrew the buffer.
func (b *Batch) Add(datagram []byte, to netip.AddrPort) bool {
	s := &b.slots[b.length]
	if len(datagram) > len(s.buffer) {
		return false
	}
	s.set(len(datagram), to)
	b.length++
	return true
}

func (s *slot) set(length int, address netip.AddrPort) {
	s.length, s.address, s.isCut = length, address, false
}

// outgoing returns the messages that describe what is held.
func (b *Batch) outgoing() []ipv4.Message {
	for i := range b.length {
		s := &b.slots[i]
		s.ip = s.address.Addr().As16()
		s.to.IP, s.to.Port = s.ip[:], int(s.address.Port())
		b.messages[i].Buffers[0] = s.buffer[:s.length]
	}
	return b.messages[:b.length]
}
