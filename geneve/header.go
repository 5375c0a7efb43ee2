// Package geneve encodes and decodes the datagrams between the fabric and the entry VMs
// and among the entry VMs (RFC 8926). Datagrams among entry VMs carry a steer.Message
// with a keyed tag in options of our own.
package geneve

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/steer"
)

// VNI is a virtual network identifier of 24 bits.
type VNI uint32

// MaxVNI is the largest virtual network identifier.
const MaxVNI VNI = 1<<24 - 1

// Sizes in bytes.
const (
	headerSize       = 8
	optionHeaderSize = 4
	// optionUnit is what lengths of options are counted in.
	optionUnit = 4
	// maxOptionData is the most data that one option holds.
	maxOptionData = 31 * optionUnit
	// maxOptions is the room for all options of a datagram.
	maxOptions = 63 * optionUnit
	keyIDSize  = 4
	// bodySize is the room for what our two options carry together.
	bodySize = maxOptions - 2*optionHeaderSize
)

// MaxOverhead is the most that encapsulation adds to an inner packet, in bytes, without
// the outer IP and UDP headers.
const MaxOverhead = headerSize + maxOptions

// A message of the largest size has to fit two options.
const _ = uint(bodySize - keyIDSize - tagSize - steer.MaxSize)

// Bits of the second byte of the header.
const (
	flagControl  = 0x80
	flagCritical = 0x40
)

// Ethernet types of the inner packets.
const (
	typeIPv4 = 0x0800
	typeIPv6 = 0x86dd
)

// Options are ours by a class of the range for experimental use. They are critical, so
// that an endpoint that does not know them drops the datagram.
const (
	optionClass    = 0xffaf
	optionCritical = 0x80
	// optionBody carries the start of the body: key id, tag and message.
	optionBody = optionCritical | 1
	// optionRest carries what does not fit the first option.
	optionRest = optionCritical | 2
)

func appendHeader(dst []byte, vni VNI, flags byte, options int, inner []byte) []byte {
	dst = append(dst, byte(options/optionUnit), flags)
	dst = binary.BigEndian.AppendUint16(dst, protocolType(inner))
	return binary.BigEndian.AppendUint32(dst, uint32(vni)<<8)
}

// protocolType returns the Ethernet type by the IP version of a packet.
func protocolType(inner []byte) uint16 {
	if len(inner) > 0 && inner[0]>>4 == 6 {
		return typeIPv6
	}
	return typeIPv4
}

func appendOption(dst []byte, kind byte, data []byte) []byte {
	dst = binary.BigEndian.AppendUint16(dst, optionClass)
	dst = append(dst, kind, byte(len(data)/optionUnit))
	return append(dst, data...)
}
