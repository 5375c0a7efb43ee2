package geneve

import (
	"fmt"
	"sync/atomic"
)

// minSecretSize is the minimum length of a secret in bytes.
const minSecretSize = 32

// Key is a secret that all entry VMs share, with an id that is sent with every tag.
type Key struct {
	id     uint32
	secret string
}

// NewKey returns a key. It returns an error of type *Error if the secret is shorter than
// 32 bytes.
func NewKey(id uint32, secret []byte) (Key, error) {
	if len(secret) < minSecretSize {
		return Key{}, errShortSecret
	}
	return Key{id: id, secret: string(secret)}, nil
}

// ID returns the number that identifies the key. It is not secret.
func (k Key) ID() uint32 { return k.id }

// String returns a text without the secret, which keeps secrets out of logs.
func (k Key) String() string { return "geneve key" }

// KeyRing is an immutable set of keys. Tags are computed with the current key and verified
// with any key of the ring, so that VMs can switch to a new key one after another.
type KeyRing struct {
	// keys holds the current key, followed by the others.
	keys []Key
}

// NewKeyRing returns a ring of the current key and the other keys that are accepted: the
// next key before a rotation, the previous key after it. It returns an error of type
// *Error if two keys have the same id.
func NewKeyRing(current Key, others ...Key) (*KeyRing, error) {
	r := &KeyRing{keys: append([]Key{current}, others...)}
	for i := range r.keys {
		for j := range i {
			if r.keys[i].id == r.keys[j].id {
				return nil, errDuplicateKeyID
			}
		}
	}
	return r, nil
}

// String returns the ids of the keys, without the secrets.
func (r *KeyRing) String() string {
	ids := make([]uint32, len(r.keys))
	for i := range r.keys {
		ids[i] = r.keys[i].id
	}
	return fmt.Sprintf("geneve keys %v", ids)
}

// Current returns the key that tags are computed with.
func (r *KeyRing) Current() Key { return r.keys[0] }

// Accepts reports whether tags of the key with the given id are accepted.
func (r *KeyRing) Accepts(id uint32) bool {
	for i := range r.keys {
		if r.keys[i].id == id {
			return true
		}
	}
	return false
}

// Keys holds the ring in use, which can be replaced while datagrams are handled. It is
// safe for concurrent use.
type Keys struct {
	ring atomic.Pointer[KeyRing]
}

// NewKeys returns Keys that use the given ring.
func NewKeys(ring *KeyRing) *Keys {
	k := &Keys{}
	k.Set(ring)
	return k
}

// Set replaces the ring in use.
func (k *Keys) Set(ring *KeyRing) { k.ring.Store(ring) }

// Ring returns the ring in use.
func (k *Keys) Ring() *KeyRing { return k.ring.Load() }
