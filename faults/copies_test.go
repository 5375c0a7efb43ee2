package faults

import (
	"fmt"
	"testing"
)

// Flows a second that the comparison of copies opens.
const (
	copiesFeeds   = 200
	copiesUploads = 20
)

// crashes are the failures that copies are compared by.
func crashes() []scenario {
	crash := func(names ...string) func(w *world) {
		return func(w *world) { w.crashAndReplace(names...) }
	}
	return []scenario{
		{name: "one", span: listLag, start: crash("kadikoy-0")},
		{name: "two_of_one_domain", span: listLag, start: crash("kadikoy-0", "kadikoy-1")},
		{name: "two_of_two_domains", span: listLag, start: crash("kadikoy-0", "besiktas-1")},
		{name: "three", span: listLag, start: crash("kadikoy-0", "kadikoy-1", "umraniye-0")},
	}
}

// BenchmarkCopies compares records at one, two and three entry VMs: the flows that crashes
// break, and the bytes of the datagrams that carried a record, for each flow.
func BenchmarkCopies(b *testing.B) {
	for _, s := range crashes() {
		for copies := range 3 {
			b.Run(fmt.Sprintf("%s/%d", s.name, copies+1), func(b *testing.B) {
				c := marmara(*benchSeed)
				c.copies, c.noCopies = copies, copies == 0
				var o outcome
				for b.Loop() {
					o = play(c, s, copiesFeeds, 0, copiesUploads)
				}
				b.ReportMetric(o.brokenPerMillion, "broken_ppm")
				b.ReportMetric(o.copiedPerFlow, "copied_B/flow")
			})
		}
	}
}
