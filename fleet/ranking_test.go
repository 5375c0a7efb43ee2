package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/fleet"
)

const testBuckets = 1024

func listOf(version uint64, names ...string) *fleet.List {
	var vms []fleet.VM
	for _, name := range names {
		vms = append(vms, fleet.NewVM(name, name[:1], netip.AddrPort{}, netip.AddrPort{}, fleet.Serving))
	}
	return fleet.NewList(version, vms)
}

// Daemons that saw different earlier lists must select the same holders. Guards against a
// derived ranking that keeps a removed VM or omits an added one.
func TestRankingFromPreviousEqualsNewRanking(t *testing.T) {
	is := is.New(t)
	old := fleet.NewRanking(listOf(1, "a1", "a2", "b1", "b2", "c1"), fleet.WithBuckets(testBuckets))
	list := listOf(2, "a1", "a3", "b0", "b2", "c1", "c2", "d1")
	derived := fleet.NewRanking(list, fleet.WithBuckets(testBuckets), fleet.WithPrevious(old))
	fresh := fleet.NewRanking(list, fleet.WithBuckets(testBuckets))
	for i := range uint64(20_000) {
		hash := fleet.RendezvousScore(i, 1)
		for _, spread := range []fleet.Spread{fleet.TwoInHomeDomain, fleet.DistinctDomains} {
			is.Equal(derived.Holders(hash, spread), fresh.Holders(hash, spread)) // does not depend on the previous ranking
		}
	}
}

func TestHoldersAreSpreadOverDomains(t *testing.T) {
	is := is.New(t)
	list := listOf(1, "a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2")
	ranking := fleet.NewRanking(list, fleet.WithBuckets(testBuckets))
	owners := map[fleet.ID]int{}
	const flows = 80_000
	for i := range uint64(flows) {
		hash := fleet.RendezvousScore(i, 2)
		pair := ranking.Holders(hash, fleet.TwoInHomeDomain)
		each := ranking.Holders(hash, fleet.DistinctDomains)
		is.Equal(pair.At(0), each.At(0))                                 // the owner does not depend on the spread
		is.Equal(domainOf(list, pair.At(0)), domainOf(list, pair.At(1))) // both in the home domain
		is.True(domainOf(list, pair.At(1)) != domainOf(list, pair.At(2)))
		is.True(domainOf(list, each.At(1)) != domainOf(list, each.At(2)))
		owners[pair.At(0)]++
	}
	for id, count := range owners {
		share := float64(count) / (flows / 8)
		is.True(share > 0.85 && share < 1.15) // even shares
		_ = id
	}
}

func TestHoldersOfSmallFleets(t *testing.T) {
	tests := []struct {
		names []string
		want  int
	}{
		{nil, 0},
		{[]string{"a1"}, 1},
		{[]string{"a1", "a2"}, 2},
		{[]string{"a1", "b1"}, 2},
		{[]string{"a1", "a2", "a3", "a4"}, 3},
		{[]string{"a1", "b1", "b2"}, 3},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.names), func(t *testing.T) {
			is := is.New(t)
			ranking := fleet.NewRanking(listOf(1, test.names...), fleet.WithBuckets(testBuckets))
			for i := range uint64(100) {
				holders := ranking.Holders(fleet.RendezvousScore(i, 3), fleet.DistinctDomains)
				is.Equal(holders.Len(), test.want)
			}
		})
	}
}

func domainOf(list *fleet.List, id fleet.ID) string {
	vm, _ := list.Find(id)
	return vm.Domain()
}
