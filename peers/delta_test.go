package peers

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestDeltaRestoresEveryDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		alphabet := rapid.SliceOf(rapid.SampledFrom([]byte("abc")))
		blocks := [][]byte{
			bytes.Repeat([]byte("0123456789"), 5),
			bytes.Repeat([]byte("a"), 40),
			[]byte(`{"name":"booking-1","address":"10.0.0.1","port":443}`),
		}
		var h History
		documents := map[uint64][]byte{}
		versions := rapid.IntRange(1, 6).Draw(t, "versions")
		for v := range uint64(versions) {
			var document []byte
			for range rapid.IntRange(0, 6).Draw(t, "parts") {
				document = append(document, alphabet.Draw(t, "bytes")...)
				document = append(document, rapid.SampledFrom(blocks).Draw(t, "block")...)
			}
			documents[v+1] = document
			h.Add(v+1, document)
		}
		since := rapid.Uint64Range(0, uint64(versions)).Draw(t, "since")
		d, newer := h.Since(since)
		is.Equal(newer, since < uint64(versions))
		if newer {
			whole, err := d.Whole(documents[since])
			is.NoErr(err)
			is.True(bytes.Equal(whole, documents[uint64(versions)]))
		}
	})
}

func FuzzApplyDelta(f *testing.F) {
	f.Add([]byte("old document of some length"), []byte{opInsert, 1, 'a', opCopy, 0, 5, opEnd})
	f.Add([]byte("old"), []byte{opCopy, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1})
	f.Fuzz(func(t *testing.T, old, delta []byte) {
		whole, err := applyDelta(old, delta)
		if err == nil && len(whole) > max(len(old), maximumDocumentBytes) {
			t.Fatal("document beyond the bound")
		}
	})
}
