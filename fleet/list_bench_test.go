package fleet_test

import (
	"fmt"
	"testing"

	"github.com/almondflow/almondflow/fleet"
)

// largeList returns a list of serving VMs and its document. In versions above 1, one VM is
// leaving.
func largeList(b *testing.B, version, vms int) (*fleet.List, []byte) {
	b.Helper()
	texts := make([]string, vms)
	for i := range texts {
		state := "serving"
		if i == vms/2 && version > 1 {
			state = "leaving"
		}
		texts[i] = fmt.Sprintf(`{"name":"vm-%d","domain":"domain-%d","data_address":"10.%d.%d.%d:6081","peer_address":"10.%d.%d.%d:7000","state":%q}`,
			i, i%7, i>>16, i>>8&255, i&255, i>>16, i>>8&255, i&255, state)
	}
	document := listDocument(version, texts...)
	list, err := fleet.ParseList(document)
	if err != nil {
		b.Fatal(err)
	}
	return list, document
}

// BenchmarkList measures parsing a full list and applying a delta that changes one VM.
func BenchmarkList(b *testing.B) {
	for _, vms := range []int{8, 1_000, 4_000, 16_000} {
		list, document := largeList(b, 1, vms)
		next, _ := largeList(b, 2, vms)
		delta := next.Delta(list)
		b.Run(fmt.Sprintf("parse/vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				if _, err := fleet.ParseList(document); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(document))/float64(vms), "document_B/vm")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(vms), "ns/vm")
		})
		b.Run(fmt.Sprintf("apply/vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				if _, err := list.Apply(delta); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(delta)), "delta_B")
		})
	}
}
