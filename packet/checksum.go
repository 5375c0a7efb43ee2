package packet

import "encoding/binary"

// change is the one's complement sum of what a rewrite adds to the words that a
// checksum covers (RFC 1624, equation 3).
type change uint32

// replace overwrites a field of an even number of bytes and returns the change.
func replace(field, value []byte) change {
	var c change
	for i := 0; i < len(field); i += 2 {
		c += change(^binary.BigEndian.Uint16(field[i:]))
		c += change(binary.BigEndian.Uint16(value[i:]))
	}
	copy(field, value)
	return c
}

// adjust applies a change to a checksum and returns the change of the checksum itself,
// which matters where another checksum covers it.
func (c change) adjust(checksum []byte) change {
	sum := c + change(^binary.BigEndian.Uint16(checksum))
	return replaceWord(checksum, ^sum.fold())
}

// adjustUDP is adjust for UDP, whose checksum 0 means that there is none (RFC 768).
func (c change) adjustUDP(checksum []byte) change {
	sum := c + change(^binary.BigEndian.Uint16(checksum))
	value := ^sum.fold()
	if value == 0 {
		value = 0xffff
	}
	return replaceWord(checksum, value)
}

func replaceWord(field []byte, value uint16) change {
	var b [2]byte
	binary.BigEndian.PutUint16(b[:], value)
	return replace(field, b[:])
}

func (c change) fold() uint16 {
	for c > 0xffff {
		c = c>>16 + c&0xffff
	}
	return uint16(c)
}
