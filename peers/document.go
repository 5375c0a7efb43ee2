package peers

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// chunkBytes is the maximum size of a chunk in bytes. It is small enough for the token bucket
// of every rate limit.
const chunkBytes = 2048

// maxDocumentBytes is the maximum size of a received document in bytes. It limits the memory
// that a pull uses.
const maxDocumentBytes = 16 << 20

// errChecksum means that a received document does not match its announced checksum.
var errChecksum = errors.New("the checksum of the document does not match")

// Document is the result of a pull: one version of a document, or a delta that leads to that
// version. Package peers does not interpret the data.
type Document struct {
	version  uint64
	data     []byte
	checksum uint64
}

// NewDocument returns a document to be sent, with the checksum of data.
func NewDocument(version uint64, data []byte) Document {
	return Document{version: version, data: data, checksum: xxhash.Sum64(data)}
}

// Version returns the version, or for a delta the version that it leads to.
func (d *Document) Version() uint64 { return d.version }

// Data returns the data. For a received document, the checksum was verified.
func (d *Document) Data() []byte { return d.data }
