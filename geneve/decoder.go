package geneve

import (
	"crypto/hmac"
	"encoding/binary"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/steer"
)

// Datagram holds the inner packet and the message of a decoded datagram.
type Datagram struct {
	inner   []byte
	message *steer.Message
}

// Inner returns the inner packet, which is empty when the datagram carries only a
// message. It is a subslice of the decoded bytes.
func (d Datagram) Inner() []byte { return d.inner }

// Message returns the message of another entry VM, whose tag was verified, or nil if the
// datagram came from the fabric. It is valid until the next call of Decode.
func (d Datagram) Message() *steer.Message { return d.message }

// Decoder decodes datagrams. It is not safe for concurrent use, so each worker has its
// own.
type Decoder struct {
	self    fleet.ID
	vni     VNI
	tagger  tagger
	message steer.Message
	body    [bodySize]byte
	length  int
}

// NewDecoder returns a Decoder for datagrams to the entry VM self on the network vni. It
// accepts tags computed with any key of the ring in use.
func NewDecoder(self fleet.ID, vni VNI, keys *Keys) *Decoder {
	return &Decoder{self: self, vni: vni, tagger: tagger{keys: keys}}
}

// Decode decodes a datagram and verifies the tag of its message, if it has one. Errors are
// of type *Error.
func (d *Decoder) Decode(b []byte) (Datagram, error) {
	if len(b) < headerSize {
		return Datagram{}, errTruncated
	}
	if b[0]>>6 != 0 {
		return Datagram{}, errVersion
	}
	end := headerSize + int(b[0]&0x3f)*optionUnit
	if len(b) < end {
		return Datagram{}, errTruncated
	}
	if VNI(binary.BigEndian.Uint32(b[4:])>>8) != d.vni {
		return Datagram{}, errNetwork
	}
	if err := d.readOptions(b[headerSize:end]); err != nil {
		return Datagram{}, err
	}
	isControl := b[1]&flagControl != 0
	inner := b[end:]
	if err := d.checkInner(binary.BigEndian.Uint16(b[2:]), inner, isControl); err != nil {
		return Datagram{}, err
	}
	if d.length == 0 {
		return Datagram{inner: inner}, nil
	}
	if err := d.readBody(inner); err != nil {
		return Datagram{}, err
	}
	return Datagram{inner: inner, message: &d.message}, nil
}

// readOptions assembles the body from the almondflow options. It skips unknown options and
// rejects unknown critical ones (RFC 8926, section 3.5). The length of all options is a
// multiple of 4 bytes, the length of an option header, so an option header is never truncated.
func (d *Decoder) readOptions(options []byte) error {
	d.length = 0
	for len(options) > 0 {
		optionType := options[2]
		end := optionHeaderSize + int(options[3]&0x1f)*optionUnit
		if len(options) < end {
			return errOptions
		}
		isAlmondflow := binary.BigEndian.Uint16(options) == optionClass
		switch {
		case isAlmondflow && (optionType == optionBodyStart || optionType == optionBodyRest):
			if err := d.collect(optionType, options[optionHeaderSize:end]); err != nil {
				return err
			}
		case optionType&optionCritical != 0:
			return errCritical
		}
		options = options[end:]
	}
	return nil
}

// collect appends the data of an option to the body. Each part of the body may occur once,
// the start before the rest. The body cannot overflow, because the length field of the
// header limits the total length of the options.
func (d *Decoder) collect(optionType byte, data []byte) error {
	isExpected := d.length == 0
	if optionType == optionBodyRest {
		isExpected = d.length == maxOptionData
	}
	if !isExpected || len(data) == 0 {
		return errOptions
	}
	d.length += copy(d.body[d.length:], data)
	return nil
}

// checkInner checks that the IP version of the inner packet matches the protocol type, and
// that a control packet carries a message and no inner packet.
func (d *Decoder) checkInner(protocol uint16, inner []byte, isControl bool) error {
	if protocol != typeIPv4 && protocol != typeIPv6 {
		return errProtocol
	}
	if isControl {
		if d.length == 0 {
			return errControl
		}
		if len(inner) > 0 {
			return errInner
		}
		return nil
	}
	if len(inner) == 0 {
		return errTruncated
	}
	if protocolType(inner) != protocol {
		return errInner
	}
	return nil
}

// readBody verifies the tag and then decodes the message.
func (d *Decoder) readBody(inner []byte) error {
	const messageOffset = keyIDSize + tagSize
	if d.length <= messageOffset {
		return errOptions
	}
	d.tagger.refresh()
	body := d.body[:d.length]
	key, ok := d.tagger.keyIndex(binary.BigEndian.Uint32(body))
	if !ok {
		return errTag
	}
	want := d.tagger.tag(key, d.self, d.vni, body[messageOffset:], inner)
	if !hmac.Equal(body[keyIDSize:messageOffset], want) {
		return errTag
	}
	if d.message.Decode(body[messageOffset:]) != nil {
		return errMessage
	}
	return nil
}
