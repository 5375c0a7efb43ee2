package inband_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// TestChangesMatchAFullUpdate compares an engine that receives only changes with one that
// receives all targets each time. Some of the targets share a tag.
func TestChangesMatchAFullUpdate(t *testing.T) {
	first, second := collidingIDs(t)
	names := []string{"i-1", "i-2", "i-3", first, second}
	rapid.Check(t, func(t *rapid.T) {
		changing := newEngine()
		all := map[string]inband.Published{}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			var changed []inband.Published
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				p := inband.Published{
					Target:        target(rapid.SampledFrom(names).Draw(t, "id"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")),
					FallbackUntil: clock.Millis(rapid.IntRange(0, 1).Draw(t, "fallback until")),
				}
				p.Target.State = inband.State(rapid.IntRange(0, 2).Draw(t, "mark"))
				p.Target.Service = rapid.SampledFrom([]string{"core", "store"}).Draw(t, "service")
				changed = append(changed, p)
				all[p.Target.ID] = p
			}
			changing.UpdateTargets(changed)
			full := newEngine()
			var published []inband.Published
			for _, name := range []string{first, second, "i-1", "i-2", "i-3"} {
				if p, ok := all[name]; ok {
					published = append(published, p)
				}
			}
			full.ReplaceView(nil, published)
			if got, want := summary(changing, names), summary(full, names); got != want {
				t.Fatalf("after changes: %s\nafter a full update: %s", got, want)
			}
		}
	})
}

// summary describes the state of an engine: its targets, the tags it knows and the targets that
// accept new flows.
func summary(e *inband.Engine, names []string) string {
	text := fmt.Sprint(e.Targets())
	for _, name := range names {
		text += fmt.Sprint(" ", name, e.KnowsTag(inband.TagOf(name)))
	}
	takers := map[string]bool{}
	for _, c := range e.Explain(0, key(1, feedAddress)).Candidates {
		takers[c.ID] = true
	}
	return text + fmt.Sprint(takers)
}
