package fleet_test

import (
	"testing"

	"github.com/almondflow/almondflow/fleet"
)

// FuzzParseList guards against lists that end the process, and against accepted ones whose ranks cannot be
// computed.
func FuzzParseList(f *testing.F) {
	f.Add(listDocument(3, vmDocument("a", 1, "serving"), vmDocument("b", 2, "leaving")))
	f.Add(listDocument(0, vmDocument("a", 1, "serving"), `7`, `null`))
	f.Add([]byte(`{"version":18446744073709551615,"vms":[]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		l, err := fleet.ParseList(document)
		if (l == nil) == (err == nil) {
			t.Fatal("want either a list or an error")
		}
	})
}
