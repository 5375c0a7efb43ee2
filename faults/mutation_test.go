package faults

import (
	"testing"

	"github.com/almondflow/almondflow/core"
)

// mutations are the deliberate defects of a Node that the oracle must detect.
var mutations = []struct {
	name      string
	defect    core.Defect
	firstSeed uint64 // where the search for a failure starts
}{
	{"no_copies", core.DefectNoCopies, 40},
	{"no_quarantine", core.DefectNoQuarantine, 60},
	{"majority_of_one", core.DefectNoMajority, 550},
	{"reset_on_unknown_flow", core.DefectResetUnknownFlow, 0},
	{"version_may_fall", core.DefectOldVersions, 0},
	{"retry_after_payload", core.DefectRetryAfterPayload, 0},
	{"no_lease", core.DefectNoLease, 0},
}

// runsPerMutation limits the runs within which a defect must be detected. docs/MUTATIONS.md
// lists what a search from seed 0 finds.
const runsPerMutation = 300

// TestMutationsAreCaught checks that the oracle detects each defect, so that a guarantee that is
// no longer checked is noticed.
func TestMutationsAreCaught(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			found := findFailures(m.firstSeed, runsPerMutation, 1, m.defect)
			if len(found) == 0 {
				t.Fatalf("not detected in %d runs from seed %d", runsPerMutation, m.firstSeed)
			}
			t.Logf("seed %d: %v", found[0].seed, found[0].err)
		})
	}
}
