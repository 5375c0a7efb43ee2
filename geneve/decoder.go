package geneve

import (
	"crypto/hmac"
	"encoding/binary"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/steer"
)

// Datagram is what a decoded datagram carries.
type Datagram struct {
	inner   []byte
	message *steer.Message
}

// Inner returns the inner packet, which is empty where a message rides alone. It refers
// to the bytes that were decoded.
func (d Datagram) Inner() []byte { return d.inner }

// Message returns the message of another entry VM, whose tag was right, or nil when the
// datagram came from the fabric. It is valid until the next call of Decode.
func (d Datagram) Message() *steer.Message { return d.message }

// Decoder decodes datagrams. It belongs to one worker.
type Decoder struct {
	self    fleet.ID
	vni     VNI
	tagger  tagger
	message steer.Message
	body    [bodySize]byte
	length  int
}

// NewDecoder returns a Decoder for datagrams to the entry VM self on a network, that
// takes tags made with any key in force.
func NewDecoder(self fleet.ID, vni VNI, keys *Keys) *Decoder {
	return &Decoder{self: self, vni: vni, tagger: tagger{keys: keys}}
}

// Decode decodes a datagram. An error is of type *Error.
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

// readOptions collects the body that our options carry. Unknown options are skipped
// unless they are critical (RFC 8926, section 3.5). The length of all options is a
// multiple of the length of an option header.
func (d *Decoder) readOptions(options []byte) error {
	d.length = 0
	for len(options) > 0 {
		kind := options[2]
		end := optionHeaderSize + int(options[3]&0x1f)*optionUnit
		if len(options) < end {
			return errOptions
		}
		isOurs := binary.BigEndian.Uint16(options) == optionClass
		switch {
		case isOurs && (kind == optionBody || kind == optionRest):
			if err := d.collect(kind, options[optionHeaderSize:end]); err != nil {
				return err
			}
		case kind&optionCritical != 0:
			return errCritical
		}
		options = options[end:]
	}
	return nil
}

// collect takes the body's first part before the rest, each once at most. The room for
// options bounds what both hold.
func (d *Decoder) collect(kind byte, data []byte) error {
	isExpected := d.length == 0
	if kind == optionRest {
		isExpected = d.length == maxOptionData
	}
	if !isExpected || len(data) == 0 {
		return errOptions
	}
	d.length += copy(d.body[d.length:], data)
	return nil
}

// checkInner checks the inner packet's IP version. A control packet without a message of
// ours is none that we know.
func (d *Decoder) checkInner(kind uint16, inner []byte, isControl bool) error {
	if kind != typeIPv4 && kind != typeIPv6 {
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
	if protocolType(inner) != kind {
		return errInner
	}
	return nil
}

// readBody checks the tag before it reads the message.
func (d *Decoder) readBody(inner []byte) error {
	const start = keyIDSize + tagSize
	if d.length <= start {
		return errOptions
	}
	d.tagger.refresh()
	body := d.body[:d.length]
	key, ok := d.tagger.find(binary.BigEndian.Uint32(body))
	if !ok {
		return errTag
	}
	want := d.tagger.tag(key, d.self, d.vni, body[start:], inner)
	if !hmac.Equal(body[keyIDSize:start], want) {
		return errTag
	}
	if d.message.Decode(body[start:]) != nil {
		return errMessage
	}
	return nil
}
