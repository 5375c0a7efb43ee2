package peers

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Document is one version of a document, whole or as a delta to an older version.
type Document struct {
	version  uint64
	base     uint64
	data     []byte
	checksum uint64
}

// NewDocument returns a whole document.
func NewDocument(version uint64, data []byte) Document {
	return Document{version: version, data: data, checksum: xxhash.Sum64(data)}
}

// Version returns the version.
func (d *Document) Version() uint64 { return d.version }

// Base returns the version that the delta applies to, 0 for a whole document.
func (d *Document) Base() uint64 { return d.base }

// Data returns the bytes that go over the wire.
func (d *Document) Data() []byte { return d.data }

// ErrMismatch means that a delta does not lead to the document that it was made for. The
// caller pulls the whole document.
var ErrMismatch = errors.New("delta does not match the document it is applied to")

// Whole returns the document itself. old is the document of the base version, which is
// only needed for a delta. The error is ErrMismatch.
func (d *Document) Whole(old []byte) ([]byte, error) {
	whole := d.data
	if d.base != 0 {
		var err error
		if whole, err = applyDelta(old, d.data); err != nil {
			return nil, err
		}
	}
	if xxhash.Sum64(whole) != d.checksum {
		return nil, ErrMismatch
	}
	return whole, nil
}

// historyLength is the number of changes for which deltas are kept.
const historyLength = 64

// History keeps the newest version of a document and the deltas that lead to it, so that
// a change costs about its own size on the wire. It is not safe for concurrent use.
type History struct {
	version uint64
	current []byte
	changes []change // ascending
}

// change leads from one version to the next that this daemon saw.
type change struct {
	from  uint64
	delta []byte
}

// Add records the document of a higher version.
func (h *History) Add(version uint64, document []byte) {
	if version <= h.version {
		return
	}
	if h.version > 0 {
		h.changes = append(h.changes, change{from: h.version, delta: appendDelta(nil, h.current, document)})
	}
	if len(h.changes) > historyLength {
		h.changes = slices.Delete(h.changes, 0, 1)
	}
	h.version = version
	h.current = document
}

// Since returns the delta from a version to the newest one, or the whole document where
// there is none or it is no smaller. It reports false when there is nothing newer.
func (h *History) Since(version uint64) (Document, bool) {
	if h.version <= version {
		return Document{}, false
	}
	whole := NewDocument(h.version, h.current)
	at := slices.IndexFunc(h.changes, func(c change) bool { return c.from == version })
	if at < 0 {
		return whole, true
	}
	var data []byte
	for _, c := range h.changes[at:] {
		data = append(data, c.delta...)
	}
	if len(data) >= len(whole.data) {
		return whole, true
	}
	return Document{version: h.version, base: version, data: data, checksum: whole.checksum}, true
}

// chunkBytes is the size of a chunk, small enough for the bucket of any budget.
const chunkBytes = 2048

// maximumDocumentBytes bounds what a pull takes into memory.
const maximumDocumentBytes = 16 << 20
