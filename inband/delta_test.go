package inband_test

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/inband"
)

func sortedRoutes(t *inband.Tables) []inband.Route {
	return slices.SortedFunc(slices.Values(t.Routes), func(a, b inband.Route) int { return a.Address.Compare(b.Address) })
}

func drawTables(t *rapid.T, version int64) *inband.Tables {
	drawn := &inband.Tables{Version: version, IdleMS: rapid.Int64Range(0, 3).Draw(t, "idle")}
	for port := range uint16(6) {
		if rapid.Bool().Draw(t, "has route") {
			drawn.Routes = append(drawn.Routes, inband.Route{
				Address: netip.AddrPortFrom(feedAddress.Addr(), port), Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
				Shares:         []inband.Share{{Service: "core", Weight: rapid.IntRange(1, 2).Draw(t, "weight")}},
				AllowedRegions: rapid.SampledFrom([][]string{nil, {"east"}, {"east", "west"}}).Draw(t, "regions"),
			})
		}
	}
	return drawn
}

func TestDeltaYieldsNewerTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawTables(t, 3), drawTables(t, 8)
		got, ok := inband.Diff(before, after).Apply(before)
		if !ok || got.Version != 8 || got.IdleMS != after.IdleMS {
			t.Fatalf("got %+v, want %+v", got, after)
		}
		if !slices.EqualFunc(sortedRoutes(got), sortedRoutes(after), func(a, b inband.Route) bool {
			return a.Address == b.Address && a.Priority == b.Priority && slices.Equal(a.Shares, b.Shares) && slices.Equal(a.AllowedRegions, b.AllowedRegions)
		}) {
			t.Fatalf("got %+v, want %+v", got, after)
		}
	})
}

func TestDeltaRejectsOtherBase(t *testing.T) {
	is := is.New(t)
	delta := inband.Diff(tables(3), tables(8))
	_, ok := delta.Apply(tables(4))
	is.True(!ok)
	_, ok = delta.Apply(nil)
	is.True(!ok)
}
