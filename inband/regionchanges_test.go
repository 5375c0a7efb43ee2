package inband_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/inband"
)

// regionWorld holds what an engine was told, from which follows to which targets a bound route may lead.
type regionWorld struct {
	engine  *inband.Engine
	version int64
	regions map[string]string // by failure domain
	drained []string
	allowed []string
	targets map[string]*inband.Target
}

// Whatever changes in any order, the candidates of a bound route are the targets that serve in domains that are not
// drained and whose regions it allows.
func TestCandidatesOfBoundRoutesFollowChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &regionWorld{engine: newEngine(), version: 1, targets: map[string]*inband.Target{}}
		rt.Repeat(map[string]func(*rapid.T){
			"change tables": func(rt *rapid.T) {
				w.version++
				w.allowed = rapid.SampledFrom([][]string{nil, {"east"}, {"west"}, {"east", "west"}}).Draw(rt, "allowed")
				w.engine.SetTables(bindFeed(w.version, w.allowed...))
			},
			"change regions": func(rt *rapid.T) {
				w.regions = map[string]string{}
				text := ""
				for _, domain := range []string{"a", "b", "c"} {
					w.regions[domain] = rapid.SampledFrom([]string{"east", "west", "north"}).Draw(rt, "region")
					text += "," + domain + "=" + w.regions[domain]
				}
				setRegions(t, w.engine, text[1:])
			},
			"drain": func(rt *rapid.T) {
				w.drained = rapid.SampledFrom([][]string{nil, {"a"}, {"b", "c"}, {"c"}}).Draw(rt, "drained")
				w.engine.SetDrainedDomains(w.drained)
			},
			"change a target": func(rt *rapid.T) {
				changed := w.drawTarget(rt)
				w.targets[changed.ID] = changed
				w.engine.UpdateTargets(published(changed))
			},
			"read all targets": func(rt *rapid.T) {
				maps.DeleteFunc(w.targets, func(string, *inband.Target) bool { return rapid.Bool().Draw(rt, "has left") })
				w.engine.ReplaceView(nil, published(slices.Collect(maps.Values(w.targets))...))
			},
			"": func(rt *rapid.T) { w.check(is.New(rt)) },
		})
	})
}

// drawTarget draws a new target, or another state or domain of one.
func (w *regionWorld) drawTarget(rt *rapid.T) *inband.Target {
	id := fmt.Sprintf("i-%d", rapid.IntRange(1, 8).Draw(rt, "target"))
	drawn := target(id, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "domain"))
	drawn.State = rapid.SampledFrom([]inband.State{inband.Serving, inband.Serving, inband.Leaving, inband.Gone}).Draw(rt, "state")
	return drawn
}

func (w *regionWorld) check(is *is.I) {
	var expected, got []string
	for _, t := range w.targets {
		isAllowed := len(w.allowed) == 0 || slices.Contains(w.allowed, w.regions[t.Domain])
		if t.State == inband.Serving && isAllowed && !slices.Contains(w.drained, t.Domain) {
			expected = append(expected, t.ID)
		}
	}
	for _, c := range w.engine.Explain(0, key(1, feedAddress)).Candidates {
		got = append(got, c.ID)
	}
	slices.Sort(expected)
	slices.Sort(got)
	is.Equal(got, expected)
	v := w.engine.Handle(0, opening(1, feedAddress, 0))
	w.engine.Handle(0, &inband.Packet{Key: key(1, feedAddress), Flags: inband.Resetting})
	is.Equal(v.Action == inband.Forward, len(expected) > 0)
	if v.Action == inband.Forward {
		is.True(slices.Contains(expected, v.Backend.Target().ID))
	}
}
