package packet

import "encoding/binary"

// checksumDelta is the one's complement sum of the differences that a rewrite makes to the
// 16-bit words covered by a checksum (RFC 1624, equation 3).
type checksumDelta uint32

// replaceField overwrites a field, which must have an even number of bytes, and returns the
// difference.
func replaceField(field, value []byte) checksumDelta {
	var d checksumDelta
	for i := 0; i < len(field); i += 2 {
		d += checksumDelta(^binary.BigEndian.Uint16(field[i:]))
		d += checksumDelta(binary.BigEndian.Uint16(value[i:]))
	}
	copy(field, value)
	return d
}

// updateChecksum applies the difference to a checksum. It returns the difference of the
// checksum itself, for use where another checksum covers it.
func (d checksumDelta) updateChecksum(checksum []byte) checksumDelta {
	sum := d + checksumDelta(^binary.BigEndian.Uint16(checksum))
	return replaceWord(checksum, ^sum.fold())
}

// updateUDPChecksum is like updateChecksum but never yields 0, which in UDP means that there is
// no checksum (RFC 768).
func (d checksumDelta) updateUDPChecksum(checksum []byte) checksumDelta {
	sum := d + checksumDelta(^binary.BigEndian.Uint16(checksum))
	value := ^sum.fold()
	if value == 0 {
		value = 0xffff
	}
	return replaceWord(checksum, value)
}

func replaceWord(field []byte, value uint16) checksumDelta {
	var b [2]byte
	binary.BigEndian.PutUint16(b[:], value)
	return replaceField(field, b[:])
}

func (d checksumDelta) fold() uint16 {
	for d > 0xffff {
		d = d>>16 + d&0xffff
	}
	return uint16(d)
}
