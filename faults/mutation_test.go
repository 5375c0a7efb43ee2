package faults

import (
	"testing"

	"github.com/almondflow/almondflow/core"
)

// mutations are the deliberate defects of a Node that the oracle must detect.
var mutations = []struct {
	name      string
	defect    core.Breakage
	firstSeed uint64 // where the search for a failure starts
}{
	{"no_copies", core.BreakCopies, 40},
	{"no_quarantine", core.BreakQuarantine, 60},
	{"majority_of_one", core.BreakMajority, 550},
	{"reset_on_unknown_flow", core.BreakUnknownFlow, 0},
	{"version_may_fall", core.BreakVersions, 0},
	{"retry_after_payload", core.BreakRetry, 0},
	{"no_lease", core.BreakLease, 0},
}

// runsPerMutation limits the runs within which a defect must be detected. docs/MUTATIONS.md
// lists what a search from seed 0 finds.
const runsPerMutation = 300

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
