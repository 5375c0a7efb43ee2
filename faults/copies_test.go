package faults

import (
	"fmt"
	"testing"
)

// Load of BenchmarkCopies, in flows per second.
const (
	copiesFeeds   = 200
	copiesUploads = 20
)

// crashes returns the crashes with which BenchmarkCopies compares numbers of copies.
func crashes() []scenario {
	crash := func(names ...string) func(s *simulation) {
		return func(s *simulation) { s.crashAndReplace(names...) }
	}
	return []scenario{
		{name: "one", duration: listUpdateDelay, start: crash("kadikoy-0")},
		{name: "two_of_one_domain", duration: listUpdateDelay, start: crash("kadikoy-0", "kadikoy-1")},
		{name: "two_of_two_domains", duration: listUpdateDelay, start: crash("kadikoy-0", "besiktas-1")},
		{name: "three", duration: listUpdateDelay, start: crash("kadikoy-0", "kadikoy-1", "umraniye-0")},
	}
}

// BenchmarkCopies compares records at one, two and three entry VMs by the flows that crashes
// break and the bytes per flow of the datagrams that copied records.
func BenchmarkCopies(b *testing.B) {
	for _, sc := range crashes() {
		for copies := range 3 {
			b.Run(fmt.Sprintf("%s/%d", sc.name, copies+1), func(b *testing.B) {
				c := marmaraConfig(*benchSeed)
				c.copies, c.noCopies = copies, copies == 0
				var r scenarioResult
				for b.Loop() {
					r = playScenario(c, sc, copiesFeeds, 0, copiesUploads)
				}
				b.ReportMetric(r.brokenPerMillion, "broken_ppm")
				b.ReportMetric(r.copyBytesPerFlow, "copied_B/flow")
			})
		}
	}
}
