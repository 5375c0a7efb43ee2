package flow_test

import (
	"bytes"
	"testing"

	"github.com/almondflow/almondflow/flow"
)

// FuzzDecode guards against keys and targets of other VMs that are read beyond their end, or change on the
// way.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0xff}, flow.KeySize))
	f.Add(bytes.Repeat([]byte{1}, flow.KeySize+flow.TargetSize))
	f.Fuzz(func(t *testing.T, data []byte) {
		if key, ok := flow.DecodeKey(data); ok != (len(data) >= flow.KeySize) || ok && !bytes.Equal(key.Append(nil), data[:flow.KeySize]) {
			t.Fatalf("key of %d bytes: %v, decoded %v", len(data), key, ok)
		}
		if target, ok := flow.DecodeTarget(data); ok != (len(data) >= flow.TargetSize) || ok && !bytes.Equal(target.Append(nil), data[:flow.TargetSize]) {
			t.Fatalf("target of %d bytes: %v, decoded %v", len(data), target, ok)
		}
	})
}
