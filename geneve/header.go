// Package geneve encodes and decodes the Geneve datagrams (RFC 8926) between the fabric and
// the entry VMs and among the entry VMs. Datagrams among entry VMs carry a steer.Message,
// which is authenticated by a tag, in options that are private to almondflow.
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
	// optionUnit is the unit of the length fields of options.
	optionUnit = 4
	// maxOptionData is the maximum length of the data of one option.
	maxOptionData = 31 * optionUnit
	// maxOptions is the maximum length of all options of a datagram.
	maxOptions = 63 * optionUnit
	keyIDSize  = 4
	// bodySize is the maximum length of the body, which is split over two options.
	bodySize = maxOptions - 2*optionHeaderSize
)

// MaxOverhead is the maximum number of bytes that the encapsulation adds to an inner
// packet, without the outer IP and UDP headers.
const MaxOverhead = headerSize + maxOptions

// The constant overflows and the package does not compile if a message of the maximum size
// does not fit into two options.
const _ = uint(bodySize - keyIDSize - tagSize - steer.MaxSize)

// Flags in the second byte of the header.
const (
	flagControl  = 0x80
	flagCritical = 0x40
)

// Protocol types of the inner packets, which are Ethernet types.
const (
	typeIPv4 = 0x0800
	typeIPv6 = 0x86dd
)

// Class and types of the almondflow options. The class is in the range for experimental
// use. The options are critical, so that an endpoint that does not know them drops the
// datagram.
const (
	optionClass    = 0xffaf
	optionCritical = 0x80
	// optionBodyStart carries the start of the body, which is the key id, the tag and the
	// message.
	optionBodyStart = optionCritical | 1
	// optionBodyRest carries the part of the body that does not fit into the first option.
	optionBodyRest = optionCritical | 2
)

// appendHeader appends a header for options of the given total length in bytes.
func appendHeader(dst []byte, vni VNI, flags byte, optionsSize int, inner []byte) []byte {
	dst = append(dst, byte(optionsSize/optionUnit), flags)
	dst = binary.BigEndian.AppendUint16(dst, protocolType(inner))
	return binary.BigEndian.AppendUint32(dst, uint32(vni)<<8)
}

// protocolType returns the Ethernet type for the IP version of a packet, and that of IPv4
// for an empty packet.
func protocolType(inner []byte) uint16 {
	if len(inner) > 0 && inner[0]>>4 == 6 {
		return typeIPv6
	}
	return typeIPv4
}

// appendOption appends an option, whose data is a multiple of optionUnit long.
func appendOption(dst []byte, optionType byte, data []byte) []byte {
	dst = binary.BigEndian.AppendUint16(dst, optionClass)
	dst = append(dst, optionType, byte(len(data)/optionUnit))
	return append(dst, data...)
}
