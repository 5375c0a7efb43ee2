package geneve

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/steer"
)

// Encoder encodes datagrams. It is not safe for concurrent use, so each worker has its
// own.
type Encoder struct {
	vni    VNI
	tagger tagger
	body   [bodySize]byte
}

// NewEncoder returns an Encoder for the network vni that computes tags with the current
// key.
func NewEncoder(vni VNI, keys *Keys) *Encoder {
	return &Encoder{vni: vni, tagger: tagger{keys: keys}}
}

// AppendFabric appends a datagram with an inner packet for the fabric to dst and returns
// the extended slice.
func (e *Encoder) AppendFabric(dst, inner []byte) []byte {
	dst = appendHeader(dst, e.vni, 0, 0, inner)
	return append(dst, inner...)
}

// AppendPeer appends a datagram with a message for another entry VM to dst and returns the
// extended slice. The datagram also carries the inner packet that the message is about. If
// inner is empty, the datagram is a control packet.
func (e *Encoder) AppendPeer(dst []byte, to fleet.ID, m *steer.Message, inner []byte) []byte {
	body := e.encodeBody(to, m, inner)
	flags := byte(flagCritical)
	if len(inner) == 0 {
		flags |= flagControl
	}
	if len(body) <= maxOptionData {
		dst = appendHeader(dst, e.vni, flags, optionHeaderSize+len(body), inner)
		dst = appendOption(dst, optionBodyStart, body)
		return append(dst, inner...)
	}
	dst = appendHeader(dst, e.vni, flags, 2*optionHeaderSize+len(body), inner)
	dst = appendOption(dst, optionBodyStart, body[:maxOptionData])
	dst = appendOption(dst, optionBodyRest, body[maxOptionData:])
	return append(dst, inner...)
}

// encodeBody returns the key id, the tag and the message, padded to a multiple of
// optionUnit.
func (e *Encoder) encodeBody(to fleet.ID, m *steer.Message, inner []byte) []byte {
	e.tagger.refresh()
	const messageOffset = keyIDSize + tagSize
	body := m.Append(e.body[:messageOffset])
	for len(body)%optionUnit != 0 {
		body = append(body, 0)
	}
	binary.BigEndian.PutUint32(body, e.tagger.ring.Current().id)
	copy(body[keyIDSize:], e.tagger.tag(0, to, e.vni, body[messageOffset:], inner))
	return body
}
