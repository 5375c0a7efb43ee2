package inband_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/region"
)

// regionNames puts three failure domains into two regions: a, which is that of the engine, and b are in the east.
const regionNames = "a=east,b=east,c=west"

func setRegions(t *testing.T, e *inband.Engine, text string) {
	t.Helper()
	regions, err := region.ParseMap(text)
	is.New(t).NoErr(err)
	e.SetRegions(regions)
}

// bindFeed returns tables whose feed route is bound to regions. The route of holds is not.
func bindFeed(version int64, regions ...string) *inband.Tables {
	t := tables(version)
	t.Routes[0].AllowedRegions = regions
	return t
}

// newBoundEngine returns an engine in domain a with a target in each of three domains.
func newBoundEngine(t *testing.T, regions ...string) *inband.Engine {
	t.Helper()
	e := newEngine(target("i-1", "a"), target("i-2", "b"), target("i-3", "c"))
	setRegions(t, e, regionNames)
	e.SetTables(bindFeed(2, regions...))
	return e
}

func TestRegionsBindNewFlows(t *testing.T) {
	tests := []struct {
		name    string
		regions string // of failure domains
		allowed []string
		drained []string
		want    string // domains of the targets; empty if the openings are refused
	}{
		{"not bound", regionNames, nil, nil, "abc"},
		{"the own region", regionNames, []string{"east"}, nil, "ab"},
		{"another region", regionNames, []string{"west"}, nil, "c"},
		{"all regions", regionNames, []string{"east", "west"}, nil, "abc"},
		{"the own domain is drained", regionNames, []string{"east"}, []string{"a"}, "b"},
		{"all allowed domains are drained", regionNames, []string{"east"}, []string{"a", "b"}, ""},
		{"the only allowed domain is drained", regionNames, []string{"west"}, []string{"c"}, ""},
		{"a region without failure domains", regionNames, []string{"north"}, nil, ""},
		{"a domain of no known region", "a=east,b=east", []string{"west"}, nil, ""},
		{"no regions are known", "", []string{"east"}, nil, ""},
		{"no regions are known, and the route is not bound", "", nil, nil, "abc"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newBoundEngine(t, tt.allowed...)
			setRegions(t, e, tt.regions)
			e.SetDrainedDomains(tt.drained)
			is.Equal(e.Handle(0, opening(0, holdAddress, 0)).Action, inband.Forward) // the other route is not bound
			is.Equal(openedDomains(is, e), tt.want)
		})
	}
}

// openedDomains opens more flows than a domain takes before some leave it, and returns the domains that got one. What
// is refused has to be refused at once.
func openedDomains(is *is.I, e *inband.Engine) string {
	const flows = 60
	var domains []string
	for client := range flows {
		v := e.Handle(0, opening(client+1, feedAddress, 0))
		if v.Action != inband.Forward {
			is.Equal(v.Action, inband.Reset)
			is.Equal(v.Reason, inband.NoTargetInRegion)
			continue
		}
		domains = append(domains, v.Backend.Target().Domain)
	}
	slices.Sort(domains)
	return strings.Join(slices.Compact(domains), "")
}

// The sampled ways of choosing a target consider targets of allowed regions only, by each policy.
func TestRegionsBindInLargePools(t *testing.T) {
	tests := []struct {
		name   string
		policy inband.Policy
	}{
		{"local", inband.Local{}},
		{"shared", inband.Shared{}},
		{"naive", inband.Naive{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const targets, flows = 3000, 2000
			e := newEngineOf(tt.policy, largePool(targets, "abc"))
			setRegions(t, e, regionNames)
			e.SetTables(bindFeed(2, "west"))
			for flow := range flows {
				v := e.Handle(0, numberedOpening(flow))
				is.Equal(v.Reason, inband.Placed)
				is.Equal(v.Backend.Target().Domain, "c")
			}
		})
	}
}

// Changes of tables, targets and regions take effect on the next flow.
func TestRegionsBindAfterChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(e *inband.Engine)
		want   string
	}{
		{"nothing", func(*inband.Engine) {}, "b"},
		{"a target of an allowed domain is added", func(e *inband.Engine) { e.UpdateTargets(published(target("i-9", "a"))) }, "a"},
		{"a target of another domain is added", func(e *inband.Engine) { e.UpdateTargets(published(target("i-9", "d"))) }, "b"},
		{"all targets are read again", func(e *inband.Engine) { e.ReplaceView(nil, published(target("i-2", "b"), target("i-3", "c"))) }, "b"},
		{"the tables bind the route to another region", func(e *inband.Engine) { e.SetTables(bindFeed(3, "west")) }, "c"},
		{"the regions change", func(e *inband.Engine) { setRegions(t, e, "a=west,b=west,c=east") }, "c"},
		{"a drain begins", func(e *inband.Engine) { e.SetDrainedDomains([]string{"b"}) }, ""},
		{"tables come during a drain that ends then", func(e *inband.Engine) {
			e.SetDrainedDomains([]string{"b"})
			e.SetTables(bindFeed(3, "east", "north"))
			e.SetDrainedDomains(nil)
		}, "b"},
		{"a drain begins and ends", func(e *inband.Engine) { e.SetDrainedDomains([]string{"b"}); e.SetDrainedDomains(nil) }, "b"},
		{"the target leaves", func(e *inband.Engine) {
			leaving := target("i-2", "b")
			leaving.State = inband.Leaving
			e.UpdateTargets(published(leaving))
		}, ""},
		{"the target moves to another domain", func(e *inband.Engine) { e.UpdateTargets(published(target("i-2", "c"))) }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEngine(target("i-2", "b"), target("i-3", "c"))
			setRegions(t, e, regionNames)
			e.SetTables(bindFeed(2, "east"))
			is.Equal(e.Handle(0, opening(1, feedAddress, 0)).Backend.Target().Domain, "b")
			tt.change(e)
			v := e.Handle(0, opening(2, feedAddress, 0))
			if tt.want == "" {
				is.Equal(v.Reason, inband.NoTargetInRegion)
				return
			}
			is.Equal(v.Backend.Target().Domain, tt.want)
		})
	}
}

