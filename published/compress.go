package published

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

const (
	// minCompressBytes is the minimum length of a document for peers that is compressed.
	minCompressBytes = 512
	// maxDocumentBytes is the maximum length of a document after decompression.
	maxDocumentBytes = 64 << 20
)

// ErrTooLarge is returned for a document that is larger than 64 MiB after decompression.
var ErrTooLarge = errors.New("document is too large")

// gzipMagic is the prefix of a compressed document. A JSON document never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// compress returns the document in the form in which it is sent to peers.
func compress(document []byte) []byte {
	if len(document) < minCompressBytes {
		return document
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(document); err != nil {
		panic(err) // writes to a bytes.Buffer do not fail
	}
	if err := w.Close(); err != nil {
		panic(err) // writes to a bytes.Buffer do not fail
	}
	return compressed.Bytes()
}

// decompress returns the JSON of a document that may be compressed with gzip.
func decompress(document []byte) ([]byte, error) {
	if !bytes.HasPrefix(document, gzipMagic) {
		return document, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(document))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxDocumentBytes {
		return nil, ErrTooLarge
	}
	return text, nil
}
