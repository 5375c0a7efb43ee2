package table_test

import (
	"testing"

	"github.com/almondflow/almondflow/table"
)

// FuzzParse checks that Parse does not panic and that the document of a snapshot parses
// to an equal snapshot.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(invalidDocument))
	f.Add([]byte(`{"version":1,"routes":[],"pools":[],"retired":[{"pool":"p","name":"h","generation":1,"address":"192.0.2.1","port":1,` +
		`"protocol":"tcp","destination":"203.0.113.1","destination_port":1,"remaining_seconds":60}]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		s, err := table.Parse(document)
		if err != nil {
			return
		}
		again, err := table.Parse(s.DocumentWithRetired(0))
		if err != nil {
			t.Fatalf("document with retired hosts rejected: %v", err)
		}
		if again.Digest() != s.Digest() || again.HasRetired() != s.HasRetired() {
			t.Fatal("document with retired hosts parsed to a different version")
		}
	})
}

// FuzzApply checks that the tables that result from an accepted delta are also accepted as
// a full document, with the same digest.
func FuzzApply(f *testing.F) {
	base, err := table.Parse([]byte(validDocument))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(base.Delta(base))
	f.Add([]byte(`{"base":7,"edits":[{"pool":"booking-core","remove_hosts":["b1"],"hosts":[{}]}],"remove_pools":["x"]}`))
	f.Fuzz(func(t *testing.T, delta []byte) {
		next, err := base.Apply(delta)
		if err != nil {
			return
		}
		parsed, err := table.Parse(next.Document())
		if err != nil || parsed.Digest() != next.Digest() {
			t.Fatalf("document after an accepted delta rejected or different: %v", err)
		}
	})
}
