package table_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/strictjson"
	"github.com/almondflow/almondflow/table"
)

type fullDocument struct {
	Routes []json.RawMessage `json:"routes"`
	Pools  []struct {
		Name  string            `json:"name"`
		Spill bool              `json:"spill"`
		Hosts []json.RawMessage `json:"hosts"`
	} `json:"pools"`
}

// drawParts splits tables into parts at random. A pool may be split into two parts, which
// sometimes have different attributes by mistake.
func drawParts(t *rapid.T, s *table.Snapshot) []strictjson.Part {
	var document fullDocument
	if err := json.Unmarshal(s.Document(), &document); err != nil {
		t.Fatal(err)
	}
	const count = 3
	type part struct {
		Routes []json.RawMessage `json:"routes"`
		Pools  []any             `json:"pools"`
	}
	drafts := make([]part, count)
	for i := range drafts {
		drafts[i] = part{Routes: []json.RawMessage{}, Pools: []any{}}
	}
	for _, route := range document.Routes {
		at := rapid.IntRange(0, count-1).Draw(t, "route_part")
		drafts[at].Routes = append(drafts[at].Routes, route)
	}
	for _, pool := range document.Pools {
		split := rapid.IntRange(0, len(pool.Hosts)).Draw(t, "cut")
		first := rapid.IntRange(0, count-1).Draw(t, "pool_part")
		for i, hosts := range [][]json.RawMessage{pool.Hosts[:split], pool.Hosts[split:]} {
			if len(hosts) == 0 && (i == 1 || len(pool.Hosts) > 0) {
				continue
			}
			spill := pool.Spill != (rapid.IntRange(0, 19).Draw(t, "fault") == 0)
			at := (first + i) % count
			drafts[at].Pools = append(drafts[at].Pools, map[string]any{"name": pool.Name, "spill": spill, "hosts": hosts})
		}
	}
	var parts []strictjson.Part
	for i := range drafts {
		text, err := json.Marshal(drafts[i])
		if err != nil {
			t.Fatal(err)
		}
		parts = append(parts, strictjson.NewPart(fmt.Sprintf("part-%d", i), text))
	}
	return parts
}

// changedParts returns the parts that differ between two lists.
func changedParts(before, after []strictjson.Part) (removed, added []strictjson.Part) {
	for i := range before {
		if string(before[i].Document()) != string(after[i].Document()) {
			removed = append(removed, before[i])
			added = append(added, after[i])
		}
	}
	return removed, added
}

// Parts may share pools, and a change moves routes and pools between parts. Guards against
// tables that depend on whether a daemon read all parts or only those that changed.
func TestChangedPartsLeadToTheSameTablesAsAllParts(t *testing.T) {
	replaced := 0
	rapid.Check(t, func(t *rapid.T) {
		before := drawParts(t, drawTables(t, 1))
		after := drawParts(t, drawTables(t, 1))
		if rapid.Bool().Draw(t, "is_small") {
			after[0], after[1] = before[0], before[1]
		}
		old, err := table.ParseParts(1, before)
		if err != nil {
			return
		}
		removed, added := changedParts(before, after)
		want, wantErr := table.ParseParts(2, after)
		got, err := old.ReplaceParts(2, removed, added)
		switch {
		case errors.Is(err, table.ErrNeedsAllParts):
			return
		case (err == nil) != (wantErr == nil):
			t.Fatalf("changed parts: %v, all parts: %v", err, wantErr)
		case err == nil && got.Digest() != want.Digest():
			t.Fatalf("got %s, want %s", got.Document(), want.Document())
		}
		replaced++
	})
	if replaced == 0 {
		t.Fatal("no change could be applied with the changed parts alone")
	}
}
