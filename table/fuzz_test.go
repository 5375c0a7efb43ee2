package table_test

import (
	"testing"

	"github.com/almondflow/almondflow/table"
)

// FuzzParse checks that whatever is accepted has a document that is accepted again as
// the same version, and that nothing panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodDocument))
	f.Add([]byte(tenFaults))
	f.Add([]byte(`{"version":1,"routes":[],"pools":[],"retired":[{"pool":"p","name":"h","generation":1,"address":"192.0.2.1","port":1,` +
		`"protocol":"tcp","destination":"203.0.113.1","destination_port":1,"remaining_seconds":60}]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		s, err := table.Parse(document)
		if err != nil {
			return
		}
		again, err := table.Parse(s.Handover(0))
		if err != nil {
			t.Fatalf("handover is refused: %v", err)
		}
		if again.Digest() != s.Digest() || again.HasRetired() != s.HasRetired() {
			t.Fatal("handover gives another version")
		}
	})
}

// FuzzApply checks that a delta that is accepted gives tables that a whole document
// gives as well.
func FuzzApply(f *testing.F) {
	base, err := table.Parse([]byte(goodDocument))
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
		whole, err := table.Parse(next.Document())
		if err != nil || whole.Digest() != next.Digest() {
			t.Fatalf("accepted delta gives a document that is not: %v", err)
		}
	})
}
