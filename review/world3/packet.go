//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform"
)

// Offsets of fields of the head that stand-ins read or write themselves.
const (
	sumOffset  = 8
	echoOffset = 12
	fieldSize  = 4
	sumKey     = "the two ends of a flow"
)

// segment is a packet with its data.
type segment struct {
	inband.Packet
	data []byte
}

// flowKey names a flow by the addresses that its client sees.
type flowKey = inband.Key

// encode returns the datagram of a packet with its sum.
func (s *segment) encode() []byte {
	s.DataLength = len(s.data)
	datagram := make([]byte, platform.HeaderSize+len(s.data))
	platform.Encode(datagram, &s.Packet)
	copy(datagram[platform.HeaderSize:], s.data)
	binary.BigEndian.PutUint32(datagram[sumOffset:], sumOf(datagram))
	return datagram
}

// sumOf returns the keyed sum over all fields but the echo, and the data. It is never zero.
func sumOf(datagram []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write([]byte(sumKey)) // never fails
	_, _ = h.Write(datagram[:sumOffset])
	_, _ = h.Write(datagram[echoOffset+fieldSize:])
	return max(h.Sum32(), 1)
}

// decode decodes a datagram. hasSum is false for one without a sum, which only a reset of the system's own is.
func decode(datagram []byte) (s segment, hasSum, isValid bool) {
	if platform.Decode(datagram, &s.Packet) != nil {
		return s, false, false
	}
	s.data = append([]byte(nil), datagram[platform.HeaderSize:]...)
	sum := binary.BigEndian.Uint32(datagram[sumOffset:])
	return s, sum != 0, sum == 0 || sum == sumOf(datagram)
}
