package catalog_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/inband"
)

func newTargets(count int) []*inband.Target {
	all := make([]*inband.Target, 0, count)
	for i := range count {
		all = append(all, &inband.Target{
			ID: fmt.Sprintf("i-%010x", i), Identity: uint64(i), Service: "core", Domain: "a", Version: "v1", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80), Revision: inband.Revision(i + 1),
		})
	}
	return all
}

// BenchmarkReplace merges a full read, at growing numbers of targets.
func BenchmarkReplace(b *testing.B) {
	for _, count := range []int{150, 3000, 99000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			targets := newTargets(count)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var c *catalog.Catalog
			for b.Loop() {
				c = catalog.New()
				c.Replace(0, 0, &catalog.Changes{Tables: coreTables(1), Targets: targets, Revision: 1 << 30})
				c.Digest()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/target")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkApply merges one changed target and computes the digest again.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{150, 3000, 99000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := catalog.New()
			c.Replace(0, 0, &catalog.Changes{Tables: coreTables(1), Targets: newTargets(count), Revision: 1 << 20})
			revision := inband.Revision(1 << 20)
			for b.Loop() {
				revision++
				changed := *newTargets(1)[0]
				changed.Revision, changed.State = revision, inband.State(revision%2)
				c.Apply(0, 0, &catalog.Changes{Targets: []*inband.Target{&changed}, Revision: revision})
				c.Digest()
			}
		})
	}
}
