package inband_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
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

func TestTargetsSharingATagGetNoNewFlows(t *testing.T) {
	first, second := collidingIDs(t)
	is := is.New(t)
	e := newEngine(target(first, "a"), target(second, "a"), target("i-3", "a"))
	for client := range 20 {
		v := e.Handle(0, opening(client, feedAddress, 0))
		is.Equal(v.Backend.Target().ID, "i-3")
	}
}

// Guards against open flows that go to another target, because a new one has the same tag by chance
// and an id that sorts lower. VMs that know the flow, that do not, and that started later agree.
func TestNewTargetWithTheSameTagTakesNoOpenFlows(t *testing.T) {
	first, second := collidingIDs(t)
	if first > second {
		first, second = second, first
	}
	tests := []struct{ name, oldID, newID string }{
		{"the new id sorts lower", second, first},
		{"the new id sorts higher", first, second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			older, newer := target(tt.oldID, "a"), target(tt.newID, "a")
			older.StartedAtMS, newer.StartedAtMS = 1000, 2000
			knowing, carrying := newEngine(older), newEngine(older)
			tag := openFlow(knowing, 1, feedAddress)
			knowing.UpdateTargets(published(newer))
			carrying.UpdateTargets(published(newer))
			sorted := published(older, newer)
			if tt.newID < tt.oldID {
				sorted = published(newer, older)
			}
			started := newEngine()
			started.ReplaceView(tables(1), sorted)
			for _, e := range []*inband.Engine{knowing, carrying, started} {
				v := e.Handle(100, data(1, feedAddress, tag, 101, 500))
				is.Equal(v.Backend.Target().ID, tt.oldID)
			}
		})
	}
}

// collidingIDs finds two ids that have the same tag by trying many.
func collidingIDs(t *testing.T) (first, second string) {
	t.Helper()
	seen := map[inband.Tag]string{}
	for i := range 1 << 20 {
		id := fmt.Sprintf("i-%07x", i*2654435761%(1<<28))
		tag := inband.TagOf(id)
		if other, ok := seen[tag]; ok && other != id {
			return other, id
		}
		seen[tag] = id
	}
	t.Fatal("no colliding ids found")
	return "", ""
}
