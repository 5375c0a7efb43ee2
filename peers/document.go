package peers

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// chunkBytes is the size of a chunk, small enough for the bucket of any budget.
const chunkBytes = 2048

// maximumDocumentBytes bounds what a pull takes into memory.
const maximumDocumentBytes = 16 << 20

// errChecksum means that the chunks of a document do not add up to what was announced.
var errChecksum = errors.New("the document was damaged on its way")

// Document is what a pull brings: one version of a document, or what leads to it, in a
// form that only its owner can read.
type Document struct {
	version  uint64
	data     []byte
	checksum uint64
}

// NewDocument returns a document to be sent.
func NewDocument(version uint64, data []byte) Document {
	return Document{version: version, data: data, checksum: xxhash.Sum64(data)}
}

// Version returns the version.
func (d *Document) Version() uint64 { return d.version }

// Data returns the bytes, whose checksum was compared when they came from a peer.
func (d *Document) Data() []byte { return d.data }
