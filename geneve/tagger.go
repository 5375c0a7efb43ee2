package geneve

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/almondflow/almondflow/fleet"
)

const (
	// tagSize is the length in bytes that HMAC-SHA256 is truncated to.
	tagSize = 16
	// coveredSize is how many bytes of the inner packet a tag covers from its start:
	// its IP and transport headers, and its length besides.
	coveredSize = 64
	// contextSize is the length in bytes of what stands in front of the message.
	contextSize = 16
)

// tagger computes tags with the keys of a ring. It belongs to one worker.
type tagger struct {
	keys    *Keys
	ring    *KeyRing
	macs    []hash.Hash
	context [contextSize]byte
	sum     [sha256.Size]byte
}

// refresh makes ready for the ring in force. It allocates only after a change of keys.
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

// find returns the place of a key in the ring.
func (t *tagger) find(id uint32) (int, bool) {
	for i := range t.ring.keys {
		if t.ring.keys[i].id == id {
			return i, true
		}
	}
	return 0, false
}

// tag returns the tag of a message and its inner packet for one receiver. The sender
// stands in the message. The result is valid until the next call.
func (t *tagger) tag(key int, to fleet.ID, vni VNI, message, inner []byte) []byte {
	mac := t.macs[key]
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
