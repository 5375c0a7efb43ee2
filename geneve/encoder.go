package geneve

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/steer"
)

// Encoder builds datagrams. It belongs to one worker.
type Encoder struct {
	vni    VNI
	tagger tagger
	body   [bodySize]byte
}

// NewEncoder returns an Encoder for a network that makes tags with the current key.
func NewEncoder(vni VNI, keys *Keys) *Encoder {
	return &Encoder{vni: vni, tagger: tagger{keys: keys}}
}

// AppendFabric appends the datagram that hands an inner packet to the fabric.
func (e *Encoder) AppendFabric(dst, inner []byte) []byte {
	dst = appendHeader(dst, e.vni, 0, 0, inner)
	return append(dst, inner...)
}

// AppendPeer appends the datagram that carries a message and the inner packet it is
// about to another entry VM. Without an inner packet it is a control packet.
func (e *Encoder) AppendPeer(dst []byte, to fleet.ID, m *steer.Message, inner []byte) []byte {
	body := e.encodeBody(to, m, inner)
	flags := byte(flagCritical)
	if len(inner) == 0 {
		flags |= flagControl
	}
	if len(body) <= maxOptionData {
		dst = appendHeader(dst, e.vni, flags, optionHeaderSize+len(body), inner)
		dst = appendOption(dst, optionBody, body)
		return append(dst, inner...)
	}
	dst = appendHeader(dst, e.vni, flags, 2*optionHeaderSize+len(body), inner)
	dst = appendOption(dst, optionBody, body[:maxOptionData])
	dst = appendOption(dst, optionRest, body[maxOptionData:])
	return append(dst, inner...)
}

// encodeBody returns key id, tag and message, padded to whole units.
func (e *Encoder) encodeBody(to fleet.ID, m *steer.Message, inner []byte) []byte {
	e.tagger.refresh()
	const start = keyIDSize + tagSize
	body := m.Append(e.body[:start])
	for len(body)%optionUnit != 0 {
		body = append(body, 0)
	}
	binary.BigEndian.PutUint32(body, e.tagger.ring.Current().id)
	copy(body[keyIDSize:], e.tagger.tag(0, to, e.vni, body[start:], inner))
	return body
}
