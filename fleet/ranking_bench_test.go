package fleet_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"github.com/almondflow/almondflow/fleet"
)

// servingList returns a list of serving VMs in 7 failure domains. Their names are numbered
// from first on.
func servingList(version uint64, first, vms int) *fleet.List {
	all := make([]fleet.VM, vms)
	for i := range all {
		n := first + i
		all[i] = fleet.NewVM(fmt.Sprintf("vm-%d", n), fmt.Sprintf("domain-%d", n%7), netip.AddrPort{}, netip.AddrPort{}, fleet.Serving)
	}
	return fleet.NewList(version, all)
}

// BenchmarkRanking measures ranking a list from scratch, and deriving the ranking after one
// VM was replaced by another one of the same failure domain.
func BenchmarkRanking(b *testing.B) {
	for _, vms := range []int{8, 1_000, 4_000, 16_000} {
		list, next := servingList(1, 0, vms), listWithReplacedVM(vms)
		b.Run(fmt.Sprintf("whole/vms=%d", vms), func(b *testing.B) {
			var ranking *fleet.Ranking
			before := heapBytes()
			for b.Loop() {
				ranking = fleet.NewRanking(list)
			}
			b.ReportMetric(float64(heapBytes()-before), "retained_B")
			runtime.KeepAlive(ranking)
		})
		previous := fleet.NewRanking(list)
		b.Run(fmt.Sprintf("change/vms=%d", vms), func(b *testing.B) {
			var ranking *fleet.Ranking
			before := heapBytes()
			for b.Loop() {
				ranking = fleet.NewRanking(next, fleet.WithPrevious(previous))
			}
			b.ReportMetric(float64(heapBytes()-before), "retained_B")
			runtime.KeepAlive(ranking)
		})
		runtime.KeepAlive(previous)
	}
}

// listWithReplacedVM returns the list of servingList with the first VM replaced by a new one
// of the same failure domain.
func listWithReplacedVM(vms int) *fleet.List {
	all := []fleet.VM{fleet.NewVM("vm-new", "domain-0", netip.AddrPort{}, netip.AddrPort{}, fleet.Serving)}
	old := servingList(1, 0, vms).VMs()
	return fleet.NewList(2, append(all, old[1:]...))
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkHolders measures selecting the holders of a flow, which is done for each packet.
func BenchmarkHolders(b *testing.B) {
	ranking := fleet.NewRanking(servingList(1, 0, 16_000))
	b.ReportAllocs()
	hash := uint64(1)
	for b.Loop() {
		ranking.Holders(hash, fleet.TwoInHomeDomain)
		hash *= 0x9e3779b97f4a7c15
	}
}

// BenchmarkVersions measures the time and the retained memory for each version, when VMs are
// replaced one by one and each list is derived from the previous one by a delta.
func BenchmarkVersions(b *testing.B) {
	const versions = 8
	for _, vms := range []int{1_000, 4_000, 16_000} {
		first, _ := largeList(b, 1, vms)
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			ranking := fleet.NewRanking(first)
			kept := make([]*fleet.Ranking, 0, versions)
			before := heapBytes()
			for b.Loop() {
				kept = kept[:0]
				list := first
				for n := range versions {
					next, err := list.Apply(replacementDelta(list, n))
					if err != nil {
						b.Fatal(err)
					}
					list = next
					ranking = fleet.NewRanking(list, fleet.WithPrevious(ranking))
					kept = append(kept, ranking.WithoutVMs())
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/versions, "retained_B/version")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/versions/1e6, "ms/version")
			runtime.KeepAlive(kept)
		})
	}
}

// replacementDelta returns the delta that replaces the n-th VM of a list by a new one.
func replacementDelta(list *fleet.List, n int) []byte {
	vms := slices.Clone(list.VMs())
	old := vms[n]
	vms[n] = fleet.NewVM("new-"+old.Name(), old.Domain(), old.DataAddress(), old.PeerAddress(), fleet.Serving)
	return fleet.NewList(list.Version()+1, vms).Delta(list)
}
