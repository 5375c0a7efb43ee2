package geneve

import (
	"fmt"
	"sync/atomic"
)

// minSecretSize is the least length of a secret in bytes.
const minSecretSize = 32

// Key is a secret that the fleet shares. Its id travels with every tag.
type Key struct {
	id     uint32
	secret string
}

// NewKey builds a key. A secret of less than 32 bytes is an error of type *Error.
func NewKey(id uint32, secret []byte) (Key, error) {
	if len(secret) < minSecretSize {
		return Key{}, errKey
	}
	return Key{id: id, secret: string(secret)}, nil
}

// ID returns the number that names the key. It is no secret.
func (k Key) ID() uint32 { return k.id }

// String returns a text without the secret, so that logs never hold one.
func (k Key) String() string { return "geneve key" }

// KeyRing is a set of keys. Tags are made with the current key and taken from any key
// of the ring, so that VMs may turn to a new key one after another. It is immutable.
type KeyRing struct {
	// keys are the current key and then the others.
	keys []Key
}

// NewKeyRing builds a ring of the current key and those that are accepted besides: the
// next one before a rotation, the previous one after it. Two keys with the same id are
// an error of type *Error.
func NewKeyRing(current Key, others ...Key) (*KeyRing, error) {
	r := &KeyRing{keys: append([]Key{current}, others...)}
	for i := range r.keys {
		for j := range i {
			if r.keys[i].id == r.keys[j].id {
				return nil, errKeyID
			}
		}
	}
	return r, nil
}

// String returns the ids of the keys without their secrets.
func (r *KeyRing) String() string {
	ids := make([]uint32, len(r.keys))
	for i := range r.keys {
		ids[i] = r.keys[i].id
	}
	return fmt.Sprintf("geneve keys %v", ids)
}

// Current returns the key that tags are made with.
func (r *KeyRing) Current() Key { return r.keys[0] }

// Accepts reports whether tags of the key with the id are accepted.
func (r *KeyRing) Accepts(id uint32) bool {
	for i := range r.keys {
		if r.keys[i].id == id {
			return true
		}
	}
	return false
}

// Keys holds the ring in force, which may be replaced while datagrams are handled.
type Keys struct {
	ring atomic.Pointer[KeyRing]
}

// NewKeys returns Keys with a first ring.
func NewKeys(ring *KeyRing) *Keys {
	k := &Keys{}
	k.Set(ring)
	return k
}

// Set puts a ring in force.
func (k *Keys) Set(ring *KeyRing) { k.ring.Store(ring) }

// Ring returns the ring in force.
func (k *Keys) Ring() *KeyRing { return k.ring.Load() }
