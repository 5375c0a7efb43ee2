package geneve

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/almondflow/almondflow/fleet"
)

const (
	// tagSize is the length of a tag in bytes. A tag is a truncated HMAC-SHA256.
	tagSize = 16
	// coveredSize is the number of bytes at the start of the inner packet that a tag
	// covers. They include the IP and transport headers. The tag also covers the length
	// of the inner packet.
	coveredSize = 64
	// contextSize is the length in bytes of the context, which is hashed before the message.
	contextSize = 16
)

// tagger computes tags with the keys of a ring. It is not safe for concurrent use.
type tagger struct {
	keys *Keys
	// ring is the ring that macs were made for.
	ring *KeyRing
	// macs holds one HMAC for each key of ring, in the same order.
	macs []hash.Hash
	// context holds the receiver, the network and the lengths of message and inner packet.
	context [contextSize]byte
	sum     [sha256.Size]byte
}

// refresh adopts the ring in use. It allocates only if the ring was replaced.
func (t *tagger) refresh() {
	ring := t.keys.Ring()
	if ring == t.ring {
		return
	}
	t.ring = ring
	t.macs = t.macs[:0]
	for i := range ring.keys {
		t.macs = append(t.macs, hmac.New(sha256.New, []byte(ring.keys[i].secret)))
	}
}

// keyIndex returns the index of the key with the given id in the ring. It returns false if
// the ring has no such key.
func (t *tagger) keyIndex(id uint32) (int, bool) {
	for i := range t.ring.keys {
		if t.ring.keys[i].id == id {
			return i, true
		}
	}
	return 0, false
}

// tag returns the tag of a message and its inner packet, computed with the key at the given
// index. The tag covers the receiver and the network, and the sender as part of the
// message. The result is valid until the next call.
func (t *tagger) tag(keyIndex int, to fleet.ID, vni VNI, message, inner []byte) []byte {
	mac := t.macs[keyIndex]
	mac.Reset()
	binary.BigEndian.PutUint64(t.context[:], uint64(to))
	binary.BigEndian.PutUint32(t.context[8:], uint32(vni))
	binary.BigEndian.PutUint16(t.context[12:], uint16(len(message)))
	binary.BigEndian.PutUint16(t.context[14:], uint16(len(inner)))
	_, _ = mac.Write(t.context[:])
	_, _ = mac.Write(message)
	_, _ = mac.Write(inner[:min(coveredSize, len(inner))])
	return mac.Sum(t.sum[:0])[:tagSize]
}
