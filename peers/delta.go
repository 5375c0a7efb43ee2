package peers

import "encoding/binary"

// blockBytes is the length of the runs that a delta looks for in the old document.
const blockBytes = 16

// Operations of a delta.
const (
	opCopy   = 0 // offset and length in the old document
	opInsert = 1 // length and bytes
	opEnd    = 2 // end of one change
)

// appendDelta appends the operations that turn one document into another. Runs of the
// old document are found by hashing its blocks, so that edits anywhere stay cheap.
func appendDelta(delta, old, document []byte) []byte {
	blocks := indexBlocks(old)
	inserted := 0 // start of the bytes not yet written
	expected := 0 // offset in old at which the last copy ended
	for at := 0; at+blockBytes <= len(document); {
		offset, length := findRun(blocks, old, document[at:], expected)
		if length == 0 {
			at++
			continue
		}
		delta = appendInsert(delta, document[inserted:at])
		delta = binary.AppendUvarint(append(delta, opCopy), uint64(offset))
		delta = binary.AppendUvarint(delta, uint64(length))
		at += length
		inserted = at
		expected = offset + length
	}
	delta = appendInsert(delta, document[inserted:])
	return append(delta, opEnd)
}

func appendInsert(delta, data []byte) []byte {
	if len(data) == 0 {
		return delta
	}
	delta = binary.AppendUvarint(append(delta, opInsert), uint64(len(data)))
	return append(delta, data...)
}

func indexBlocks(old []byte) map[[blockBytes]byte]int {
	blocks := make(map[[blockBytes]byte]int, len(old)/blockBytes)
	for at := 0; at+blockBytes <= len(old); at += blockBytes {
		key := [blockBytes]byte(old[at:])
		if _, exists := blocks[key]; !exists {
			blocks[key] = at
		}
	}
	return blocks
}

// findRun returns the longest of the runs that start at the expected offset or at an
// indexed block.
func findRun(blocks map[[blockBytes]byte]int, old, data []byte, expected int) (offset, length int) {
	if n := commonPrefix(old[min(expected, len(old)):], data); n >= blockBytes {
		return expected, n
	}
	at, found := blocks[[blockBytes]byte(data)]
	if !found {
		return 0, 0
	}
	return at, commonPrefix(old[at:], data)
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// applyDelta runs the operations of one or more changes. The error is ErrMismatch.
func applyDelta(old, delta []byte) ([]byte, error) {
	var out []byte
	for len(delta) > 0 {
		op := delta[0]
		delta = delta[1:]
		if op == opEnd {
			old, out = out, nil
			continue
		}
		first, n := binary.Uvarint(delta)
		if n <= 0 {
			return nil, ErrMismatch
		}
		delta = delta[n:]
		var run []byte
		var ok bool
		switch op {
		case opInsert:
			run, ok = cut(delta, 0, first)
			delta = delta[len(run):]
		case opCopy:
			length, n := binary.Uvarint(delta)
			if n <= 0 {
				return nil, ErrMismatch
			}
			delta = delta[n:]
			run, ok = cut(old, first, length)
		}
		if !ok || len(out)+len(run) > maximumDocumentBytes {
			return nil, ErrMismatch
		}
		out = append(out, run...)
	}
	return old, nil
}

// cut returns a part of the data if the data is long enough.
func cut(data []byte, offset, length uint64) ([]byte, bool) {
	size := uint64(len(data))
	if offset > size || length > size-offset {
		return nil, false
	}
	return data[offset : offset+length], true
}
