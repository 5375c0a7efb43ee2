//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Sizes and flags of a packet, as the users' protocol gives them.
const (
	headSize   = 31
	prefixSize = 8

	flagACK     = 1
	flagBounced = 2
	flagFIN     = 8
	flagSYN     = 32
	flagRST     = 128

	// resetWindow is how far the number of a reset may be from the client's last ack.
	resetWindow = 76800
)

var errMalformed = errors.New("malformed packet")

// packet is one packet of a flow.
type packet struct {
	src, dst   netip.AddrPort
	seq, ack   uint32
	sum, echo  uint32
	flags      byte
	data       []byte
	isSumValid bool
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// isSystemReset reports whether the packet has the form of a reset of the system's own.
func (p *packet) isSystemReset() bool { return p.has(flagRST) && len(p.data) == 0 && p.sum == 0 }

// keyedSum is the sum over all fields except echo, pad and BOUNCED. The system does not know the key.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the two ends"))
	_, _ = h.Write(b[:8])
	_, _ = h.Write(b[16:18])
	_, _ = h.Write([]byte{b[18] &^ flagBounced})
	_, _ = h.Write(b[19:])
	return h.Sum32()
}

// encode returns the packet's bytes, with its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint32(b[12:], p.echo)
	binary.BigEndian.PutUint16(b[16:], uint16(len(p.data)))
	b[18] = p.flags
	binary.BigEndian.PutUint16(b[19:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[21:], dst[:])
	binary.BigEndian.PutUint16(b[25:], p.dst.Port())
	copy(b[27:], src[:])
	copy(b[headSize:], p.data)
	binary.BigEndian.PutUint32(b[8:], keyedSum(b))
	return b
}

// decode reads a packet. The data is copied.
func decode(b []byte) (*packet, error) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[16:])) != len(b)-headSize {
		return nil, errMalformed
	}
	return &packet{
		seq:        binary.BigEndian.Uint32(b[0:]),
		ack:        binary.BigEndian.Uint32(b[4:]),
		sum:        binary.BigEndian.Uint32(b[8:]),
		echo:       binary.BigEndian.Uint32(b[12:]),
		flags:      b[18],
		src:        netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[27:31])), binary.BigEndian.Uint16(b[19:])),
		dst:        netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[21:25])), binary.BigEndian.Uint16(b[25:])),
		data:       append([]byte(nil), b[headSize:]...),
		isSumValid: binary.BigEndian.Uint32(b[8:]) == keyedSum(b),
	}, nil
}
