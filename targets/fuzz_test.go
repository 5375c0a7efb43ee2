package targets_test

import (
	"bytes"
	"testing"

	"github.com/almondflow/almondflow/targets"
)

// FuzzDecodeReports guards against health reports of other VMs that are read beyond their end, or change on
// the way.
func FuzzDecodeReports(f *testing.F) {
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0xff}, 2*targets.ReportSize))
	f.Add([]byte("a report that is too short"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reports, ok := targets.DecodeReports(data)
		if ok != (len(data)%targets.ReportSize == 0) {
			t.Fatalf("%d bytes decoded: %v", len(data), ok)
		}
		if ok && !bytes.Equal(targets.AppendReports(nil, reports), data) {
			t.Fatalf("%x decoded to %v", data, reports)
		}
	})
}