// A copy of an opening goes to the earlier target no more once the tables forbid its region, nor elsewhere if its
// target does not answer. What can't be placed is dropped, as the first copy may have opened the flow.
func TestRegionsBindCopiesOfOpenings(t *testing.T) {
	tests := []struct {
		name   string
		before []string // allowed regions at the first copy
		after  []string // and at the second
		at     clock.Millis
		want   string // domain of the target; empty if the copy is dropped
		reason inband.Reason
	}{
		{"nothing changed", []string{"east"}, []string{"east"}, 100, "a", inband.Repeated},
		{"bound to another region", nil, []string{"west"}, 100, "c", inband.MovedUnavailable},
		{"bound to a region without targets", nil, []string{"north"}, 100, "", inband.NoTargetInRegion},
		{"the target does not answer", []string{"east"}, []string{"east"}, 200, "b", inband.MovedUnresponsive},
		{"the only target does not answer", []string{"west"}, []string{"west"}, 200, "c", inband.MovedUnresponsive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newBoundEngine(t, tt.before...)
			is.Equal(e.Handle(0, opening(1, feedAddress, 0)).Action, inband.Forward)
			e.SetTables(bindFeed(3, tt.after...))
			v := e.Handle(tt.at, opening(1, feedAddress, 1))
			is.Equal(v.Reason, tt.reason)
			if tt.want == "" {
				is.Equal(v.Action, inband.Drop)
				return
			}
			is.Equal(v.Backend.Target().Domain, tt.want)
		})
	}
}

// A copy that comes through a VM which has not seen the first one is bound as well.
func TestRegionsBindCopiesOfOtherVMs(t *testing.T) {
	is := is.New(t)
	v := newBoundEngine(t, "west").Handle(0, opening(1, feedAddress, 1))
	is.Equal(v.Reason, inband.PlacedLate)
	is.Equal(v.Backend.Target().Domain, "c")
}

// Open flows stay where they are.
func TestRegionsLeaveOpenFlows(t *testing.T) {
	is := is.New(t)
	e := newBoundEngine(t)
	tag := openFlow(e, 1, feedAddress)
	e.SetTables(bindFeed(3, "west"))
	for _, client := range []int{1, 2} { // the second was opened through another VM
		v := e.Handle(10, data(client, feedAddress, tag, 101, 500))
		is.Equal(v.Action, inband.Forward)
		is.Equal(v.Backend.Target().ID, "i-1")
	}
}

// Routes without regions, and those that allow all of them, are decided as by an engine that knows no regions.
func TestDecisionsWithoutRegionsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		targets := largePool(rapid.IntRange(1, 400).Draw(rt, "targets"), "abc")
		policy := rapid.SampledFrom([]inband.Policy{inband.Local{}, inband.Shared{}}).Draw(rt, "policy")
		allowed := rapid.SampledFrom([][]string{nil, {}, {"east", "west"}}).Draw(rt, "allowed")
		plain, bound := newEngineOf(policy, targets), newEngineOf(policy, targets)
		setRegions(t, bound, regionNames)
		bound.SetTables(bindFeed(1, allowed...))
		for flow := range rapid.IntRange(1, 50).Draw(rt, "flows") {
			now := clock.Millis(flow) * 100
			plain.Sweep(now)
			bound.Sweep(now)
			is.Equal(bound.Handle(now, numberedOpening(flow)).Backend.Target(), plain.Handle(now, numberedOpening(flow)).Backend.Target())
		}
	})
}

func TestExplainNamesRegions(t *testing.T) {
	is := is.New(t)
	e := newBoundEngine(t, "east")
	is.Equal(len(e.Explain(0, key(1, feedAddress)).Candidates), 2) // of three targets
	e.SetDrainedDomains([]string{"b", "c"})
	x := e.Explain(0, key(1, feedAddress))
	is.Equal(x.AllowedRegions, []string{"east"})
	is.Equal(x.DrainedDomains, []string{"b"}) // the route may not use domain c anyway
	is.Equal(len(x.Candidates), 1)
	is.Equal(x.Candidates[0].ID, "i-1")
	is.Equal(e.Explain(0, key(1, holdAddress)).AllowedRegions, nil)
	is.Equal(e.BoundRoutes(0), []inband.BoundRoute{{Name: "feed", AllowedRegions: []string{"east"}, Targets: 1}})
}
