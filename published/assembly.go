package published

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/almondflow/almondflow/strictjson"
)

// assembly collects the compressed parts of one version of a split value. Parts that the
// previous version already has are reused, so that only changed parts are fetched.
type assembly struct {
	version    uint64
	references []partReference
	compressed map[Digest][]byte
	// next is the index of the first reference whose part is missing.
	next int
}

// newAssembly returns an assembly that reuses the parts of the previous version, which
// may be nil.
func newAssembly(version uint64, references []partReference, previous *assembly) *assembly {
	a := &assembly{version: version, references: references, compressed: make(map[Digest][]byte, len(references))}
	for _, reference := range references {
		if previous == nil {
			break
		}
		if compressed, ok := previous.compressed[reference.digest]; ok {
			a.compressed[reference.digest] = compressed
		}
	}
	a.advance()
	return a
}

// advance moves next to the first missing part.
func (a *assembly) advance() {
	for a.next < len(a.references) {
		if _, ok := a.compressed[a.references[a.next].digest]; !ok {
			return
		}
		a.next++
	}
}

func (a *assembly) isComplete() bool { return a.next == len(a.references) }

// missingPart returns the name of the next part to fetch.
func (a *assembly) missingPart() string { return a.references[a.next].name }

// add stores the value of the missing part. It reports false if the digest of the value
// differs from that in the head, which means that the part belongs to another version.
func (a *assembly) add(value []byte) bool {
	digest, err := partDigest(value)
	if err != nil || digest != a.references[a.next].digest {
		return false
	}
	compressed, err := deflate(value)
	if err != nil {
		return false
	}
	a.compressed[digest] = compressed
	a.advance()
	return true
}

// parts returns all parts in the order of the head.
func (a *assembly) parts() ([]Part, error) {
	return a.inflateParts(a.references)
}

// inflateParts decompresses the parts with the given references.
func (a *assembly) inflateParts(references []partReference) ([]Part, error) {
	parts := make([]Part, 0, len(references))
	for _, reference := range references {
		value, err := inflate(a.compressed[reference.digest])
		if err != nil {
			return nil, err
		}
		parts = append(parts, strictjson.NewPart(reference.name, value))
	}
	return parts, nil
}

// digest returns a digest of the version and of the names and digests of its parts.
func (a *assembly) digest() Digest {
	b := binary.BigEndian.AppendUint64(nil, a.version)
	for _, reference := range a.references {
		b = append(append(b, reference.name...), 0)
		b = append(b, reference.digest[:]...)
	}
	return sha256.Sum256(b)
}

// updateFrom returns the update from the previous version, which may be nil.
func (a *assembly) updateFrom(previous *assembly) (*splitUpdate, error) {
	u := &splitUpdate{assembly: a}
	if previous == nil {
		return u, nil
	}
	var err error
	if u.removed, err = previous.inflateParts(subtract(previous.references, a.references)); err != nil {
		return nil, err
	}
	if u.added, err = a.inflateParts(subtract(a.references, previous.references)); err != nil {
		return nil, err
	}
	u.base = previous.version
	return u, nil
}

// subtract returns the references that are not in others.
func subtract(references, others []partReference) []partReference {
	known := make(map[partReference]bool, len(others))
	for _, reference := range others {
		known[reference] = true
	}
	var rest []partReference
	for _, reference := range references {
		if !known[reference] {
			rest = append(rest, reference)
		}
	}
	return rest
}

func deflate(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// inflate reverses deflate. The values of parts are never larger than MaxValueBytes.
func inflate(compressed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxValueBytes))
}
