package inband_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/region"
)

// Load: the own failure domain presses. A bound route spills to the domains of its regions only, and by their load
// only: an idle domain of another region is no reason to leave.
func TestSpillIsBoundToRegions(t *testing.T) {
	calm, pressing := load.Work{Busy: 0.5, Finished: 10}, load.Work{Busy: 9, Finished: 40}
	tests := []struct {
		name    string
		allowed []string
		b, c    load.Work // at all targets of these domains
		want    string    // domains of the targets
	}{
		{"the other domain of the region has room", []string{"east"}, calm.Scale(10), pressing.Scale(10), "ab"},
		{"only a domain of another region has room", []string{"east"}, pressing.Scale(10), calm.Scale(10), "a"},
		{"the own domain is not allowed", []string{"west"}, calm.Scale(10), pressing.Scale(10), "c"},
		{"not bound, all other domains have room", nil, calm.Scale(10), calm.Scale(10), "abc"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			targets := largePool(30, "abc")
			e := newSharedEngine(targets)
			setRegions(t, e, regionNames)
			bound := bindFeed(2, tt.allowed...)
			bound.Routes[0].TargetLatencyMS = 250
			e.SetTables(bound)
			r := &reporter{targets: targets, work: pressing, others: tt.b, third: tt.c}
			is.Equal(domainsOf(targets, place(e, r, 0, 6*clock.Second)), tt.want)
		})
	}
}

// Load: a less urgent route and an urgent one share the targets of a region. Each decides by the callers of both,
// whichever of them is bound: where there is too little room, the less urgent one is refused first.
func TestAdmissionSeesCallersOfOtherRoutes(t *testing.T) {
	tests := []struct {
		name       string
		feed, hold []string // allowed regions of the less urgent and of the urgent route
		isRefused  bool
	}{
		{"not bound", nil, nil, true},
		{"bound to the region of the full target", []string{"east"}, nil, true},
		{"bound to another region, where answers are quick", []string{"west"}, nil, false},
		{"the urgent route is bound", nil, []string{"east"}, true},
		{"both are bound to the region of the full target", []string{"east"}, []string{"east"}, true},
		{"the urgent route is bound to more", []string{"east"}, []string{"east", "north"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newUrgencyEngine(true)
			e.ReplaceView(boundRoutes(tt.feed, tt.hold), published(target("i-1", "a"), target("i-3", "c")))
			setRegions(t, e, regionNames)
			now := answerLate(e, sweepUntil(e, clock.Minute, clock.Minute+2*clock.Second))
			refused := countRefused(e, now, func(client int) *inband.Packet { return opening(client, feedAddress, 0) })
			is.Equal(refused > 0, tt.isRefused)
		})
	}
}

// boundRoutes returns tables in which the hold route is more urgent than the feed route, each with allowed regions.
func boundRoutes(feed, hold []string) *inband.Tables {
	t := prioritizedTables()
	t.Version = 2
	t.Routes[0].AllowedRegions, t.Routes[1].AllowedRegions = feed, hold
	for i := range t.Routes {
		t.Routes[i].TargetLatencyMS = 100
	}
	return t
}

// Load: too many requests wait at the target of a region. The less urgent route gives way to an urgent one that may
// use the target, too, and to no other.
func TestOverloadSeesRoutesOfTheRegionOnly(t *testing.T) {
	tests := []struct {
		name string
		hold []string // allowed regions of the urgent route
		want inband.Reason
	}{
		{"the urgent route is not bound", nil, inband.Overloaded},
		{"the urgent route is bound to the same region", []string{"east"}, inband.Overloaded},
		{"the urgent route is bound to another region", []string{"west"}, inband.Placed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-1", "a"))
			setRegions(t, e, regionNames)
			loadTarget(e, 12, 2, 120)
			e.UpdateTargets(published(target("i-3", "c")))
			e.SetTables(boundRoutes([]string{"east"}, tt.hold))
			is.Equal(e.Handle(1130, opening(100, feedAddress, 0)).Reason, inband.Placed) // may be a short burst
			is.Equal(e.Handle(1630, opening(101, feedAddress, 0)).Reason, tt.want)
		})
	}
}

// What a pool of some regions has come to is kept when all targets are read again and when other tables come.
func TestSpillOfRegionsIsKept(t *testing.T) {
	is := is.New(t)
	targets := largePool(30, "abc")
	e := newSharedEngine(targets)
	setRegions(t, e, regionNames)
	e.SetTables(bindFeed(2, "east"))
	calm, pressing := load.Work{Busy: 0.5, Finished: 10}, load.Work{Busy: 9, Finished: 40}
	place(e, &reporter{targets: targets, work: pressing, others: calm.Scale(10)}, 0, 4*clock.Second)
	before := e.Spillings()
	is.Equal(len(before), 2) // of all targets, and of those in the east
	is.Equal(before[1].AllowedRegions, []string{"east"})
	is.True(before[1].Share > 0)
	e.ReplaceView(bindFeed(3, "east"), published(targets...))
	is.Equal(e.Spillings(), before)
}

// domainsOf returns the domains of the targets that got flows.
func domainsOf(targets []*inband.Target, flows map[string]int) string {
	var domains []string
	for _, t := range targets {
		if flows[t.ID] > 0 {
			domains = append(domains, t.Domain)
		}
	}
	slices.Sort(domains)
	return strings.Join(slices.Compact(domains), "")
}

// BenchmarkSetTablesOfBoundRoutes measures a change of the tables at the size to design for: three regions, each of
// which has a route that is bound to it.
func BenchmarkSetTablesOfBoundRoutes(b *testing.B) {
	for _, count := range []int{150, 99000} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			e := newLargeEngine(largePool(count, "abcdefg"), 1000)
			regions, err := region.ParseMap("a=east,b=east,c=east,d=west,e=west,f=north,g=north")
			if err != nil {
				b.Fatal(err)
			}
			e.SetRegions(regions)
			t := tables(2)
			for i, name := range []string{"east", "west", "north"} {
				bound := t.Routes[0]
				bound.Address = netip.AddrPortFrom(feedAddress.Addr(), uint16(i+1))
				bound.AllowedRegions = []string{name}
				t.Routes = append(t.Routes, bound)
			}
			b.ReportAllocs()
			for b.Loop() {
				t.Version++
				e.SetTables(t)
			}
		})
	}
}
