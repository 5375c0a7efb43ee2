package catalog_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// BenchmarkDrainEnds merges the begin and the end of the drain of a domain that has all targets, with a slow start.
func BenchmarkDrainEnds(b *testing.B) {
	for _, count := range []int{150, 3000, 99000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := catalog.New()
			services := []inband.Service{{Name: "core", SlowStartMS: clock.Second}}
			c.Replace(0, 0, &catalog.Changes{Tables: &inband.Tables{Version: 1, Services: services}, Targets: newTargets(count), Revision: 1 << 20})
			revision, now := inband.Revision(1<<20), clock.Millis(0)
			for b.Loop() {
				revision, now = revision+2, now+clock.Minute
				c.Apply(now, now, newDrains(revision-1, drainOf("a", revision-1)))
				c.Apply(now, now, newDrains(revision, endOf("a", revision)))
			}
			mark, err := json.Marshal(drainOf("domain-of-20-letters", revision))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(mark)), "B/mark")
		})
	}
}
